#include <doctest/doctest.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <queue>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "corneltray/fetch_scheduler.h"
#include "corneltray/host_reports.h"
#include "corneltray/read_batcher.h"

namespace corneltray {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart{std::chrono::hours(1)};
constexpr int kControlHosts = 5;
constexpr int kFollowerMajority = 2;  // that confirms a read together with the leader
constexpr int kEntryHosts = 350;
constexpr double kProcessorShare = 0.15;  // of a core, that a control host has
constexpr microseconds kDelay{500};       // of a message on its way
constexpr milliseconds kTickInterval{100};
constexpr milliseconds kFetchTimeout{800};
constexpr milliseconds kReadIndexTimeout{900};
constexpr milliseconds kReportTimeout{900};

// Processor time of a control host for one message, or for each part of one.
constexpr microseconds kFetchCost{180};
constexpr microseconds kFetchReplyCost{280};
constexpr microseconds kRefusalCost{60};
constexpr microseconds kDropCost{60};  // of a request that its sender has given up
constexpr microseconds kHeartbeatCost{80};
constexpr microseconds kReadIndexCost{100};
constexpr microseconds kReportCost{50};  // of one entry host, in a message of a control host
constexpr microseconds kSumCost{1500};   // over the reports of all entry hosts

// Events in virtual time.
class Timeline {
 public:
  TimePoint Now() const { return m_now; }
  void At(TimePoint when, std::function<void()> action) {
    m_events.push({std::max(when, m_now), ++m_count, std::move(action)});
  }
  void After(Duration time, std::function<void()> action) { At(m_now + time, std::move(action)); }
  void RunUntil(TimePoint end) {
    while (!m_events.empty() && m_events.top().when <= end) {
      const Event event = m_events.top();
      m_events.pop();
      m_now = event.when;
      event.action();
    }
    m_now = end;
  }

 private:
  struct Event {
    TimePoint when;
    std::uint64_t number;
    std::function<void()> action;
    bool operator<(const Event& other) const {
      return std::tie(other.when, other.number) < std::tie(when, number);
    }
  };

  TimePoint m_now = kStart;
  std::uint64_t m_count = 0;
  std::priority_queue<Event> m_events;
};

// A process with a share of one core, which handles messages one after the other: those of control
// hosts first, and those of entry hosts unless their senders have given them up.
class Processor {
 public:
  explicit Processor(Timeline* timeline) : m_timeline(timeline) {}

  // Runs `action` once the processor has spent `cost` on it.
  void Run(Duration cost, std::function<void()> action) {
    m_urgent.push_back({cost, TimePoint::max(), std::move(action)});
    Wake();
  }
  void RunUnlessExpired(Duration cost, TimePoint expires_at, std::function<void()> action) {
    m_waiting.push_back({cost, expires_at, std::move(action)});
    Wake();
  }
  // Spends time on something that nobody waits for, after what is being done.
  void Charge(Duration cost) { m_charged += cost; }

 private:
  struct Task {
    Duration cost;
    TimePoint expires_at;
    std::function<void()> action;
  };

  void Wake() {
    if (!m_is_busy) Next();
  }

  void Next() {
    std::deque<Task>& queue = m_urgent.empty() ? m_waiting : m_urgent;
    m_is_busy = !queue.empty();
    if (queue.empty()) return;
    Task task = std::move(queue.front());
    queue.pop_front();
    if (m_timeline->Now() >= task.expires_at) {
      task.cost = kDropCost;
      task.action = [] {};
    }
    const Duration cost = task.cost + std::exchange(m_charged, Duration{0});
    const auto time = std::chrono::duration_cast<Duration>(cost / kProcessorShare);
    m_timeline->After(time, [this, action = std::move(task.action)] {
      action();
      Next();
    });
  }

  Timeline* m_timeline;
  std::deque<Task> m_urgent;
  std::deque<Task> m_waiting;
  bool m_is_busy = false;
  Duration m_charged{0};
};

// Control hosts and entry hosts that read the configuration through them. Each control host is
// charged for what it handles and sends; the network and the entry hosts cost nothing.
class Region {
 public:
  Region() {
    for (int number = 0; number < kControlHosts; ++number) m_controls.emplace_back(&m_timeline);
    for (int number = 0; number < kEntryHosts; ++number) {
      m_hosts.emplace_back("entry-" + std::to_string(number));
      m_timeline.After(microseconds(kTickInterval) * number / kEntryHosts,
                       [this, number] { TickHost(number); });
    }
    m_controls[kLeader].reports.OnLeaderChanged(m_timeline.Now(), true);
    m_timeline.After(kReplyLifetime, [this] { MakeReply(); });
  }

  // Other work keeps all control hosts busy for this time, such as a storm of announcements.
  void Overload(Duration time) {
    for (ControlHost& control : m_controls) {
      const Duration busy = std::chrono::duration_cast<Duration>(time * kProcessorShare);
      control.processor.Run(busy, [] {});
    }
  }
  void Run(Duration time) { m_timeline.RunUntil(m_timeline.Now() + time); }

  // Entry hosts with a confirmed read that began within the given time.
  int CountConfirmed(Duration within) const {
    const TimePoint oldest = m_timeline.Now() - within;
    return static_cast<int>(
        std::count_if(m_hosts.begin(), m_hosts.end(),
                      [oldest](const EntryHost& host) { return host.confirmed_at >= oldest; }));
  }
  int Fetches() const { return m_fetches; }

 private:
  static constexpr int kLeader = 0;
  static constexpr milliseconds kReplyLifetime{100};

  struct EntryHost {
    explicit EntryHost(const std::string& name) : scheduler(name) {}
    FetchScheduler scheduler;
    std::map<int, TimePoint> asked_at;  // by control host
    TimePoint confirmed_at{};           // when the read was asked for
  };
  // Who waits for a read at a control host: an entry host, or the round of a follower.
  struct Reader {
    bool is_follower = false;
    int number = 0;
    TimePoint asked_at{};
    ReadBatcher::Round round = 0;
  };
  struct ControlHost {
    explicit ControlHost(Timeline* timeline) : processor(timeline) {}
    Processor processor;
    ReadBatcher reads;
    std::map<ReadBatcher::Id, Reader> readers;
    HostReports reports;
    std::map<ReadBatcher::Round, int> heartbeat_replies;  // at the leader, by round
    std::uint64_t last_batch = 0;
    std::uint64_t ended_batch = 0;
    TimePoint next_wakeup{};
  };

  void TickHost(int number) {
    EntryHost& host = m_hosts[number];
    const std::vector<ControlCandidate> candidates = {
        {ControlName(number % kControlHosts), true, true, false},
        {ControlName((number + 1) % kControlHosts), false, false, false}};
    const TimePoint now = m_timeline.Now();
    while (const auto control = host.scheduler.NextFetch(now, candidates, 0)) {
      Fetch(number, NumberOf(*control));
    }
    m_timeline.After(kTickInterval, [this, number] { TickHost(number); });
  }

  static std::string ControlName(int number) { return "control-" + std::to_string(number); }
  static int NumberOf(const std::string& control) { return control.back() - '0'; }

  void Fetch(int host, int control) {
    ++m_fetches;
    const TimePoint asked_at = m_timeline.Now();
    m_hosts[host].asked_at[control] = asked_at;
    m_timeline.After(kFetchTimeout,
                     [this, host, control, asked_at] { EndFetch(host, control, asked_at, false); });
    m_timeline.After(kDelay, [this, host, control, asked_at] {
      m_controls[control].processor.RunUnlessExpired(
          kFetchCost, m_timeline.Now() + kFetchTimeout,
          [this, host, control, asked_at] { OnFetch(host, control, asked_at); });
    });
  }

  void EndFetch(int number, int control, TimePoint asked_at, bool is_confirmed) {
    EntryHost& host = m_hosts[number];
    const auto asked = host.asked_at.find(control);
    // It has ended before, so a reply is too late.
    if (asked == host.asked_at.end() || asked->second != asked_at) return;
    host.asked_at.erase(asked);
    if (is_confirmed) {
      host.confirmed_at = asked_at;
      host.scheduler.OnAnswered(ControlName(control), true);
    } else {
      host.scheduler.OnFailed(m_timeline.Now(), ControlName(control));
    }
  }

  void OnFetch(int host, int control, TimePoint asked_at) {
    ControlHost& handler = m_controls[control];
    const std::string name = "entry-" + std::to_string(host);
    handler.reports.StoreFetch(m_timeline.Now(),
                               {{"retries_of", name}, {"retries", nlohmann::json::object()}});
    const auto id = handler.reads.Add(m_timeline.Now() + kFetchTimeout, name);
    handler.readers[id] = {false, host, asked_at, 0};
    RunReads(control);
  }

  void RunReads(int control) {
    ControlHost& host = m_controls[control];
    const TimePoint now = m_timeline.Now();
    for (const auto& complete : host.reads.TakeComplete(kIndex)) Answer(control, complete.id);
    for (const auto id : host.reads.TakeExpired(now)) Refuse(control, id);
    for (const auto id : host.reads.TakeReplaced()) Refuse(control, id);
    if (const auto round = host.reads.Begin(now)) BeginRound(control, *round);
    const auto next = host.reads.NextWakeup();
    if (!next || (host.next_wakeup > now && host.next_wakeup <= *next)) return;
    host.next_wakeup = *next;
    m_timeline.At(*next, [this, control] {
      m_controls[control].processor.Run(Duration{0}, [this, control] { RunReads(control); });
    });
  }

  void Answer(int control, ReadBatcher::Id id) {
    ControlHost& host = m_controls[control];
    const Reader reader = host.readers.extract(id).mapped();
    if (reader.is_follower) {
      host.processor.Charge(kReadIndexCost);
      m_timeline.After(kDelay, [this, reader] {
        m_controls[reader.number].processor.Run(
            kReadIndexCost, [this, reader] { EndRound(reader.number, reader.round, true); });
      });
      return;
    }
    host.processor.Charge(kFetchReplyCost);
    m_timeline.After(kDelay, [this, control, reader] {
      EndFetch(reader.number, control, reader.asked_at, true);
    });
  }

  void Refuse(int control, ReadBatcher::Id id) {
    ControlHost& host = m_controls[control];
    const Reader reader = host.readers.extract(id).mapped();
    host.processor.Charge(kRefusalCost);
    if (reader.is_follower) return;
    m_timeline.After(kDelay, [this, control, reader] {
      EndFetch(reader.number, control, reader.asked_at, false);
    });
  }

  void BeginRound(int control, ReadBatcher::Round round) {
    ControlHost& host = m_controls[control];
    m_timeline.After(kReadIndexTimeout,
                     [this, control, round] { EndRound(control, round, false); });
    if (control == kLeader) return SendHeartbeats(round);
    SendReports(control);
    host.processor.Charge(kReadIndexCost);
    m_timeline.After(kDelay, [this, control, round] {
      m_controls[kLeader].processor.Run(kReadIndexCost,
                                        [this, control, round] { OnReadIndex(control, round); });
    });
  }

  void SendReports(int control) {
    ControlHost& host = m_controls[control];
    const auto batch = host.reports.TakeBatch(m_timeline.Now());
    if (!batch) return;
    const auto reports = static_cast<int>(batch->at("retry_reports").size());
    const Duration cost = kReadIndexCost + reports * kReportCost;
    const std::uint64_t number = ++host.last_batch;
    host.processor.Charge(cost);
    m_timeline.After(kReportTimeout, [this, control, number] { EndBatch(control, number, {}); });
    m_timeline.After(kDelay, [this, control, number, cost, batch = *batch] {
      m_controls[kLeader].processor.Run(
          cost, [this, control, number, batch] { OnReports(control, number, batch); });
    });
  }

  void OnReports(int control, std::uint64_t number, const nlohmann::json& batch) {
    ControlHost& leader = m_controls[kLeader];
    const std::uint64_t sums_made = leader.reports.SumsMade();
    const nlohmann::json answer = leader.reports.AnswerBatch(m_timeline.Now(), batch);
    leader.processor.Charge(kReadIndexCost + (leader.reports.SumsMade() - sums_made) * kSumCost);
    m_timeline.After(kDelay, [this, control, number, answer] {
      m_controls[control].processor.Run(
          kReadIndexCost, [this, control, number, answer] { EndBatch(control, number, answer); });
    });
  }

  // A batch ends once: with the answer of the leader, or without one.
  void EndBatch(int control, std::uint64_t number, const nlohmann::json& answer) {
    ControlHost& host = m_controls[control];
    if (host.last_batch != number || std::exchange(host.ended_batch, number) == number) return;
    if (answer.is_null()) {
      host.reports.OnBatchFailed(m_timeline.Now());
    } else {
      host.reports.StoreAnswer(m_timeline.Now(), answer);
    }
  }

  void OnReadIndex(int follower, ReadBatcher::Round round) {
    ControlHost& leader = m_controls[kLeader];
    const auto id = leader.reads.Add(m_timeline.Now() + kReadIndexTimeout);
    leader.readers[id] = {true, follower, m_timeline.Now(), round};
    RunReads(kLeader);
  }

  void SendHeartbeats(ReadBatcher::Round round) {
    for (int follower = 1; follower < kControlHosts; ++follower) {
      m_controls[kLeader].processor.Charge(kHeartbeatCost);
      m_timeline.After(kDelay, [this, follower, round] {
        m_controls[follower].processor.Run(2 * kHeartbeatCost,
                                           [this, round] { ReplyToHeartbeat(round); });
      });
    }
  }

  void ReplyToHeartbeat(ReadBatcher::Round round) {
    m_timeline.After(kDelay, [this, round] {
      m_controls[kLeader].processor.Run(kHeartbeatCost, [this, round] {
        if (++m_controls[kLeader].heartbeat_replies[round] == kFollowerMajority) {
          EndRound(kLeader, round, true);
        }
      });
    });
  }

  void EndRound(int control, ReadBatcher::Round round, bool is_confirmed) {
    ControlHost& host = m_controls[control];
    if (is_confirmed) {
      host.reads.Confirm(round, kIndex);
    } else {
      host.reads.Fail(round);
    }
    RunReads(control);
  }

  // The leader needs the sums over all hosts for the replies to fetches.
  void MakeReply() {
    ControlHost& leader = m_controls[kLeader];
    const std::uint64_t sums_made = leader.reports.SumsMade();
    nlohmann::json reply;
    leader.reports.AddSums(m_timeline.Now(), &reply);
    leader.processor.Charge((leader.reports.SumsMade() - sums_made) * kSumCost);
    m_timeline.After(kReplyLifetime, [this] { MakeReply(); });
  }

  static constexpr std::uint64_t kIndex = 7;

  Timeline m_timeline;
  std::deque<ControlHost> m_controls;
  std::deque<EntryHost> m_hosts;
  int m_fetches = 0;
};

constexpr seconds kConfirmedWithin{3};  // the shortest time after which a host counts as in touch

}  // namespace

// Guards against control hosts that confirm no reads for good once an overload has passed, since
// hosts that fail ask more, and each read carries all reports.
TEST_CASE("reads are confirmed again once an overload of the control hosts has passed") {
  Region region;
  region.Run(seconds(20));
  REQUIRE(region.CountConfirmed(kConfirmedWithin) == kEntryHosts);
  const int calm_fetches = region.Fetches();
  region.Run(seconds(5));
  const int usual_fetches = region.Fetches() - calm_fetches;

  region.Overload(seconds(5));
  const int before = region.Fetches();
  region.Run(seconds(5));
  SUBCASE("hosts ask less while they fail") { CHECK(region.Fetches() - before < usual_fetches); }
  SUBCASE("all hosts are confirmed some seconds later") {
    region.Run(seconds(10));
    CHECK(region.CountConfirmed(kConfirmedWithin) == kEntryHosts);
  }
}

}  // namespace corneltray
