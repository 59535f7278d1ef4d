#include "corneltray/read_batcher.h"

#include <algorithm>

namespace corneltray {

ReadBatcher::Id ReadBatcher::Add(TimePoint deadline) {
  const Id id = ++m_last_id;
  m_reads[id].deadline = deadline;
  return id;
}

bool ReadBatcher::HasWaiting() const {
  return std::any_of(m_reads.begin(), m_reads.end(),
                     [](const auto& read) { return read.second.state == State::kWaiting; });
}

bool ReadBatcher::Begin(TimePoint now) {
  if (m_in_progress || now < m_next_begin || !HasWaiting()) return false;
  m_in_progress = true;
  m_next_begin = now + kReadBatchInterval;
  for (auto& [id, read] : m_reads) {
    if (read.state == State::kWaiting) read.state = State::kInProgress;
  }
  return true;
}

void ReadBatcher::Confirm(std::uint64_t index) { SetInProgressTo(State::kConfirmed, index); }

void ReadBatcher::Fail() { SetInProgressTo(State::kWaiting, 0); }

void ReadBatcher::SetInProgressTo(State state, std::uint64_t index) {
  m_in_progress = false;
  for (auto& [id, read] : m_reads) {
    if (read.state != State::kInProgress) continue;
    read.state = state;
    read.index = index;
  }
}

std::vector<ReadBatcher::Id> ReadBatcher::TakeComplete(std::uint64_t applied) {
  std::vector<Id> complete;
  for (auto read = m_reads.begin(); read != m_reads.end();) {
    const bool is_complete =
        read->second.state == State::kConfirmed && read->second.index <= applied;
    if (is_complete) complete.push_back(read->first);
    read = is_complete ? m_reads.erase(read) : std::next(read);
  }
  return complete;
}

std::vector<ReadBatcher::Id> ReadBatcher::TakeExpired(TimePoint now) {
  std::vector<Id> expired;
  for (auto read = m_reads.begin(); read != m_reads.end();) {
    const bool is_expired = now >= read->second.deadline;
    if (is_expired) expired.push_back(read->first);
    read = is_expired ? m_reads.erase(read) : std::next(read);
  }
  return expired;
}

std::optional<TimePoint> ReadBatcher::NextWakeup() const {
  std::optional<TimePoint> next;
  const auto consider = [&next](TimePoint at) { next = next ? std::min(*next, at) : at; };
  for (const auto& [id, read] : m_reads) consider(read.deadline);
  if (!m_in_progress && HasWaiting()) consider(m_next_begin);
  return next;
}

}  // namespace corneltray
