#ifndef CORNELTRAY_PROMPT_MESSAGES_H_
#define CORNELTRAY_PROMPT_MESSAGES_H_

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "corneltray/crash_attribution.h"
#include "corneltray/prompt_quarantine.h"
#include "corneltray/result.h"

namespace corneltray {

// Bodies of the messages about prompt parts on which upstreams crash. All decoders fail with
// ControlMessageErrc::kMalformed on a malformed body and then return no part of it.

// Body of prompt_crash.
nlohmann::json EncodeCrashReport(const CrashReport& report);
Result<CrashReport> DecodeCrashReport(const nlohmann::json& body);

// Body of prompt_begun: parts with which an answer began.
nlohmann::json EncodePromptParts(const std::vector<std::string>& parts);
Result<std::vector<std::string>> DecodePromptParts(const nlohmann::json& body);

// Body of prompt_verdicts.
nlohmann::json EncodePartVerdicts(const std::vector<PartVerdict>& verdicts);
Result<std::vector<PartVerdict>> DecodePartVerdicts(const nlohmann::json& body);

// Body of prompt_trial.
nlohmann::json EncodeTrialRequest(const TrialRequest& request);
Result<TrialRequest> DecodeTrialRequest(const nlohmann::json& body);

// Body of the reply to prompt_trial. A malformed one grants nothing.
nlohmann::json EncodeTrialReply(bool is_granted);
bool IsTrialGranted(const nlohmann::json& body);

}  // namespace corneltray

#endif  // CORNELTRAY_PROMPT_MESSAGES_H_
