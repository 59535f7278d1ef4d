#include "corneltray/read_batcher.h"

#include <algorithm>
#include <utility>

namespace corneltray {

ReadBatcher::Id ReadBatcher::Add(TimePoint deadline) { return Add(deadline, ""); }

ReadBatcher::Id ReadBatcher::Add(TimePoint deadline, const std::string& host) {
  const Id id = ++m_last_id;
  Read& read = m_reads[id];
  read.deadline = deadline;
  read.host = host;
  if (host.empty()) return id;
  const auto [earlier, is_first] = m_read_of_host.emplace(host, id);
  if (is_first) return id;
  m_reads.erase(earlier->second);
  m_replaced.push_back(earlier->second);
  earlier->second = id;
  return id;
}

std::optional<TimePoint> ReadBatcher::UncoveredAt(const Read& read) const {
  if (read.index) return std::nullopt;
  if (read.first_round == 0 || m_in_progress.empty()) return TimePoint{};
  const auto& [newest, overlap_at] = *m_in_progress.rbegin();
  return newest < read.first_round ? TimePoint{} : overlap_at;
}

std::optional<TimePoint> ReadBatcher::NextBegin() const {
  if (m_in_progress.size() >= kMaxOverlappingReads) return std::nullopt;
  std::optional<TimePoint> next;
  for (const auto& [id, read] : m_reads) {
    const auto uncovered_at = UncoveredAt(read);
    if (uncovered_at) next = next ? std::min(*next, *uncovered_at) : *uncovered_at;
  }
  if (!next) return std::nullopt;
  if (!m_in_progress.empty()) next = std::max(*next, m_in_progress.rbegin()->second);
  return std::max(*next, m_next_begin);
}

std::optional<ReadBatcher::Round> ReadBatcher::Begin(TimePoint now) {
  const auto due = NextBegin();
  if (!due || now < *due) return std::nullopt;
  const Round round = ++m_last_round;
  m_in_progress[round] = now + kReadOverlapDelay;
  m_next_begin = now + kReadBatchInterval;
  for (auto& [id, read] : m_reads) {
    if (read.first_round == 0) read.first_round = round;
  }
  return round;
}

void ReadBatcher::Confirm(Round round, std::uint64_t index) {
  m_in_progress.erase(round);
  for (auto& [id, read] : m_reads) {
    const bool is_covered = read.first_round != 0 && read.first_round <= round;
    if (is_covered && !read.index) read.index = index;
  }
}

void ReadBatcher::Fail(Round round) { m_in_progress.erase(round); }

void ReadBatcher::Erase(std::map<Id, Read>::iterator read) {
  const auto of_host = m_read_of_host.find(read->second.host);
  if (of_host != m_read_of_host.end() && of_host->second == read->first) {
    m_read_of_host.erase(of_host);
  }
  m_reads.erase(read);
}

std::vector<ReadBatcher::CompleteRead> ReadBatcher::TakeComplete(std::uint64_t applied) {
  std::vector<CompleteRead> complete;
  for (auto read = m_reads.begin(); read != m_reads.end();) {
    const auto current = read++;
    const auto& index = current->second.index;
    if (!index || *index > applied) continue;
    complete.push_back({current->first, *index});
    Erase(current);
  }
  return complete;
}

std::vector<ReadBatcher::Id> ReadBatcher::TakeExpired(TimePoint now) {
  std::vector<Id> expired;
  for (auto read = m_reads.begin(); read != m_reads.end();) {
    const auto current = read++;
    if (now < current->second.deadline) continue;
    expired.push_back(current->first);
    Erase(current);
  }
  return expired;
}

void ReadBatcher::SetHeldVersion(Id id, std::uint64_t version) {
  const auto read = m_reads.find(id);
  if (read != m_reads.end()) read->second.held_version = version;
}

std::vector<ReadBatcher::Id> ReadBatcher::TakeOutdated(std::uint64_t version) {
  std::vector<Id> outdated;
  for (auto read = m_reads.begin(); read != m_reads.end();) {
    const auto current = read++;
    const auto& held = current->second.held_version;
    if (!held || *held >= version) continue;
    outdated.push_back(current->first);
    Erase(current);
  }
  return outdated;
}

std::vector<ReadBatcher::Id> ReadBatcher::TakeReplaced() { return std::exchange(m_replaced, {}); }

std::optional<TimePoint> ReadBatcher::NextWakeup() const {
  std::optional<TimePoint> next = NextBegin();
  for (const auto& [id, read] : m_reads) {
    next = next ? std::min(*next, read.deadline) : read.deadline;
  }
  return next;
}

}  // namespace corneltray
