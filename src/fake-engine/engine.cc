#include "engine.h"

#include <algorithm>
#include <cstdlib>
#include <iterator>
#include <thread>

#include "fake_model.h"

namespace corneltray::fake {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr milliseconds kPollInterval{5};
constexpr milliseconds kForwardTimeout{30'000};
constexpr milliseconds kNotifyTimeout{300};
constexpr milliseconds kWeightsTimeout{60'000};
constexpr milliseconds kWeightsRetry{100};
constexpr std::size_t kMaxRecordedRequests = 4000;

std::vector<StageRef> ParseStages(const json& body) {
  std::vector<StageRef> stages;
  for (const json& stage : body.at("stages")) {
    stages.push_back(
        {stage.at("name"), stage.at("address"), stage.at("first_layer"), stage.at("last_layer")});
  }
  return stages;
}

json EncodeStages(const std::vector<StageRef>& stages) {
  json list = json::array();
  for (const StageRef& stage : stages) {
    list.push_back({{"name", stage.name},
                    {"address", stage.address},
                    {"first_layer", stage.first_layer},
                    {"last_layer", stage.last_layer}});
  }
  return list;
}

ModelKey ParseKey(const json& body) {
  return {body.at("model"), body.at("version"), body.value("adapter", "")};
}

std::string AsEvent(const json& event) { return "data: " + event.dump() + "\n\n"; }

HttpReply RefusalReply(const StageError& error) {
  return JsonReply(
      409, {{"error", {{"code", error.code}, {"message", error.message}, {"stage", error.stage}}}});
}

}  // namespace

FakeEngine::FakeEngine(EngineOptions options, StandInServer* server)
    : m_options(std::move(options)),
      m_incarnation(UnixNow()),
      m_server(server),
      m_desired(m_options.holdings) {
  for (const Holding& holding : m_desired) {
    for (std::uint32_t layer = holding.first_layer; layer <= holding.last_layer; ++layer) {
      m_loaded.emplace(holding.key.model, holding.key.version, holding.key.adapter, layer);
    }
  }
}

json FakeEngine::Announcement(const std::string& address) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  json holdings = json::array();
  for (const Holding& holding : m_desired) {
    holdings.push_back({{"model", holding.key.model},
                        {"version", holding.key.version},
                        {"adapter", holding.key.adapter},
                        {"first_layer", holding.first_layer},
                        {"last_layer", holding.last_layer},
                        {"state", IsLoaded(holding) ? "ready" : "loading"}});
  }
  return {{"kind", "engine"},
          {"name", m_options.name},
          {"incarnation", m_incarnation},
          {"availability_zone", m_options.availability_zone},
          {"address", address},
          {"state", m_leaving_since > 0 ? "leaving" : "ready"},
          {"checks_fence", m_options.checks_fence},
          {"fence", m_fence},
          {"accelerator", m_options.accelerator},
          {"memory_bytes", m_options.memory_bytes},
          {"layers_per_s", m_options.layers_per_s > 0 ? m_options.layers_per_s : 100'000.0},
          {"link_mbps", m_options.link_mbps},
          {"holdings", holdings},
          {"load", {{"running", m_jobs.size()}, {"waiting", m_waiting}, {"kv_used", 0.0}}}};
}

std::shared_ptr<Job> FakeEngine::StartJob(const json& body, std::size_t stage) {
  auto job = std::make_shared<Job>();
  job->request_id = body.at("request_id");
  job->attempt = body.at("attempt");
  job->key = ParseKey(body);
  job->stages = ParseStages(body);
  job->stage = stage;
  if (stage + 1 < job->stages.size()) {
    job->next = std::make_shared<HttpConnection>(job->stages[stage + 1].address, kForwardTimeout);
  }
  const std::lock_guard<std::mutex> lock(m_mutex);
  auto& attempts = m_runs[job->request_id];
  if (attempts.empty()) m_run_order.push_back(job->request_id);
  if (!attempts.emplace(std::to_string(job->attempt), json::object()).second) return nullptr;
  if (m_run_order.size() > kMaxRecordedRequests) {
    m_runs.erase(m_run_order.front());
    m_run_order.pop_front();
  }
  ++m_requests;
  if (m_leaving_since > 0) m_after_leaving.push_back(UnixNow());
  m_jobs[{job->request_id, job->attempt}] = job;
  return job;
}

std::shared_ptr<Job> FakeEngine::FindJob(const JobId& id) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  const auto found = m_jobs.find(id);
  return found == m_jobs.end() ? nullptr : found->second;
}

void FakeEngine::EndJob(const std::shared_ptr<Job>& job, std::uint64_t* counter) {
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (m_jobs.erase({job->request_id, job->attempt}) == 0) return;
    ++*counter;
  }
  job->is_cancelled = true;
  if (job->next) job->next->Abort();
}

void FakeEngine::NotifyLaterStages(const Job& job, bool finished) {
  const json body = {
      {"request_id", job.request_id}, {"attempt", job.attempt}, {"finished", finished}};
  if (finished) {
    if (job.next) job.next->Post("/v1/pipeline/cancel", body);
    return;
  }
  // The connection to the next stage may be in use, or that stage dead: tell each one directly.
  for (std::size_t i = job.stage + 1; i < job.stages.size(); ++i) {
    HttpConnection(job.stages[i].address, kNotifyTimeout).Post("/v1/pipeline/cancel", body);
  }
}

HttpReply FakeEngine::Generate(const HttpRequest& request) {
  auto body = std::make_shared<json>();
  std::shared_ptr<Job> job;
  std::optional<StageError> refusal;
  try {
    *body = json::parse(request.body);
    job = StartJob(*body, 0);
    if (!job) refusal = Refuse("attempt_repeated", "this attempt was started before");
    body->at("prompt").get<std::string>();
    body->at("accepted").get<std::vector<std::uint32_t>>();
    body->at("max_tokens").get<std::int64_t>();
  } catch (const json::exception& error) {
    if (job) EndJob(job, &m_cancelled);
    return ErrorReply(400, "malformed_body", error.what());
  }
  HttpReply reply;
  reply.content_type = "text/event-stream";
  reply.stream = [this, job, body, refusal](StreamSink& sink) {
    if (refusal) {
      sink.Write(AsEvent(
          {{"request_id", body->at("request_id")},
           {"attempt", body->at("attempt")},
           {"error",
            {{"code", refusal->code}, {"message", refusal->message}, {"stage", refusal->stage}}}}));
      return;
    }
    EventQueue queue;
    std::thread generator([&] { RunGeneration(job, *body, &queue); });
    SendEvents(job, &queue, sink);
    generator.join();
  };
  return reply;
}

void FakeEngine::Push(EventQueue* queue, const json& event) {
  milliseconds late;
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    late = m_late;
  }
  {
    const std::lock_guard<std::mutex> lock(queue->mutex);
    queue->events.emplace_back(Clock::now() + late, event);
    queue->is_finished = event.contains("done") || event.contains("error");
  }
  queue->changed.notify_all();
}

void FakeEngine::RunGeneration(const std::shared_ptr<Job>& job, const GenerateBody& body,
                               EventQueue* queue) {
  const std::string prompt = body.at("prompt");
  const auto accepted = body.at("accepted").get<std::vector<std::uint32_t>>();
  const std::int64_t max_tokens = body.at("max_tokens");
  std::uint64_t state = PromptState(prompt);
  for (const std::uint32_t token : accepted) state = NextState(state, token);
  auto index = static_cast<std::int64_t>(accepted.size());
  json event = {{"request_id", job->request_id}, {"attempt", job->attempt}};
  bool stopped = !accepted.empty() && IsStop(prompt, accepted.back());
  for (; index < max_tokens && !stopped; ++index) {
    const StageResult result = RunStage(job, {index, state, json::array()});
    if (const auto* error = std::get_if<StageError>(&result)) {
      event["error"] = {
          {"code", error->code}, {"message", error->message}, {"stage", error->stage}};
      NotifyLaterStages(*job, false);
      EndJob(job, &m_cancelled);
      Push(queue, event);
      return;
    }
    const auto& token = std::get<StageToken>(result);
    state = NextState(state, token.token);
    stopped = IsStop(prompt, token.token);
    json token_event = event;
    token_event["index"] = index;
    token_event["token"] = token.token;
    token_event["text"] = token.text;
    token_event["version"] = job->key.version;
    {
      const std::lock_guard<std::mutex> lock(m_mutex);
      token_event["load"] = {{"running", m_jobs.size()}, {"waiting", m_waiting}, {"kv_used", 0.0}};
    }
    Push(queue, token_event);
  }
  NotifyLaterStages(*job, true);
  EndJob(job, &m_finished);
  event["done"] = true;
  event["finish_reason"] = stopped ? "stop" : "length";
  event["count"] = index;
  Push(queue, event);
}

void FakeEngine::SendEvents(const std::shared_ptr<Job>& job, EventQueue* queue, StreamSink& sink) {
  const auto give_up = [&] {
    job->is_cancelled = true;
    if (job->next) job->next->Abort();
    NotifyLaterStages(*job, false);
    EndJob(job, &m_cancelled);
  };
  std::unique_lock<std::mutex> lock(queue->mutex);
  while (true) {
    const bool has_event = queue->changed.wait_for(lock, kPollInterval, [&] {
      return !queue->events.empty() && queue->events.front().first <= Clock::now();
    });
    if (!has_event) {
      lock.unlock();
      if (!sink.IsOpen()) return give_up();
      lock.lock();
      continue;
    }
    const json event = std::move(queue->events.front().second);
    queue->events.pop_front();
    const bool is_last = queue->is_finished && queue->events.empty();
    lock.unlock();
    if (!SendCrossed(event, sink) || !sink.Write(AsEvent(event))) return give_up();
    if (is_last) return;
    lock.lock();
  }
}

bool FakeEngine::SendCrossed(const json& event, StreamSink& sink) {
  std::string kind;
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    kind = m_crossed;
  }
  if (kind.empty() || !event.contains("token")) return true;
  json wrong = event;
  wrong["text"] = " wrong";
  wrong["token"] = event.at("token").get<std::uint32_t>() + 1;
  if (kind == "request") {
    wrong["request_id"] = event.at("request_id").get<std::string>() + "-other";
  } else if (kind == "attempt") {
    wrong["attempt"] = event.at("attempt").get<int>() + 1;
  } else {
    wrong["index"] = event.at("index").get<std::int64_t>() - 1;
  }
  return sink.Write(AsEvent(wrong));
}

HttpReply FakeEngine::Forward(const HttpRequest& request) {
  try {
    const json body = json::parse(request.body);
    const std::size_t stage = body.at("stage");
    const JobId id{body.at("request_id"), body.at("attempt")};
    std::shared_ptr<Job> job = FindJob(id);
    if (!job) {
      job = StartJob(body, stage);
      if (!job) return RefusalReply(Refuse("attempt_ended", "this attempt has ended here"));
      StandInServer::AtConnectionEnd([this, job] { EndJob(job, &m_cancelled); });
    }
    if (stage >= job->stages.size() || stage == 0) {
      return RefusalReply(Refuse("stage_mismatch", "no such stage"));
    }
    if (!(job->key == ParseKey(body))) {
      return RefusalReply(Refuse("model_mixed", "the version changed during the attempt"));
    }
    const std::uint64_t hidden = std::stoull(body.at("hidden").get<std::string>());
    const StageResult result =
        RunStage(job, {body.at("index"), hidden, body.value("ran", json::array())});
    if (const auto* error = std::get_if<StageError>(&result)) return RefusalReply(*error);
    const auto& token = std::get<StageToken>(result);
    return JsonReply(200, {{"token", token.token}, {"text", token.text}});
  } catch (const std::exception& error) {
    return ErrorReply(400, "malformed_body", error.what());
  }
}

StageError FakeEngine::Refuse(const std::string& code, const std::string& message) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  ++m_refusals[code];
  return {code, message, m_options.name};
}

std::optional<StageError> FakeEngine::CheckStage(const Job& job, const StageInput& input) {
  const StageRef& self = job.stages[job.stage];
  if (self.name != m_options.name) return Refuse("stage_mismatch", "stage is " + self.name);
  std::uint32_t expected = 0;
  for (const StageRef& stage : job.stages) {
    if (stage.first_layer > expected) return Refuse("layer_gap", "layers are missing");
    if (stage.first_layer < expected) return Refuse("layer_repeated", "layers are repeated");
    if (stage.last_layer < stage.first_layer) return Refuse("layer_gap", "empty stage");
    expected = stage.last_layer + 1;
  }
  if (job.next_index >= 0 && input.index < job.next_index) {
    return Refuse("token_repeated", "this token ran here before");
  }
  if (job.next_index >= 0 && input.index > job.next_index) {
    return Refuse("token_gap", "a token before this one is missing");
  }
  const std::lock_guard<std::mutex> lock(m_mutex);
  bool has_key = false;
  for (const Holding& holding : m_desired) has_key = has_key || holding.key == job.key;
  for (std::uint32_t layer = self.first_layer; layer <= self.last_layer; ++layer) {
    if (m_loaded.count({job.key.model, job.key.version, job.key.adapter, layer}) > 0) continue;
    const std::string code = has_key ? "range_not_held" : "model_not_held";
    ++m_refusals[code];
    return StageError{code, "layer " + std::to_string(layer) + " is not held", m_options.name};
  }
  return std::nullopt;
}

std::optional<StageError> FakeEngine::CheckWhole(const Job& job, const StageInput& input) const {
  std::uint32_t expected = 0;
  for (const json& range : input.ran) {
    if (range.at(0) != expected) {
      return StageError{"layers_out_of_order", "ran " + input.ran.dump(), m_options.name};
    }
    expected = range.at(1).get<std::uint32_t>() + 1;
  }
  const auto layers = m_options.model_layers.find(job.key.model);
  if (layers != m_options.model_layers.end() && expected != layers->second) {
    return StageError{"layer_gap", "ran " + input.ran.dump(), m_options.name};
  }
  return std::nullopt;
}

StageResult FakeEngine::RunStage(const std::shared_ptr<Job>& job, StageInput input) {
  if (const auto refusal = CheckStage(*job, input)) return *refusal;
  const StageRef& self = job->stages[job->stage];
  if (!Pace(job, self.last_layer - self.first_layer + 1)) {
    return StageError{"cancelled", "the attempt was cancelled", m_options.name};
  }
  const std::uint64_t seed = ModelSeed(job->key.model, job->key.version, job->key.adapter);
  for (std::uint32_t layer = self.first_layer; layer <= self.last_layer; ++layer) {
    input.hidden = RunLayer(seed, layer, input.hidden);
  }
  job->next_index = input.index + 1;
  input.ran.push_back({self.first_layer, self.last_layer});
  CountRun(*job, input.index);
  if (job->next) return ForwardToNext(job, input);
  if (const auto error = CheckWhole(*job, input)) return Refuse(error->code, error->message);
  return StageToken{TokenOf(input.hidden), TextOf(input.hidden)};
}

StageResult FakeEngine::ForwardToNext(const std::shared_ptr<Job>& job, const StageInput& input) {
  const std::string& next_name = job->stages[job->stage + 1].name;
  const auto reply =
      job->next->Post("/v1/pipeline/forward", {{"request_id", job->request_id},
                                               {"attempt", job->attempt},
                                               {"index", input.index},
                                               {"model", job->key.model},
                                               {"version", job->key.version},
                                               {"adapter", job->key.adapter},
                                               {"stage", job->stage + 1},
                                               {"stages", EncodeStages(job->stages)},
                                               {"hidden", std::to_string(input.hidden)},
                                               {"ran", input.ran}});
  if (job->is_cancelled) return StageError{"cancelled", "the attempt was cancelled", next_name};
  if (!reply) return StageError{"stage_unreachable", "no answer from the next stage", next_name};
  const auto body = ParseObject(reply->body);
  if (!body) return StageError{"stage_unreachable", "malformed answer", next_name};
  if (reply->status == 200) return StageToken{body->value("token", 0U), body->value("text", "")};
  const json error = body->value("error", json::object());
  return StageError{error.value("code", "stage_unreachable"), error.value("message", ""),
                    error.value("stage", next_name)};
}

bool FakeEngine::Pace(const std::shared_ptr<Job>& job, std::uint32_t layers) {
  m_server->WaitWhileFrozen([&] { return job->is_cancelled.load(); });
  Clock::time_point until;
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_free_at = std::max(m_free_at, Clock::now());
    if (m_options.layers_per_s > 0) {
      m_free_at += std::chrono::duration_cast<Clock::duration>(
          std::chrono::duration<double>(layers * m_slow_factor / m_options.layers_per_s));
    }
    until = m_free_at;
    ++m_waiting;
  }
  while (!job->is_cancelled && Clock::now() < until) {
    std::this_thread::sleep_until(std::min(until, Clock::now() + kPollInterval));
  }
  const std::lock_guard<std::mutex> lock(m_mutex);
  --m_waiting;
  if (job->is_cancelled && Clock::now() < until) m_free_at -= until - Clock::now();
  return !job->is_cancelled;
}

void FakeEngine::CountRun(const Job& job, std::int64_t index) {
  const StageRef& self = job.stages[job.stage];
  std::string fault;
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    ++m_tokens;
    m_layers_run += self.last_layer - self.first_layer + 1;
    json& ranges = m_runs[job.request_id][std::to_string(job.attempt)][std::to_string(index)];
    ranges.push_back({self.first_layer, self.last_layer});
    if (!m_fault_after_tokens.empty() && --m_tokens_until_fault <= 0) {
      fault.swap(m_fault_after_tokens);
    }
  }
  if (fault == "die") std::_Exit(1);
  if (fault == "freeze") m_server->SetFrozen(true);
  if (fault == "silent") m_server->SilenceOpenConnections();
}

HttpReply FakeEngine::Cancel(const HttpRequest& request) {
  const auto body = ParseObject(request.body);
  if (!body) return ErrorReply(400, "malformed_body", "expected a JSON object");
  const auto job = FindJob({body->value("request_id", ""), body->value("attempt", 0)});
  if (job) {
    const bool finished = body->value("finished", false);
    if (finished) NotifyLaterStages(*job, true);
    EndJob(job, finished ? &m_finished : &m_cancelled);
  }
  return JsonReply(200, {{"cancelled", job != nullptr}});
}

HttpReply FakeEngine::Order(const HttpRequest& request) {
  bool must_start = false;
  try {
    const json body = json::parse(request.body);
    const std::uint64_t fence = body.at("fence");
    std::vector<Holding> desired;
    std::uint64_t bytes = 0;
    for (const json& holding : body.at("holdings")) {
      desired.push_back({ParseKey(holding), holding.at("first_layer"), holding.at("last_layer"),
                         HoldingState::kLoading});
      if (desired.back().last_layer < desired.back().first_layer) {
        return ErrorReply(400, "malformed_body", "last_layer is below first_layer");
      }
      bytes += m_options.layer_bytes * (desired.back().last_layer - desired.back().first_layer + 1);
    }
    const std::lock_guard<std::mutex> lock(m_mutex);
    const bool is_stale = m_options.checks_fence && fence < m_fence;
    if (is_stale || bytes > m_options.memory_bytes) {
      ++m_orders_refused;
      return JsonReply(409, {{"error", {{"code", is_stale ? "stale_fence" : "out_of_memory"}}},
                             {"fence", m_fence}});
    }
    m_fence = std::max(m_fence, fence);
    ++m_orders_accepted;
    m_desired = std::move(desired);
    m_weight_store = body.value("weight_store", "");
    std::set<LayerId> kept;
    std::copy_if(m_loaded.begin(), m_loaded.end(), std::inserter(kept, kept.end()),
                 [this](const LayerId& id) { return IsDesired(id); });
    m_loaded = std::move(kept);
    must_start = !m_is_loading;
    m_is_loading = true;
  } catch (const json::exception& error) {
    return ErrorReply(400, "malformed_body", error.what());
  }
  if (must_start) std::thread([this] { LoadWeights(); }).detach();
  m_announcer->Kick();
  const std::lock_guard<std::mutex> lock(m_mutex);
  return JsonReply(200, {{"accepted", true}, {"fence", m_fence}});
}

bool FakeEngine::IsLoaded(const Holding& holding) const {
  for (std::uint32_t layer = holding.first_layer; layer <= holding.last_layer; ++layer) {
    if (m_loaded.count({holding.key.model, holding.key.version, holding.key.adapter, layer}) == 0) {
      return false;
    }
  }
  return true;
}

std::optional<FakeEngine::LayerId> FakeEngine::NextMissing() const {
  for (const Holding& holding : m_desired) {
    for (std::uint32_t layer = holding.first_layer; layer <= holding.last_layer; ++layer) {
      LayerId id{holding.key.model, holding.key.version, holding.key.adapter, layer};
      if (m_loaded.count(id) == 0) return id;
    }
  }
  return std::nullopt;
}

void FakeEngine::LoadWeights() {
  while (true) {
    std::optional<LayerId> missing;
    std::string weight_store;
    {
      const std::lock_guard<std::mutex> lock(m_mutex);
      missing = NextMissing();
      weight_store = m_weight_store;
      if (!missing) {
        m_is_loading = false;
        break;
      }
    }
    const auto& [model, version, adapter, layer] = *missing;
    const auto reply =
        HttpConnection(weight_store, kWeightsTimeout)
            .Get("/v1/weights/" + model + "/" + version + "/" + std::to_string(layer) +
                 "?bytes=" + std::to_string(m_options.layer_bytes));
    if (!reply || reply->status != 200) {
      std::this_thread::sleep_for(kWeightsRetry);
      continue;
    }
    const std::lock_guard<std::mutex> lock(m_mutex);
    // A newer order may have dropped the layer meanwhile.
    if (IsDesired(*missing)) m_loaded.insert(*missing);
  }
  m_announcer->Kick();
}

bool FakeEngine::IsDesired(const LayerId& id) const {
  const auto& [model, version, adapter, layer] = id;
  const ModelKey key{model, version, adapter};
  return std::any_of(m_desired.begin(), m_desired.end(), [&, layer = layer](const Holding& held) {
    return held.key == key && held.first_layer <= layer && layer <= held.last_layer;
  });
}

}  // namespace corneltray::fake
