#include "corneltray/log.h"

#include <atomic>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/async_frontend.hpp>
#include <boost/log/sinks/bounded_fifo_queue.hpp>
#include <boost/log/sinks/drop_on_overflow.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/make_shared.hpp>
#include <boost/shared_ptr.hpp>
#include <cstdlib>
#include <future>
#include <iostream>
#include <memory>
#include <mutex>
#include <thread>

#include "corneltray/log_budget.h"
#include "corneltray/time.h"

namespace corneltray {
namespace {

namespace logging = boost::log;

// Set once by StartLogging before other threads start, then only read.
LogIdentity g_identity;                          // NOLINT
std::atomic<bool> g_started{false};              // NOLINT
std::atomic<LogLevel> g_level{LogLevel::kInfo};  // NOLINT

// Lines that wait for a slow reader of standard output; further ones are dropped, so that no caller
// of LogEvent ever waits.
constexpr std::size_t kMaxWaitingLines = 4096;
// Time to write what waits when the process ends.
constexpr std::chrono::milliseconds kStopTimeout{300};
// Lines of one event in a second.
constexpr double kLinesPerSecond = 200.0;

using Backend = logging::sinks::text_ostream_backend;
using Sink = logging::sinks::asynchronous_sink<
    Backend,
    logging::sinks::bounded_fifo_queue<kMaxWaitingLines, logging::sinks::drop_on_overflow>>;

std::mutex g_budget_mutex;            // NOLINT
LogBudget g_budget{kLinesPerSecond};  // NOLINT: guarded by g_budget_mutex
// Never freed, since its thread may wait for the reader of standard output for ever.
boost::shared_ptr<Sink>* g_sink = nullptr;  // NOLINT: set once by StartLogging

// Returns how many lines of this event were left out before, or nothing if this one is, too.
std::optional<std::uint64_t> TakeFromBudget(std::string_view event) {
  const std::lock_guard<std::mutex> lock(g_budget_mutex);
  return g_budget.Take(Clock::now(), event);
}

}  // namespace

void StartLogging(LogIdentity identity, LogLevel level) {
  auto backend = boost::make_shared<Backend>();
  backend->add_stream(boost::shared_ptr<std::ostream>(&std::cout, [](std::ostream*) {}));
  backend->auto_flush(true);
  g_sink = new boost::shared_ptr<Sink>(boost::make_shared<Sink>(backend));
  (*g_sink)->set_formatter(logging::expressions::stream << logging::expressions::smessage);
  logging::core::get()->add_sink(*g_sink);
  g_identity = std::move(identity);
  g_level = level;
  g_started = true;
}

void StopLogging(int exit_code) {
  if (!g_started.exchange(false)) return;
  logging::core::get()->remove_sink(*g_sink);
  auto written = std::make_shared<std::promise<void>>();
  std::future<void> done = written->get_future();
  std::thread([written] {
    (*g_sink)->stop();
    (*g_sink)->flush();
    written->set_value();
  }).detach();
  if (done.wait_for(kStopTimeout) == std::future_status::ready) return;
  // Leaving main would wait for standard output as well.
  std::quick_exit(exit_code);
}

bool IsLogged(LogLevel level) { return g_started && level >= g_level; }

void LogEvent(LogLevel level, std::string_view event, const nlohmann::json& fields) {
  if (!IsLogged(level)) return;
  const auto left_out = TakeFromBudget(event);
  if (!left_out) return;
  nlohmann::json line = {
      {"time_ms", UnixNow()},    {"level", NameOf(level)},
      {"event", event},          {"program", g_identity.program},
      {"host", g_identity.host}, {"availability_zone", g_identity.availability_zone}};
  line.update(fields);
  if (*left_out > 0) line["left_out_before"] = *left_out;
  // Bytes from outside may not be valid UTF-8; a log line never fails because of them.
  const std::string text = line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  thread_local logging::sources::logger logger;
  BOOST_LOG(logger) << text;
}

}  // namespace corneltray
