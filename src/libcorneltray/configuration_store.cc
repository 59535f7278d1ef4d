#include <xxhash.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "booking_json.h"
#include "corneltray/configuration.h"
#include "corneltray/control_state.h"

namespace corneltray {
namespace {

using nlohmann::json;

constexpr std::size_t kMaxHistoryRows = 1000;
constexpr std::size_t kMaxChangeIds = 10'000;
// Number of earlier documents kept for patches. Receivers that are further behind get the whole
// document.
constexpr std::size_t kMaxEarlierDocuments = 64;
constexpr std::size_t kMaxChangeIdBytes = 128;
constexpr std::int64_t kDefaultRetentionMs = std::int64_t{48} * 3600 * 1000;

std::size_t SizeOf(const ConfigurationDocument& document) {
  std::size_t bytes = document.base.size();
  for (const auto& [site, text] : document.overlays) bytes += site.size() + text.size();
  return bytes;
}

std::uint64_t HashOf(const ConfigurationDocument& document) {
  std::string bytes;
  json::to_cbor(ToJson(document), bytes);
  return XXH64(bytes.data(), bytes.size(), 0);
}

// Returns why a change is invalid at any revision, or an empty string. The overlays must be sorted.
std::string CheckChange(const ApplyConfiguration& command) {
  const ConfigurationDocument& document = command.document;
  if (command.change_id.empty() || command.change_id.size() > kMaxChangeIdBytes) {
    return "change_id must have 1 to " + std::to_string(kMaxChangeIdBytes) + " bytes";
  }
  if (SizeOf(document) > kMaxDocumentBytes) {
    return "the document is over " + std::to_string(kMaxDocumentBytes) + " bytes";
  }
  for (std::size_t i = 1; i < document.overlays.size(); ++i) {
    if (document.overlays[i - 1].first == document.overlays[i].first) {
      return "two overlays for site " + document.overlays[i].first;
    }
  }
  std::string detail;
  for (const DocumentIssue& issue : ValidateConfiguration(document)) {
    if (!detail.empty()) detail += '\n';
    detail += issue.ToString();
  }
  return detail;
}

// Returns the greatest retention of any site, or 0 if no site has a complete configuration.
std::int64_t GreatestRetentionMs(const ConfigurationDocument& document) {
  std::int64_t retention = 0;
  std::vector<std::string> sites = {""};
  for (const auto& overlay : document.overlays) sites.push_back(overlay.first);
  for (const std::string& site : sites) {
    const ParsedDocument parsed = ParseConfiguration(document, site);
    if (!parsed.issues.empty()) continue;  // the base may be complete only with an overlay
    retention =
        std::max(retention, MakeConfiguration(parsed.values, site, 0).bookings.retention_ms);
  }
  return retention;
}

}  // namespace

ApplyConfiguration PrepareChange(ApplyConfiguration change) {
  std::sort(change.document.overlays.begin(), change.document.overlays.end());
  change.problem = CheckChange(change);
  change.retention_ms = change.problem.empty() ? GreatestRetentionMs(change.document) : 0;
  return change;
}

ConfigurationStore::ConfigurationStore() : m_retention_ms(kDefaultRetentionMs) {}

ConfigurationReply ConfigurationStore::Apply(const ApplyConfiguration& command, UnixMs log_time) {
  ConfigurationDocument document = command.document;
  std::sort(document.overlays.begin(), document.overlays.end());
  const std::uint64_t hash = HashOf(document);
  const auto accepted = m_changes.find(command.change_id);
  if (accepted != m_changes.end()) {
    if (accepted->second.document_hash != hash) {
      return {ConfigurationVerdict::kInvalid, m_revision,
              "change_id " + command.change_id + " was used before for another document"};
    }
    return {ConfigurationVerdict::kDuplicate, accepted->second.revision, ""};
  }
  if (command.expected_revision != m_revision) {
    return {ConfigurationVerdict::kRevisionConflict, m_revision,
            "expected revision " + std::to_string(command.expected_revision) +
                ", the current one is " + std::to_string(m_revision)};
  }
  if (!command.problem.empty()) {
    return {ConfigurationVerdict::kInvalid, m_revision, command.problem};
  }
  if (m_revision > 0) m_earlier[m_revision] = std::move(m_document);
  while (m_earlier.size() > kMaxEarlierDocuments) m_earlier.erase(m_earlier.begin());
  m_document = std::move(document);
  ++m_revision;
  if (command.retention_ms > 0) m_retention_ms = command.retention_ms;
  m_history.push_back({m_revision, command.change_id, command.author, log_time});
  if (m_history.size() > kMaxHistoryRows) m_history.pop_front();
  m_changes[command.change_id] = {m_revision, hash};
  m_change_order.push_back(command.change_id);
  if (m_change_order.size() > kMaxChangeIds) {
    m_changes.erase(m_change_order.front());
    m_change_order.pop_front();
  }
  return {ConfigurationVerdict::kApplied, m_revision, ""};
}

std::optional<ConfigurationDocument> ConfigurationStore::DocumentAt(std::uint64_t revision) const {
  if (revision == m_revision) return m_document;
  const auto found = m_earlier.find(revision);
  if (found == m_earlier.end()) return std::nullopt;
  return found->second;
}

json ConfigurationStore::Snapshot() const {
  json history = json::array();
  for (const ConfigurationHistoryRow& row : m_history) {
    history.push_back({row.revision, row.change_id, row.author, row.time});
  }
  json changes = json::array();
  for (const std::string& id : m_change_order) {
    const AcceptedChange& change = m_changes.at(id);
    changes.push_back({id, change.revision, change.document_hash});
  }
  return {{"revision", m_revision},
          {"document", ToJson(m_document)},
          {"history", std::move(history)},
          {"changes", std::move(changes)},
          {"retention_ms", m_retention_ms}};
}

void ConfigurationStore::Restore(const json& snapshot) {
  ConfigurationStore restored;
  restored.m_revision = snapshot.at("revision");
  restored.m_document = DocumentFromJson(snapshot.at("document"));
  for (const json& row : snapshot.at("history")) {
    restored.m_history.push_back({row.at(0), row.at(1), row.at(2), row.at(3)});
  }
  for (const json& change : snapshot.at("changes")) {
    const std::string id = change.at(0);
    restored.m_changes[id] = {change.at(1), change.at(2)};
    restored.m_change_order.push_back(id);
  }
  restored.m_retention_ms = snapshot.at("retention_ms");
  *this = std::move(restored);
}

}  // namespace corneltray
