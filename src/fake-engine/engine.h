#ifndef CORNELTRAY_FAKE_ENGINE_ENGINE_H_
#define CORNELTRAY_FAKE_ENGINE_ENGINE_H_

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <variant>
#include <vector>

#include "../fake-common/stand_in.h"
#include "corneltray/time.h"
#include "corneltray/upstream.h"

namespace corneltray::fake {

struct EngineOptions {
  std::string name = "engine-0";
  std::string availability_zone = "dkr-a";
  std::string accelerator = "fake";
  std::uint64_t memory_bytes = 1'000'000'000;
  std::uint64_t layer_bytes = 1000;  // asked of the weight store and counted against the memory
  double layers_per_s = 0;           // capacity over all requests; 0: not paced
  double link_mbps = 100;
  bool checks_fence = false;
  std::vector<Holding> holdings;
  std::map<std::string, std::uint32_t> model_layers;  // number of layers, where it is known
};

struct StageRef {
  std::string name;
  std::string address;
  std::uint32_t first_layer = 0;
  std::uint32_t last_layer = 0;
};

struct StageToken {
  std::uint32_t token = 0;
  std::string text;
};

struct StageError {
  std::string code;
  std::string message;
  std::string stage;
};

using StageResult = std::variant<StageToken, StageError>;

// One attempt of one request at this engine, as first or later stage.
struct Job {
  std::string request_id;
  int attempt = 0;
  ModelKey key;
  std::vector<StageRef> stages;
  std::size_t stage = 0;
  std::atomic<bool> is_cancelled{false};
  std::int64_t next_index = -1;          // -1 until the first token sets it
  std::shared_ptr<HttpConnection> next;  // to the next stage; null at the last one
};

// Input of one stage for one token. `ran` lists the layer ranges that ran before, in order; the
// last stage checks from it that each layer ran once.
struct StageInput {
  std::int64_t index = 0;
  std::uint64_t hidden = 0;
  nlohmann::json ran = nlohmann::json::array();
};

// A stream of token events of one attempt, filled by a generator thread and emptied by the thread
// of the caller's connection.
struct EventQueue {
  std::mutex mutex;
  std::condition_variable changed;
  std::deque<std::pair<Clock::time_point, nlohmann::json>> events;  // not before this time
  bool is_finished = false;
};

// The engine: holdings, jobs, counts and faults. Thread-safe.
class FakeEngine {
 public:
  FakeEngine(EngineOptions options, StandInServer* server);

  nlohmann::json Announcement(const std::string& address);
  HttpReply Generate(const HttpRequest& request);
  HttpReply Forward(const HttpRequest& request);
  HttpReply Cancel(const HttpRequest& request);
  HttpReply Order(const HttpRequest& request);
  HttpReply SetFault(const HttpRequest& request);
  nlohmann::json Counts();
  void SetAnnouncer(Announcer* announcer) { m_announcer = announcer; }

 private:
  using JobId = std::pair<std::string, int>;
  using LayerId = std::tuple<std::string, std::string, std::string, std::uint32_t>;
  using GenerateBody = nlohmann::json;

  // Registers a new attempt. Returns null when it was known before.
  std::shared_ptr<Job> StartJob(const nlohmann::json& body, std::size_t stage);
  std::shared_ptr<Job> FindJob(const JobId& id);
  // Ends an attempt here; `counter` is m_cancelled or m_finished. Does nothing when it has ended.
  void EndJob(const std::shared_ptr<Job>& job, std::uint64_t* counter);
  // Tells the later stages that an attempt has ended.
  void NotifyLaterStages(const Job& job, bool finished);

  // Runs on its own thread: computes all tokens of an attempt.
  void RunGeneration(const std::shared_ptr<Job>& job, const GenerateBody& body, EventQueue* queue);
  void SendEvents(const std::shared_ptr<Job>& job, EventQueue* queue, StreamSink& sink);
  // Adds the event that the "crossed" fault puts before a right one. Returns false when the client
  // has gone.
  bool SendCrossed(const nlohmann::json& event, StreamSink& sink);
  void Push(EventQueue* queue, const nlohmann::json& event);

  StageResult RunStage(const std::shared_ptr<Job>& job, StageInput input);
  StageResult ForwardToNext(const std::shared_ptr<Job>& job, const StageInput& input);
  // Returns why this stage may not run, or nothing.
  std::optional<StageError> CheckStage(const Job& job, const StageInput& input);
  std::optional<StageError> CheckWhole(const Job& job, const StageInput& input) const;
  StageError Refuse(const std::string& code, const std::string& message);
  // Waits for this engine's capacity. Returns false when the job was cancelled meanwhile.
  bool Pace(const std::shared_ptr<Job>& job, std::uint32_t layers);
  // Counts one token run here and applies faults that wait for a number of tokens.
  void CountRun(const Job& job, std::int64_t index);

  // Runs on its own thread while layers of the last accepted order are missing: fetches them one
  // by one.
  void LoadWeights();
  bool IsDesired(const LayerId& id) const;
  bool IsLoaded(const Holding& holding) const;
  std::optional<LayerId> NextMissing() const;

  const EngineOptions m_options;
  const UnixMs m_incarnation;
  StandInServer* m_server;
  Announcer* m_announcer = nullptr;

  std::mutex m_mutex;
  std::vector<Holding> m_desired;
  std::set<LayerId> m_loaded;
  std::uint64_t m_fence = 0;
  std::string m_weight_store;
  bool m_is_loading = false;
  std::map<JobId, std::shared_ptr<Job>> m_jobs;

  // Counts. m_runs has, for each request, attempt and token index, the layer ranges run here.
  std::map<std::string, std::map<std::string, std::map<std::string, nlohmann::json>>> m_runs;
  std::deque<std::string> m_run_order;  // requests by age, to bound m_runs
  std::uint64_t m_requests = 0;
  std::uint64_t m_tokens = 0;
  std::uint64_t m_layers_run = 0;
  std::uint64_t m_cancelled = 0;
  std::uint64_t m_finished = 0;
  std::uint64_t m_orders_accepted = 0;
  std::uint64_t m_orders_refused = 0;
  std::map<std::string, std::uint64_t> m_refusals;
  std::vector<UnixMs> m_after_leaving;
  std::uint32_t m_waiting = 0;

  // Faults.
  Clock::time_point m_free_at;
  double m_slow_factor = 1;
  std::chrono::milliseconds m_late{0};
  std::string m_crossed;  // "request", "attempt", "double" or empty
  std::string m_fault_after_tokens;
  std::int64_t m_tokens_until_fault = 0;
  UnixMs m_leaving_since = 0;
};

}  // namespace corneltray::fake

#endif  // CORNELTRAY_FAKE_ENGINE_ENGINE_H_
