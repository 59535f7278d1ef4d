#include "corneltray/fleet_messages.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "corneltray/compression.h"

namespace corneltray {

using nlohmann::json;

namespace {

constexpr char kCompressedField[] = "compressed";
// A table of 10,000 upstreams takes some 4 MB.
constexpr std::size_t kMaxSnapshotBytes = 16UL * 1024UL * 1024UL;

}  // namespace

json EncodeUpstreamUpdates(const UpstreamUpdates& updates) {
  json changed = json::array();
  for (const UpstreamUpdate& update : updates.updates) {
    changed.push_back(
        {{"announcement", EncodeAnnouncement(update.announcement)}, {"has_left", update.has_left}});
  }
  json refreshed = json::array();
  for (const UpstreamRefresh& refresh : updates.refreshes) {
    refreshed.push_back({refresh.name, refresh.incarnation, refresh.sequence});
  }
  json body = {{"updates", std::move(changed)}, {"refreshes", std::move(refreshed)}};
  if (updates.position) {
    body["position"] = {updates.position->epoch, updates.position->batch};
  }
  return body;
}

UpstreamUpdates AllUpstreams(const UpstreamTable& table) {
  UpstreamUpdates all;
  for (const auto& [name, record] : table.Records()) {
    all.updates.push_back({record.announcement, record.has_left});
  }
  return all;
}

json EncodeUpstreamSnapshot(const UpstreamTable& table) {
  std::string encoded;
  json::to_cbor(EncodeUpstreamUpdates(AllUpstreams(table)), encoded);
  const std::string compressed = Compress(encoded);
  return {{kCompressedField, json::binary({compressed.begin(), compressed.end()})}};
}

namespace {

// Reads the compressed form, and takes the position from outside of it.
Result<UpstreamUpdates> DecodeSnapshot(const json& body) {
  const auto& bytes = body.at(kCompressedField).get_binary();
  const auto encoded = Decompress({bytes.begin(), bytes.end()}, kMaxSnapshotBytes);
  if (!encoded) return encoded.error();
  json inner = json::from_cbor(encoded.value());
  if (inner.contains(kCompressedField)) {
    return Error{UpstreamErrc::kMalformedAnnouncement, "compressed twice"};
  }
  const auto position = body.find("position");
  if (position != body.end()) inner["position"] = *position;
  return DecodeUpstreamUpdates(inner);
}

}  // namespace

Result<UpstreamUpdates> DecodeUpstreamUpdates(const json& body) {
  try {
    if (body.contains(kCompressedField)) return DecodeSnapshot(body);
    UpstreamUpdates decoded;
    for (const json& update : body.at("updates")) {
      auto announcement = DecodeAnnouncement(update.at("announcement"));
      if (!announcement) return announcement.error();
      decoded.updates.push_back(
          {std::move(announcement).value(), update.at("has_left").get<bool>()});
    }
    for (const json& refresh : body.at("refreshes")) {
      decoded.refreshes.push_back({refresh.at(0), refresh.at(1), refresh.at(2)});
    }
    const auto position = body.find("position");
    if (position != body.end()) decoded.position = {position->at(0), position->at(1)};
    return decoded;
  } catch (const json::exception& error) {
    return Error{UpstreamErrc::kMalformedAnnouncement, error.what()};
  }
}

void EngineHealthBatch::Add(const std::vector<EngineHealth>& engines) {
  for (const EngineHealth& engine : engines) {
    m_unsent[engine.name] = engine;
    const auto sent = m_sent_answers.find(engine.name);
    const bool answered = sent == m_sent_answers.end() || sent->second;
    if (engine.answers != answered) m_is_urgent = true;
  }
}

std::vector<EngineHealth> EngineHealthBatch::TakeDue(TimePoint now) {
  if (m_unsent.empty() || (!m_is_urgent && now < m_next_at)) return {};
  m_is_urgent = false;
  m_next_at = now + kHealthRelayInterval;
  std::vector<EngineHealth> due;
  due.reserve(m_unsent.size());
  for (const auto& [name, engine] : m_unsent) {
    due.push_back(engine);
    m_sent_answers[name] = engine.answers;
  }
  m_unsent.clear();
  return due;
}

json EncodeEngineHealth(const std::vector<EngineHealth>& engines) {
  json body = json::array();
  for (const EngineHealth& engine : engines) {
    body.push_back({engine.name, engine.incarnation, engine.answers, engine.load, engine.slowness});
    if (engine.memory) body.back().push_back(*engine.memory);
  }
  return {{"engines", std::move(body)}};
}

Result<std::vector<EngineHealth>> DecodeEngineHealth(const json& body) {
  try {
    std::vector<EngineHealth> engines;
    for (const json& engine : body.at("engines")) {
      engines.push_back(
          {engine.at(0).get<std::string>(), engine.at(1).get<std::uint64_t>(),
           engine.at(2).get<bool>(), engine.at(3).get<double>(), engine.at(4).get<double>(),
           engine.size() > 5 ? std::optional(engine.at(5).get<double>()) : std::nullopt});
    }
    return engines;
  } catch (const json::exception& error) {
    return Error{UpstreamErrc::kMalformedAnnouncement, error.what()};
  }
}

std::size_t ApplyUpstreamUpdates(TimePoint now, const UpstreamUpdates& updates,
                                 UpstreamTable* table) {
  const std::uint64_t before = table->Generation();
  for (const UpstreamUpdate& update : updates.updates) table->Apply(now, update);
  for (const UpstreamRefresh& refresh : updates.refreshes) {
    table->Refresh(now, refresh.name, refresh.incarnation, refresh.sequence);
  }
  return table->Generation() - before;
}

json EncodeRetryCounts(const std::map<std::string, RetryCounts>& counts) {
  json body = json::object();
  for (const auto& [service, count] : counts) {
    body[service] = {count.requests, count.retries, count.hosts};
  }
  return body;
}

Result<std::map<std::string, RetryCounts>> DecodeRetryCounts(const json& body) {
  try {
    std::map<std::string, RetryCounts> counts;
    for (const auto& [service, count] : body.items()) {
      counts[service] = {count.at(0).get<std::uint32_t>(), count.at(1).get<std::uint32_t>(),
                         count.at(2).get<std::uint32_t>()};
    }
    return counts;
  } catch (const json::exception& error) {
    return Error{UpstreamErrc::kMalformedAnnouncement, error.what()};
  }
}

}  // namespace corneltray
