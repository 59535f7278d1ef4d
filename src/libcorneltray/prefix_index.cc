#include "corneltray/prefix_index.h"

namespace corneltray {
namespace {

const std::string& NoEngine() {
  static const std::string empty;
  return empty;
}

}  // namespace

PrefixIndex::PrefixIndex(std::size_t capacity) : m_capacity(capacity) {}

std::uint32_t PrefixIndex::Intern(const std::string& engine) {
  const auto [it, inserted] =
      m_ids.try_emplace(engine, static_cast<std::uint32_t>(m_engines.size()));
  if (inserted) m_engines.push_back({engine, 0, 0});
  return it->second;
}

void PrefixIndex::MakeRoom(TimePoint now) {
  if (m_entries.size() < m_capacity) return;
  for (auto it = m_entries.begin(); it != m_entries.end();) {
    const Entry& entry = it->second;
    const bool dead =
        entry.expires_at <= now || entry.generation != m_engines[entry.engine].generation;
    it = dead ? m_entries.erase(it) : std::next(it);
  }
  // All are live: a tenth goes, so that the scan above is rare.
  std::size_t to_drop = m_entries.size() < m_capacity ? 0 : m_capacity / 10 + 1;
  for (auto it = m_entries.begin(); it != m_entries.end() && to_drop > 0; --to_drop) {
    it = m_entries.erase(it);
  }
}

void PrefixIndex::Insert(TimePoint now, std::uint64_t prefix_hash, const std::string& engine) {
  MakeRoom(now);
  const std::uint32_t id = Intern(engine);
  m_entries[prefix_hash] = {id, m_engines[id].generation, now + kPrefixExpiry};
}

void PrefixIndex::HandleEvent(TimePoint now, const std::string& engine, std::uint64_t sequence,
                              std::uint64_t prefix_hash, bool stored) {
  Engine& state = m_engines[Intern(engine)];
  if (state.last_sequence != 0 && sequence <= state.last_sequence) return;
  if (state.last_sequence != 0 && sequence != state.last_sequence + 1) ++state.generation;
  state.last_sequence = sequence;
  if (stored) {
    Insert(now, prefix_hash, engine);
    return;
  }
  const auto it = m_entries.find(prefix_hash);
  if (it != m_entries.end() && m_engines[it->second.engine].name == engine) m_entries.erase(it);
}

const std::string& PrefixIndex::Find(TimePoint now, std::uint64_t prefix_hash) const {
  const auto it = m_entries.find(prefix_hash);
  if (it == m_entries.end() || it->second.expires_at <= now) return NoEngine();
  const Engine& engine = m_engines[it->second.engine];
  return it->second.generation == engine.generation ? engine.name : NoEngine();
}

void PrefixIndex::Forget(const std::string& engine) {
  Engine& state = m_engines[Intern(engine)];
  ++state.generation;
  state.last_sequence = 0;
}

}  // namespace corneltray
