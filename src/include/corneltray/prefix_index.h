#ifndef CORNELTRAY_PREFIX_INDEX_H_
#define CORNELTRAY_PREFIX_INDEX_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "corneltray/time.h"

namespace corneltray {

constexpr std::chrono::seconds kPrefixExpiry{60};

// Which engine probably has a prompt prefix cached. A hint only: it may be wrong or missing. Holds
// a bounded number of prefixes. Not thread safe.
class PrefixIndex {
 public:
  explicit PrefixIndex(std::size_t capacity = 65536);

  // Notes that a prompt with this prefix hash was sent to an engine as first stage.
  void Insert(TimePoint now, std::uint64_t prefix_hash, const std::string& engine);

  // Takes in a cache event. `sequence` counts the events of one engine; a gap means that events
  // were lost, and all entries of the engine are dropped.
  void HandleEvent(TimePoint now, const std::string& engine, std::uint64_t sequence,
                   std::uint64_t prefix_hash, bool stored);

  // Returns the engine that last had the prefix, or an empty name.
  const std::string& Find(TimePoint now, std::uint64_t prefix_hash) const;

  // Drops every entry of an engine.
  void Forget(const std::string& engine);

  std::size_t size() const { return m_entries.size(); }

 private:
  struct Entry {
    std::uint32_t engine = 0;
    std::uint64_t generation = 0;  // of the engine; an older one is dropped
    TimePoint expires_at{};
  };
  struct Engine {
    std::string name;
    std::uint64_t generation = 0;
    std::uint64_t last_sequence = 0;
  };

  std::uint32_t Intern(const std::string& engine);
  void MakeRoom(TimePoint now);

  std::size_t m_capacity;
  std::unordered_map<std::uint64_t, Entry> m_entries;
  std::unordered_map<std::string, std::uint32_t> m_ids;
  std::vector<Engine> m_engines;
};

}  // namespace corneltray

#endif  // CORNELTRAY_PREFIX_INDEX_H_
