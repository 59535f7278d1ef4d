#ifndef CORNELTRAY_MEMORY_BUDGET_H_
#define CORNELTRAY_MEMORY_BUDGET_H_

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <iterator>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "corneltray/enum_names.h"

namespace corneltray {

// A listener of a process, as far as memory is concerned. Each one has a part of its own, so that a
// flood at one does not close another.
enum class Door { kCallers, kReadiness, kMetrics, kOperators };

template <>
struct EnumNames<Door> {
  static constexpr EnumName<Door> kTable[] = {
      {Door::kCallers, "callers"},
      {Door::kReadiness, "readiness"},
      {Door::kMetrics, "metrics"},
      {Door::kOperators, "operators"},
  };
};

// Why a listener closed a connection, or refused its request, on its own account.
enum class CloseReason {
  kIdle,         // no request within the idle timeout
  kSlowHead,     // a head that did not arrive in time
  kSlowBody,     // a body below the minimum rate
  kSlowReader,   // an answer that is read below the minimum rate
  kMemory,       // its door holds too much
  kConnections,  // its door has too many connections
};

template <>
struct EnumNames<CloseReason> {
  static constexpr EnumName<CloseReason> kTable[] = {
      {CloseReason::kIdle, "idle"},          {CloseReason::kSlowHead, "slow_head"},
      {CloseReason::kSlowBody, "slow_body"}, {CloseReason::kSlowReader, "slow_reader"},
      {CloseReason::kMemory, "memory"},      {CloseReason::kConnections, "connections"},
  };
};

constexpr std::size_t kCloseReasons = std::size(EnumNames<CloseReason>::kTable);

// What a process may use in total.
struct ProcessLimits {
  std::size_t memory_bytes = 0;
  std::size_t descriptors = 0;
};

// Returns the limits of the settings. A limit of zero is taken from the machine and from the limits
// of the process.
ProcessLimits ReadProcessLimits(std::size_t memory_mb, std::size_t open_files);

// Makes the allocator give large buffers back to the system as soon as they are freed. By itself it
// keeps many of them, which then count as memory of the process. Call before other threads start.
void ReturnFreedMemory();

enum class MemoryPressure {
  kNone,
  kHigh,      // connections that hold much are not read
  kCritical,  // connections are closed
};

// The part of one door: how much its connections hold, and how much they may. Changed on one
// thread; any thread may read it.
class DoorBudget {
 public:
  DoorBudget(std::size_t max_bytes, std::size_t max_connections)
      : m_max_bytes(max_bytes), m_max_connections(max_connections) {}

  std::size_t MaxBytes() const { return m_max_bytes; }
  std::size_t MaxConnections() const { return m_max_connections; }
  std::size_t UsedBytes() const { return m_used_bytes.load(std::memory_order_relaxed); }

  MemoryPressure Pressure() const;
  // Whether so many bytes more leave the pressure below kCritical.
  bool Fits(std::size_t bytes) const;
  // Bytes to give up under pressure, so that the door does not return to it with the next request.
  std::size_t Excess() const;

  // Replaces the bytes that one holder is counted with.
  void Replace(std::size_t before, std::size_t after);

  void RecordClosed(CloseReason reason);
  std::uint64_t Closed(CloseReason reason) const;

 private:
  const std::size_t m_max_bytes;
  const std::size_t m_max_connections;
  std::atomic<std::size_t> m_used_bytes{0};
  std::array<std::atomic<std::uint64_t>, kCloseReasons> m_closed{};
};

// Bytes that one holder, such as a connection, is counted with at its door. They are given back
// when it is destroyed.
class MemoryCharge {
 public:
  MemoryCharge() = default;
  explicit MemoryCharge(std::shared_ptr<DoorBudget> door) : m_door(std::move(door)) {}
  ~MemoryCharge() { Update(0); }
  MemoryCharge(const MemoryCharge&) = delete;
  MemoryCharge& operator=(const MemoryCharge&) = delete;

  // Replaces the door, which takes over what is counted.
  void SetDoor(std::shared_ptr<DoorBudget> door);
  void Update(std::size_t bytes);
  std::size_t Bytes() const { return m_bytes; }

 private:
  std::shared_ptr<DoorBudget> m_door;
  std::size_t m_bytes = 0;
};

// The budget of one process. Half of the memory is for its connections; the rest is for the program
// and its tables, the buffers of the kernel, and copies that live for a moment.
class MemoryBudget {
 public:
  // `doors` are those that the process has; the others have no part.
  MemoryBudget(const ProcessLimits& limits, const std::vector<Door>& doors);

  // Never null; a door that the process does not have gets a part of the default size.
  std::shared_ptr<DoorBudget> Part(Door door) const;
  // Connections to upstreams, busy or idle.
  std::size_t MaxUpstreamConnections() const { return m_max_upstream_connections; }

  // What each door holds, may hold and has closed, in the exposition format. Thread-safe.
  std::string MetricsText() const;

 private:
  std::map<Door, std::shared_ptr<DoorBudget>> m_parts;
  std::size_t m_max_upstream_connections;
};

// The part of a door in a process without a budget, such as a test.
std::shared_ptr<DoorBudget> MakeDefaultDoorBudget();

// What one connection holds, for the choice of those to close.
struct HeldConnection {
  std::size_t bytes = 0;
  std::size_t progress_bytes = 0;  // moved lately, in either direction
  bool is_protected = false;       // its request may have been sent on to an upstream
};

// Returns the positions of the connections to close so that `excess` bytes become free: those that
// hold most for the least progress first. It answers crowds whose bodies stop short of their end.
std::vector<std::size_t> ChooseToClose(const std::vector<HeldConnection>& connections,
                                       std::size_t excess);

}  // namespace corneltray

#endif  // CORNELTRAY_MEMORY_BUDGET_H_
