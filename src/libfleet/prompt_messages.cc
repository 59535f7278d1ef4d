#include "corneltray/prompt_messages.h"

#include <algorithm>
#include <chrono>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "corneltray/control_messages.h"

namespace corneltray {
namespace {

using nlohmann::json;

// Keeps time points that are calculated from a received delay in range.
constexpr std::chrono::milliseconds kMaxReceivedDelay = kMaxTrialDelay;

std::vector<std::string> ReadParts(const json& list) {
  auto parts = list.get<std::vector<std::string>>();
  if (parts.size() > kMaxReportedParts) parts.resize(kMaxReportedParts);
  return parts;
}

// Returns a text field of an object, or an empty text.
std::string StringIn(const json& body, const char* name) {
  const auto field = body.find(name);
  return field != body.end() && field->is_string() ? field->get<std::string>() : "";
}

}  // namespace

json EncodeCrashReport(const CrashReport& report) {
  return {{"upstream", report.upstream},
          {"incarnation", report.incarnation},
          {"sequence", report.sequence},
          {"phase", NameOf(report.phase)},
          {"parts", report.parts}};
}

Result<CrashReport> DecodeCrashReport(const json& body) {
  try {
    CrashReport report;
    report.upstream = body.at("upstream").get<std::string>();
    report.incarnation = body.at("incarnation").get<std::uint64_t>();
    report.sequence = body.at("sequence").get<std::uint64_t>();
    const auto phase = ParseEnum<CrashPhase>(body.at("phase").get<std::string>());
    if (!phase) return Error{ControlMessageErrc::kMalformed, "unknown phase of a crash"};
    report.phase = *phase;
    report.parts = ReadParts(body.at("parts"));
    return report;
  } catch (const json::exception& error) {
    return Error{ControlMessageErrc::kMalformed, error.what()};
  }
}

json EncodePromptParts(const std::vector<std::string>& parts) { return {{"parts", parts}}; }

Result<std::vector<std::string>> DecodePromptParts(const json& body) {
  try {
    return ReadParts(body.at("parts"));
  } catch (const json::exception& error) {
    return Error{ControlMessageErrc::kMalformed, error.what()};
  }
}

json EncodePartVerdicts(const std::vector<PartVerdict>& verdicts) {
  json list = json::array();
  for (const PartVerdict& verdict : verdicts) {
    list.push_back({{"part", verdict.part},
                    {"state", NameOf(verdict.state)},
                    {"generation", verdict.generation},
                    {"crashes", verdict.crashes.all},
                    {"begun_crashes", verdict.crashes.begun},
                    {"trial_in_ms", verdict.trial_in.count()},
                    {"companions", verdict.companions}});
  }
  return {{"verdicts", std::move(list)}};
}

Result<std::vector<PartVerdict>> DecodePartVerdicts(const json& body) {
  try {
    std::vector<PartVerdict> verdicts;
    for (const json& item : body.at("verdicts")) {
      const auto state = ParseEnum<PartState>(item.at("state").get<std::string>());
      if (!state) return Error{ControlMessageErrc::kMalformed, "unknown state of a prompt part"};
      const std::chrono::milliseconds trial_in(item.at("trial_in_ms").get<std::int64_t>());
      PartVerdict verdict;
      verdict.part = item.at("part").get<std::string>();
      verdict.state = *state;
      verdict.generation = item.at("generation").get<std::uint64_t>();
      verdict.crashes.all = item.at("crashes").get<std::uint32_t>();
      // Absent in messages of older versions.
      verdict.crashes.begun = item.value("begun_crashes", std::uint32_t{0});
      verdict.trial_in = std::clamp(trial_in, std::chrono::milliseconds(0), kMaxReceivedDelay);
      verdict.companions = ReadParts(item.at("companions"));
      verdicts.push_back(std::move(verdict));
    }
    return verdicts;
  } catch (const json::exception& error) {
    return Error{ControlMessageErrc::kMalformed, error.what()};
  }
}

json EncodeTrialRequest(const TrialRequest& request) {
  json body = EncodePartVerdicts({request.verdict});
  body["reason"] = NameOf(request.reason);
  return body;
}

Result<TrialRequest> DecodeTrialRequest(const json& body) {
  const auto verdicts = DecodePartVerdicts(body);
  if (!verdicts) return verdicts.error();
  const auto reason = ParseEnum<TrialReason>(StringIn(body, "reason"));
  if (verdicts.value().size() != 1 || !reason) {
    return Error{ControlMessageErrc::kMalformed, "expected one verdict and a known reason"};
  }
  return TrialRequest{verdicts.value().front(), *reason};
}

json EncodeTrialReply(bool is_granted) { return {{"is_granted", is_granted}}; }

bool IsTrialGranted(const json& body) {
  const auto granted = body.find("is_granted");
  return granted != body.end() && granted->is_boolean() && granted->get<bool>();
}

}  // namespace corneltray
