#include <malloc.h>

#include <chrono>
#include <cstdio>
#include <ctime>
#include <deque>
#include <filesystem>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "corneltray/booking.h"
#include "corneltray/configuration.h"
#include "corneltray/configuration_feed.h"
#include "corneltray/consensus.h"
#include "corneltray/control_state.h"
#include "corneltray/log_storage.h"
#include "report.h"

namespace corneltray::bench {
namespace {

constexpr UnixMs kStartMs = 1'800'000'000'000;
constexpr double kMicroseconds = 1e6;

// CPU time of this process, so that a busy machine does not change a figure much.
double CpuSeconds() { return static_cast<double>(std::clock()) / CLOCKS_PER_SEC; }

double HeapBytes() { return static_cast<double>(mallinfo2().uordblks); }

// A UUID of version 7 with the given time and a counter in place of random bits.
std::string MakeKey(UnixMs time, std::uint64_t number) {
  char text[37];
  std::snprintf(text, sizeof(text), "%08llx-%04llx-7000-8000-%012llx",
                static_cast<unsigned long long>(time >> 16),     // NOLINT(google-runtime-int)
                static_cast<unsigned long long>(time & 0xffff),  // NOLINT(google-runtime-int)
                static_cast<unsigned long long>(number));        // NOLINT(google-runtime-int)
  return text;
}

ClaimBooking MakeClaim(std::uint64_t number) {
  ClaimBooking claim;
  claim.key = {"front-desk", "ledger", MakeKey(kStartMs, number)};
  claim.attempt = "0123456789abcdef0123456789abcdef";
  claim.entry_host = "dkr-a-entry-1";
  claim.request_hash = "0123456789abcdef";
  claim.resolve_at = kStartMs + 32'000;
  return claim;
}

FinishBooking MakeFinish(std::uint64_t number) {
  FinishBooking finish;
  finish.key = {"front-desk", "ledger", MakeKey(kStartMs, number)};
  finish.attempt = "0123456789abcdef0123456789abcdef";
  finish.outcome = BookingState::kDone;
  finish.answer = {201, "application/json", std::string(300, 'x'), true};
  return finish;
}

void BenchBookings(Report* report) {
  constexpr std::uint64_t kKeys = 100'000;
  const double heap_before = HeapBytes();
  const double cpu_before = CpuSeconds();
  ControlState state;
  for (std::uint64_t i = 0; i < kKeys; ++i) {
    state.Apply(MakeClaim(i), kStartMs);
    state.Apply(MakeFinish(i), kStartMs);
  }
  const double cpu = CpuSeconds() - cpu_before;
  report->Add({"booking, memory for a key with an answer of 300 bytes", "-",
               (HeapBytes() - heap_before) / kKeys, "B", "", Goal::kNone, 0.0});
  report->Add({"booking, CPU to apply claim and finish at one replica", "-",
               cpu / kKeys * kMicroseconds, "us", "", Goal::kNone, 0.0});
  report->Add({"booking, log bytes for claim and finish", "-",
               static_cast<double>(EncodeCommand(MakeClaim(1)).size() +
                                   EncodeCommand(MakeFinish(1)).size()),
               "B", "", Goal::kNone, 0.0});
  const double snapshot_before = CpuSeconds();
  const std::string snapshot = state.Snapshot();
  report->Add({"booking, CPU for a snapshot, per key", "-",
               (CpuSeconds() - snapshot_before) / kKeys * kMicroseconds, "us", "", Goal::kNone,
               0.0});
  report->Add({"booking, snapshot bytes per key", "-", static_cast<double>(snapshot.size()) / kKeys,
               "B", "", Goal::kNone, 0.0});
}

// Three replicas whose messages and disks take no time.
class Group {
 public:
  Group() {
    for (const char* host : {"a", "b", "c"}) {
      PersistentState state;
      state.self = {host, std::string("disk-") + host};
      state.founding_hosts = {"a", "b", "c"};
      ReplicaOptions options;
      options.seed = m_replicas.size() + 1;
      m_replicas.push_back(std::make_unique<Replica>(options, state, m_now));
    }
    while (Leader() == nullptr) Advance();
  }

  Replica* Leader() {
    for (auto& replica : m_replicas) {
      const ReplicaStatus status = replica->GetStatus();
      if (status.role == ReplicaRole::kLeader && status.accepts_proposals) return replica.get();
    }
    return nullptr;
  }

  // Proposes and delivers until nothing is left to send.
  bool Propose(std::string payload) {
    Replica* leader = Leader();
    if (leader == nullptr || !leader->Propose(m_now, kStartMs, std::move(payload)).Ok()) {
      return false;
    }
    Deliver();
    leader->Compact(leader->GetStatus().commit_index, "");
    return true;
  }

  void Advance() {
    m_now += std::chrono::milliseconds(50);
    for (auto& replica : m_replicas) replica->Tick(m_now);
    Deliver();
  }

  double SentBytes() const { return m_bytes; }

 private:
  void Deliver() {
    bool busy = true;
    while (busy) {
      busy = false;
      for (auto& replica : m_replicas) busy = Take(replica.get()) || busy;
      while (!m_messages.empty()) {
        const ReplicaMessage message = std::move(m_messages.front());
        m_messages.pop_front();
        for (auto& replica : m_replicas) {
          if (replica->GetStatus().self.host == message.to.host) {
            replica->Step(m_now, message.from.host, message);
          }
        }
      }
    }
  }

  bool Take(Replica* replica) {
    ActionBatch batch = replica->TakeActions();
    for (Action& action : batch.actions) {
      if (auto* send = std::get_if<SendMessage>(&action)) {
        m_bytes += static_cast<double>(EncodeReplicaMessage(send->message).size());
        m_messages.push_back(std::move(send->message));
      }
    }
    if (batch.needs_sync) replica->Persisted(m_now, batch.sequence);
    return !batch.actions.empty();
  }

  TimePoint m_now{std::chrono::hours(1)};
  std::vector<std::unique_ptr<Replica>> m_replicas;
  std::deque<ReplicaMessage> m_messages;
  double m_bytes = 0.0;
};

void BenchReplication(Report* report) {
  constexpr int kProposals = 20'000;
  Group group;
  const double bytes_before = group.SentBytes();
  const double cpu_before = CpuSeconds();
  int done = 0;
  for (int i = 0; i < kProposals; ++i) done += group.Propose(std::string(300, 'x')) ? 1 : 0;
  const double cpu = CpuSeconds() - cpu_before;
  report->Add({"log, CPU for one record of 300 bytes, three replicas and coding", "1-3",
               cpu / done * kMicroseconds, "us", "", Goal::kNone, 0.0});
  report->Add({"log, bytes between replicas for one record of 300 bytes", "1-3",
               (group.SentBytes() - bytes_before) / done, "B", "", Goal::kNone, 0.0});
  const double idle_before = group.SentBytes();
  constexpr int kIdleSteps = 200;  // of 50 ms
  for (int i = 0; i < kIdleSteps; ++i) group.Advance();
  report->Add({"log, bytes a second between three idle replicas", "1-3",
               (group.SentBytes() - idle_before) / (kIdleSteps * 0.05), "B/s", "", Goal::kNone,
               0.0});
}

void BenchDisk(Report* report) {
  namespace fs = std::filesystem;
  const fs::path folder = fs::temp_directory_path() / "corneltray-capacity-bench";
  fs::remove_all(folder);
  if (!LogStorage::Format(folder.string(), "a", {"a"}).Ok()) return;
  auto opened = LogStorage::Open(folder.string(), "a");
  if (!opened.Ok()) return;
  LogStorage& storage = *opened.value();
  std::uint64_t index = 0;
  for (const std::size_t group : {std::size_t{1}, std::size_t{16}, std::size_t{256}}) {
    constexpr int kSyncs = 50;
    const auto start = std::chrono::steady_clock::now();
    for (int i = 0; i < kSyncs; ++i) {
      PersistEntries persist;
      for (std::size_t k = 0; k < group; ++k) {
        persist.entries.push_back(
            {++index, 1, EntryKind::kCommand, kStartMs, std::string(300, 'x')});
      }
      ActionBatch batch;
      batch.needs_sync = true;
      batch.actions.emplace_back(std::move(persist));
      if (!storage.Commit({batch}).Ok()) return;
    }
    const std::chrono::duration<double> took = std::chrono::steady_clock::now() - start;
    report->Add({"log, records a second on this disk, " + std::to_string(group) + " a sync", "-",
                 static_cast<double>(group) * kSyncs / took.count(), "1/s", "", Goal::kNone, 0.0});
  }
  opened.value().reset();
  fs::remove_all(folder);
}

// A configuration of the size of docs/design.md section 1.5: 27 models and 230 customers.
ConfigurationDocument LargeDocument() {
  std::string base;
  for (int i = 0; i < 27; ++i) {
    base += "[[model]]\nname = \"model-" + std::to_string(i) +
            "\"\nversion = \"2026-11\"\nlayers = 48\nbytes_per_layer = 450000000\n\n";
  }
  for (int i = 0; i < 230; ++i) {
    const std::string number = std::to_string(i);
    base += "[[customer]]\nname = \"customer-" + number + "\"\nkey = \"key-of-the-customer-" +
            number + "\"\nrequests_per_s = 70.0\nburst = 140.0\n\n";
  }
  return {base, {{"dkr", "[limits]\ndefault_deadline_ms = 20000\n"}, {"karachi", ""}}};
}

void BenchConfiguration(Report* report) {
  const RevisedDocument before{1, LargeDocument()};
  RevisedDocument after{2, before.document};
  const std::string old_text = "requests_per_s = 70.0";
  after.document.base.replace(after.document.base.rfind(old_text), old_text.size(),
                              "requests_per_s = 80.0");
  const auto size_of = [](const nlohmann::json& update) {
    return static_cast<double>(nlohmann::json::to_cbor(update).size());
  };
  report->Add({"configuration, bytes of the whole document", "-",
               size_of(MakeConfigurationUpdate(std::nullopt, after)), "B", "", Goal::kNone, 0.0});
  report->Add({"configuration, bytes of one changed value", "-",
               size_of(MakeConfigurationUpdate(before, after)), "B", "", Goal::kNone, 0.0});
  constexpr int kRounds = 10;
  const double cpu_before = CpuSeconds();
  for (int i = 0; i < kRounds; ++i) {
    const auto update = MakeConfigurationUpdate(before, after);
    const auto applied = ApplyConfigurationUpdate(before, update);
    if (!applied.Ok()) return;
    const ParsedDocument parsed = ParseConfiguration(applied.value().document, "dkr");
    if (!parsed.issues.empty()) return;
    MakeConfiguration(parsed.values, "dkr", 2);
  }
  report->Add({"configuration, CPU to make, apply and parse one change", "-",
               (CpuSeconds() - cpu_before) / kRounds * 1e3, "ms", "", Goal::kNone, 0.0});
}

}  // namespace

void RunCapacityBench(Report* report) {
  report->Section("capacity (slopes for docs/CAPACITY.md; CPU time of this machine)");
  BenchBookings(report);
  BenchReplication(report);
  BenchDisk(report);
  BenchConfiguration(report);
}

}  // namespace corneltray::bench
