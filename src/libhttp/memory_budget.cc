#include "corneltray/memory_budget.h"

#include <malloc.h>
#include <sys/resource.h>
#include <sys/sysinfo.h>

#include <algorithm>
#include <numeric>
#include <utility>

#include "corneltray/route_table.h"

namespace corneltray {
namespace {

constexpr std::size_t kMegabyte = std::size_t{1024} * 1024;
// Shares of the part of a door from which on its connections are read no more, are closed, and down
// to which they are closed.
constexpr double kHighShare = 0.6;
constexpr double kCriticalShare = 0.8;
constexpr double kReliefShare = 0.5;
// Of the descriptors that a process may open, these are for files, timers and links to other
// processes.
constexpr std::size_t kOtherDescriptors = 264;
constexpr std::size_t kFewestConnections = 16;
// A door never has more connections than this, so that a scan of them stays short.
constexpr std::size_t kMostConnections = 2000;
// The largest call of an operator is held twice, as received and as decoded, and has to stay below
// the critical share.
constexpr std::size_t kMinOperatorBytes = 2 * kMaxRouteTableBytes * 5 / 4 + 2 * kMegabyte;
constexpr std::size_t kMaxOperatorBytes = 2 * kMinOperatorBytes;
// With less memory there would be no room for the largest call beside the other doors.
constexpr std::size_t kMinProcessBytes = 64 * kMegabyte;
constexpr std::size_t kDefaultDoorBytes = 48 * kMegabyte;

// Parts of the memory and of the descriptors of a process. Upstreams get what is left of the
// descriptors; their memory is counted at the door of the callers.
struct DoorShare {
  Door door;
  double memory;
  double descriptors;
};

constexpr DoorShare kShares[] = {
    {Door::kCallers, 0.6, 0.375},
    {Door::kReadiness, 0.05, 0.03125},
    {Door::kMetrics, 0.05, 0.03125},
    {Door::kOperators, 0.3, 0.125},
};
constexpr double kUpstreamDescriptorShare = 0.4375;

std::size_t Scale(std::size_t whole, double share) {
  return static_cast<std::size_t>(static_cast<double>(whole) * share);
}

std::size_t MachineMemory() {
  struct sysinfo info {};
  if (sysinfo(&info) != 0) return std::size_t{1024} * kMegabyte;
  return static_cast<std::size_t>(info.totalram) * info.mem_unit;
}

std::size_t OpenFileLimit() {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0) return 1024;
  return static_cast<std::size_t>(limit.rlim_cur);
}

}  // namespace

ProcessLimits ReadProcessLimits(std::size_t memory_mb, std::size_t open_files) {
  ProcessLimits limits;
  limits.memory_bytes = memory_mb > 0 ? memory_mb * kMegabyte : MachineMemory();
  limits.descriptors = open_files > 0 ? open_files : OpenFileLimit();
  return limits;
}

void ReturnFreedMemory() {
#ifdef __GLIBC__
  constexpr int kLargeBytes = 128 * 1024;
  constexpr int kKeptBytes = 1024 * 1024;
  mallopt(M_MMAP_THRESHOLD, kLargeBytes);
  mallopt(M_TRIM_THRESHOLD, kKeptBytes);
#endif
}

MemoryPressure DoorBudget::Pressure() const {
  const std::size_t used = UsedBytes();
  if (used > Scale(m_max_bytes, kCriticalShare)) return MemoryPressure::kCritical;
  if (used > Scale(m_max_bytes, kHighShare)) return MemoryPressure::kHigh;
  return MemoryPressure::kNone;
}

bool DoorBudget::Fits(std::size_t bytes) const {
  return UsedBytes() + bytes <= Scale(m_max_bytes, kCriticalShare);
}

std::size_t DoorBudget::Excess() const {
  const std::size_t used = UsedBytes();
  const std::size_t target = Scale(m_max_bytes, kReliefShare);
  return used > target ? used - target : 0;
}

void DoorBudget::Replace(std::size_t before, std::size_t after) {
  m_used_bytes.store(UsedBytes() - before + after, std::memory_order_relaxed);
}

void DoorBudget::RecordClosed(CloseReason reason) {
  auto& closed = m_closed[static_cast<std::size_t>(reason)];
  closed.store(closed.load(std::memory_order_relaxed) + 1, std::memory_order_relaxed);
}

std::uint64_t DoorBudget::Closed(CloseReason reason) const {
  return m_closed[static_cast<std::size_t>(reason)].load(std::memory_order_relaxed);
}

void MemoryCharge::SetDoor(std::shared_ptr<DoorBudget> door) {
  const std::size_t bytes = m_bytes;
  Update(0);
  m_door = std::move(door);
  Update(bytes);
}

void MemoryCharge::Update(std::size_t bytes) {
  if (bytes == m_bytes) return;
  if (m_door) m_door->Replace(m_bytes, bytes);
  m_bytes = bytes;
}

MemoryBudget::MemoryBudget(const ProcessLimits& limits, const std::vector<Door>& doors) {
  const std::size_t usable = limits.descriptors - std::min(limits.descriptors, kOtherDescriptors);
  std::size_t memory = std::max(limits.memory_bytes, kMinProcessBytes) / 2;
  const auto has = [&doors](Door door) {
    return std::find(doors.begin(), doors.end(), door) != doors.end();
  };
  std::map<Door, std::size_t> bytes;
  if (has(Door::kOperators)) {
    const double share = kShares[static_cast<std::size_t>(Door::kOperators)].memory;
    bytes[Door::kOperators] =
        std::clamp(Scale(memory, share), kMinOperatorBytes, kMaxOperatorBytes);
    memory -= std::min(memory, bytes[Door::kOperators]);
  }
  // The other doors divide what is left by their shares.
  double whole = 0.0;
  for (const DoorShare& share : kShares) {
    if (share.door != Door::kOperators && has(share.door)) whole += share.memory;
  }
  for (const DoorShare& share : kShares) {
    if (!has(share.door)) continue;
    if (share.door != Door::kOperators) bytes[share.door] = Scale(memory, share.memory / whole);
    const std::size_t connections =
        std::clamp(Scale(usable, share.descriptors), kFewestConnections, kMostConnections);
    m_parts[share.door] = std::make_shared<DoorBudget>(bytes[share.door], connections);
  }
  m_max_upstream_connections =
      std::max(Scale(usable, kUpstreamDescriptorShare), kFewestConnections);
}

std::shared_ptr<DoorBudget> MemoryBudget::Part(Door door) const {
  const auto found = m_parts.find(door);
  return found == m_parts.end() ? MakeDefaultDoorBudget() : found->second;
}

std::string MemoryBudget::MetricsText() const {
  std::string text;
  const auto add_gauge = [this, &text](const std::string& name, auto value_of) {
    const std::string metric = "corneltray_" + name;
    text += "# TYPE " + metric + " gauge\n";
    for (const auto& [door, part] : m_parts) {
      text += metric + "{door=\"" + std::string(NameOf(door)) + "\"} " +
              std::to_string(value_of(*part)) + "\n";
    }
  };
  add_gauge("door_memory_bytes", [](const DoorBudget& part) { return part.UsedBytes(); });
  add_gauge("door_memory_limit_bytes", [](const DoorBudget& part) { return part.MaxBytes(); });
  add_gauge("door_connection_limit", [](const DoorBudget& part) { return part.MaxConnections(); });
  text += "# TYPE corneltray_connections_closed_total counter\n";
  for (const auto& [door, part] : m_parts) {
    for (const auto& [reason, name] : EnumNames<CloseReason>::kTable) {
      text += "corneltray_connections_closed_total{door=\"" + std::string(NameOf(door)) +
              "\",reason=\"" + std::string(name) + "\"} " + std::to_string(part->Closed(reason)) +
              "\n";
    }
  }
  return text;
}

std::shared_ptr<DoorBudget> MakeDefaultDoorBudget() {
  return std::make_shared<DoorBudget>(kDefaultDoorBytes, kMostConnections);
}

std::vector<std::size_t> ChooseToClose(const std::vector<HeldConnection>& connections,
                                       std::size_t excess) {
  std::vector<std::size_t> order(connections.size());
  std::iota(order.begin(), order.end(), std::size_t{0});
  const auto is_protected = [&](std::size_t i) { return connections[i].is_protected; };
  order.erase(std::remove_if(order.begin(), order.end(), is_protected), order.end());
  const auto holds_more = [&](std::size_t a, std::size_t b) {
    const auto weight = [&](std::size_t i) {
      const HeldConnection& one = connections[i];
      return static_cast<double>(one.bytes) / static_cast<double>(one.progress_bytes + 1);
    };
    return weight(a) > weight(b);
  };
  std::stable_sort(order.begin(), order.end(), holds_more);
  std::size_t freed = 0;
  std::size_t count = 0;
  while (count < order.size() && freed < excess) freed += connections[order[count++]].bytes;
  order.resize(count);
  return order;
}

}  // namespace corneltray
