#include "corneltray/load_table.h"

#include <algorithm>

namespace corneltray {

UpstreamId LoadTable::Intern(const std::string& name) {
  const auto [it, inserted] = m_ids.try_emplace(name, static_cast<UpstreamId>(m_entries.size()));
  if (inserted) m_entries.emplace_back();
  return it->second;
}

void LoadTable::Report(TimePoint now, const std::string& name, const LoadReport& report) {
  Entry& entry = m_entries[Intern(name)];
  entry.report = report;
  entry.expires_at = now + kLoadReportExpiry;
  entry.started_since_report = 0;
}

void LoadTable::Begin(TimePoint /*now*/, const std::string& name) {
  Entry& entry = m_entries[Intern(name)];
  ++entry.in_flight;
  ++entry.started_since_report;
}

void LoadTable::End(TimePoint /*now*/, const std::string& name) {
  Entry& entry = m_entries[Intern(name)];
  if (entry.in_flight > 0) --entry.in_flight;
  // Work that started and ended since the report is in neither the report nor the queue.
  if (entry.started_since_report > entry.in_flight) entry.started_since_report = entry.in_flight;
}

double LoadTable::Queue(TimePoint now, UpstreamId id) const {
  const Entry& entry = m_entries[id];
  if (now >= entry.expires_at) return entry.in_flight;
  const double reported = static_cast<double>(entry.report.running) + entry.report.waiting;
  return std::max<double>(reported + entry.started_since_report, entry.in_flight);
}

std::uint32_t LoadTable::InFlight(UpstreamId id) const { return m_entries[id].in_flight; }

void LoadTable::Forget(const std::string& name) {
  const auto it = m_ids.find(name);
  if (it == m_ids.end()) return;
  m_entries[it->second].report = {};
  m_entries[it->second].expires_at = {};
}

}  // namespace corneltray
