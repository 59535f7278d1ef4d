#ifndef CORNELTRAY_FAKE_FLEET_TEST_H_
#define CORNELTRAY_FAKE_FLEET_TEST_H_

#include <algorithm>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "corneltray/admission_queue.h"

namespace corneltray {

// What a caller of the fake fleet asks for, and what it got.
struct FakeCall {
  std::uint32_t rank = 0;
  std::string customer;
  double prompt = 0.0;  // tokens
  double answer = 0.0;  // tokens
  double arrived_s = 0.0;
  double objective_s = 0.0;
  bool is_returned = false;
  bool is_impatient = false;              // comes back at once, and as often as it is refused
  std::optional<double> first_event_s{};  // time of it
  bool was_preempted = false;
  bool is_finished = false;

  double Tokens() const { return prompt + answer / 2.0; }
  // The pause of a preempted answer is longer than callers accept.
  bool IsOnTime() const {
    return first_event_s && *first_event_s <= arrived_s + objective_s && !was_preempted;
  }
};

// How the hosts of the fake fleet decide.
enum class FakeRule {
  kSendAtOnce,  // the rule before admission: engines refuse, and callers come back after a second
  kAdmission,
};

// Copies of a model with KV caches, reading and decoding times, hosts with an AdmissionQueue each,
// and callers that come back once after a refusal. Plays in steps of 10 ms of simulated time.
class FakeFleet {
 public:
  static constexpr int kHosts = 20;
  static constexpr int kCopies = 6;
  static constexpr double kStep_s = 0.01;
  static constexpr double kDeadline_s = 20.0;

  explicit FakeFleet(FakeRule rule, std::uint64_t seed = 1)
      : m_rule(rule), m_copies(kCopies), m_random(seed) {
    for (int i = 0; i < kHosts; ++i) m_hosts.emplace_back(static_cast<std::uint64_t>(i + 1));
    m_reports.push_back(Measure());
  }

  // Plays until `end_s`, with arrivals by `rate`, the requests/s of each rank at a time.
  void Play(double end_s, const std::function<std::vector<double>(double)>& rate) {
    for (; m_now_s < end_s; m_now_s += kStep_s) {
      if (++m_steps % 50 == 0) m_reports.push_back(Measure());
      if (m_reports.size() > 2) m_reports.pop_front();
      const std::vector<double> rates = rate(m_now_s);
      for (std::uint32_t rank = 0; rank < rates.size(); ++rank) {
        Arrive(rank, std::poisson_distribution<int>(rates[rank] * kStep_s)(m_random));
      }
      ReturnCallers();
      RunEngines();
      if (m_rule == FakeRule::kAdmission && m_steps % 5 == 0) TickHosts();
    }
  }

  void SetCopies(std::size_t count) {
    for (std::size_t i = count; i < m_copies.size(); ++i) {
      for (Running& lost : m_copies[i].running) m_resumed.push_back(lost);
    }
    m_copies.resize(count);
    for (const Running& lost : m_resumed) Send(lost.call, lost.host, true);
    m_resumed.clear();
  }
  // Chooses the customer of an arriving request; the default spreads them over ten.
  std::function<std::string(std::mt19937_64*)> customer_of = [](std::mt19937_64* random) {
    return "c" + std::to_string((*random)() % 10);
  };
  std::string impatient_customer;

  const std::vector<std::shared_ptr<FakeCall>>& Calls() const { return m_calls; }
  std::size_t EngineArrivals() const { return m_engine_arrivals; }
  std::size_t EngineRefusals() const { return m_engine_refusals; }

  // Answers on time per second, of requests that arrived in a span.
  double OnTimePerSecond(double from_s, double to_s) const {
    return Count(from_s, to_s, [](const FakeCall& call) { return call.IsOnTime(); }) /
           (to_s - from_s);
  }
  // Part of the requests of a span that were answered on time, or at all.
  double OnTimeShareOf(double from_s, double to_s,
                       const std::function<bool(const FakeCall&)>& which) const {
    return Share(from_s, to_s, which, [](const FakeCall& call) { return call.IsOnTime(); });
  }
  double OnTimeShare(double from_s, double to_s, std::uint32_t rank) const {
    return OnTimeShareOf(from_s, to_s, [rank](const FakeCall& call) { return call.rank == rank; });
  }
  double ServedShare(double from_s, double to_s,
                     const std::function<bool(const FakeCall&)>& which) const {
    return Share(from_s, to_s, which, [](const FakeCall& call) { return call.is_finished; });
  }

 private:
  using CallPointer = std::shared_ptr<FakeCall>;
  struct Running {
    CallPointer call;
    std::size_t host = 0;
    double unread = 0.0;        // tokens of the prompt
    double undone = 0.0;        // tokens of the answer
    double held = 0.0;          // tokens in the KV cache
    bool is_preempted = false;  // waits until its tokens fit again
  };
  struct Copy {
    std::vector<Running> running;
    double used = 0.0;  // tokens
  };
  struct Report {
    std::vector<double> loads;  // by copy
  };
  struct Returning {
    double at_s = 0.0;
    CallPointer call;
  };
  static constexpr double kCapacity = 80'000.0;  // tokens of a copy
  static constexpr double kReadPerSecond = 64'000.0;
  static constexpr double kTokenSeconds = 0.008;
  static constexpr double kTokenSecondsPerRequest = 0.00002;
  static constexpr double kUsualPrompt = 600.0;
  static constexpr double kUsualAnswer = 200.0;

  static TimePoint At(double seconds) {
    return TimePoint() +
           std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1000.0 + seconds));
  }

  double Count(double from_s, double to_s,
               const std::function<bool(const FakeCall&)>& which) const {
    return static_cast<double>(
        std::count_if(m_calls.begin(), m_calls.end(), [&](const CallPointer& call) {
          return call->arrived_s >= from_s && call->arrived_s < to_s && which(*call);
        }));
  }
  double Share(double from_s, double to_s, const std::function<bool(const FakeCall&)>& which,
               const std::function<bool(const FakeCall&)>& good) const {
    const auto both = [&](const FakeCall& call) { return which(call) && good(call); };
    return Count(from_s, to_s, both) / std::max(1.0, Count(from_s, to_s, which));
  }

  Report Measure() const {
    Report report;
    for (const Copy& copy : m_copies) report.loads.push_back(copy.used / kCapacity);
    return report;
  }

  ServiceRoom Room() const {
    ServiceRoom room;
    room.is_known = true;
    const std::vector<double>& loads = m_reports.front().loads;
    room.capacity_tokens = kCapacity * static_cast<double>(m_copies.size());
    const std::size_t count = std::min(loads.size(), m_copies.size());
    for (std::size_t i = 0; i < count; ++i) room.load += loads[i] / static_cast<double>(count);
    room.host_share = 1.0 / kHosts;
    room.usual_tokens = kUsualPrompt + kUsualAnswer / 2.0;
    room.usual_stay_s = kUsualAnswer * kTokenSeconds + kUsualPrompt / kReadPerSecond;
    room.first_event_s = 0.1;
    return room;
  }

  void Arrive(std::uint32_t rank, int number) {
    std::uniform_real_distribution<double> size(0.25, 1.75);
    for (int i = 0; i < number; ++i) {
      const auto call = std::make_shared<FakeCall>();
      call->rank = rank;
      call->customer = customer_of(&m_random);
      call->is_impatient = call->customer == impatient_customer;
      call->prompt = kUsualPrompt * size(m_random);
      call->answer = kUsualAnswer * size(m_random);
      call->arrived_s = m_now_s;
      call->objective_s = rank == 2 ? 1.0 : 0.5;
      m_calls.push_back(call);
      Enter(call);
    }
  }

  void Enter(const CallPointer& call) {
    const std::size_t host = m_random() % kHosts;
    if (m_rule == FakeRule::kSendAtOnce) return Send(call, host, false);
    AdmissionRequest request;
    request.id = ++m_last_id;
    request.rank = call->rank;
    request.customer = call->customer;
    request.tokens = call->Tokens();
    request.objective_at = At(call->arrived_s + call->objective_s);
    request.deadline = At(call->arrived_s + kDeadline_s);
    request.is_return = call->is_returned;
    AdmissionQueue& queue = m_hosts[host];
    queue.SetRoom(At(m_now_s), Room());
    const AdmissionDecision decision = queue.Offer(At(m_now_s), request);
    if (std::holds_alternative<SendNow>(decision)) return Send(call, host, false);
    if (const auto* reject = std::get_if<Reject>(&decision)) {
      return Refuse(call, std::chrono::duration<double>(reject->retry_after).count());
    }
    m_waiting[request.id] = call;
  }

  void TickHosts() {
    const ServiceRoom room = Room();
    for (std::size_t host = 0; host < m_hosts.size(); ++host) {
      m_hosts[host].SetRoom(At(m_now_s), room);
      const DueRequests due = m_hosts[host].TakeDue(At(m_now_s));
      for (const std::uint64_t id : due.to_send) Send(TakeWaiting(id), host, false);
      for (const RejectedRequest& rejected : due.to_reject) {
        Refuse(TakeWaiting(rejected.id),
               std::chrono::duration<double>(rejected.reject.retry_after).count());
      }
    }
  }

  CallPointer TakeWaiting(std::uint64_t id) { return m_waiting.extract(id).mapped(); }

  // Sends a request to a copy that is chosen at random by its free part, and to another one if that
  // refuses.
  void Send(const CallPointer& call, std::size_t host, bool is_resumed) {
    if (is_resumed && m_rule == FakeRule::kAdmission) m_hosts[host].Charge(call->Tokens());
    std::vector<double> weights(m_copies.size(), 1.0);
    const std::vector<double>& loads = m_reports.front().loads;
    for (std::size_t i = 0; i < std::min(loads.size(), weights.size()); ++i) {
      weights[i] = std::max(0.1, 1.0 - loads[i]);
    }
    for (int attempt = 0; attempt < 2; ++attempt) {
      std::discrete_distribution<std::size_t> choose(weights.begin(), weights.end());
      const std::size_t choice = choose(m_random);
      ++m_engine_arrivals;
      Copy& copy = m_copies[choice];
      if (copy.used + call->prompt <= kCapacity) {
        copy.used += call->prompt;
        copy.running.push_back({call, host, call->prompt, call->answer, call->prompt});
        return;
      }
      ++m_engine_refusals;
      weights[choice] = 0.0;
    }
    Refuse(call, 1.0);
  }

  void Refuse(const CallPointer& call, double retry_after_s) {
    const double left_s = call->arrived_s + kDeadline_s - m_now_s;
    if (left_s <= 0.0 || (call->is_returned && !call->is_impatient)) return;
    call->is_returned = true;
    const double wait_s = call->is_impatient ? 0.05 : std::min(retry_after_s, left_s / 3.0);
    m_returning.push_back({m_now_s + wait_s, call});
  }

  void ReturnCallers() {
    std::vector<CallPointer> due;
    for (std::size_t i = 0; i < m_returning.size();) {
      if (m_returning[i].at_s > m_now_s) {
        ++i;
        continue;
      }
      due.push_back(m_returning[i].call);
      m_returning[i] = m_returning.back();
      m_returning.pop_back();
    }
    for (const CallPointer& call : due) Enter(call);
  }

  void RunEngines() {
    for (Copy& copy : m_copies) {
      double readable = kReadPerSecond * kStep_s;
      const double token_s =
          kTokenSeconds + kTokenSecondsPerRequest * static_cast<double>(copy.running.size());
      for (Running& running : copy.running) {
        if (running.is_preempted && copy.used + running.held > kCapacity) continue;
        if (std::exchange(running.is_preempted, false)) copy.used += running.held;
        const double read = std::min(readable, running.unread);
        readable -= read;
        running.unread -= read;
        if (running.unread > 0.0) continue;
        if (!running.call->first_event_s) running.call->first_event_s = m_now_s + kStep_s;
        const double made = kStep_s / token_s;
        running.undone -= made;
        running.held += made;
        copy.used += made;
        if (running.undone > 0.0) continue;
        copy.used -= running.held;
        running.call->is_finished = true;
      }
      Preempt(&copy);
      copy.running.erase(
          std::remove_if(copy.running.begin(), copy.running.end(),
                         [](const Running& running) { return running.call->is_finished; }),
          copy.running.end());
    }
  }

  // Requests that no longer fit read again all that they held.
  static void Preempt(Copy* copy) {
    for (auto it = copy->running.rbegin(); it != copy->running.rend(); ++it) {
      if (copy->used <= kCapacity) return;
      if (it->unread > 0.0 || it->call->is_finished) continue;
      it->unread = it->held;
      copy->used -= it->held;
      it->is_preempted = true;
      it->call->was_preempted = true;
    }
  }

  FakeRule m_rule;
  std::vector<Copy> m_copies;
  std::vector<AdmissionQueue> m_hosts;
  std::deque<Report> m_reports;  // the first one is in force at the hosts, the last one on its way
  std::vector<CallPointer> m_calls;
  std::map<std::uint64_t, CallPointer> m_waiting;  // by id of the AdmissionRequest
  std::vector<Returning> m_returning;
  std::vector<Running> m_resumed;
  std::mt19937_64 m_random;
  double m_now_s = 0.0;
  int m_steps = 0;
  std::uint64_t m_last_id = 0;
  std::size_t m_engine_arrivals = 0;
  std::size_t m_engine_refusals = 0;
};

}  // namespace corneltray

#endif  // CORNELTRAY_FAKE_FLEET_TEST_H_
