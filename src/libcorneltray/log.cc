#include "corneltray/log.h"

#include <atomic>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/make_shared.hpp>
#include <boost/shared_ptr.hpp>
#include <iostream>

#include "corneltray/time.h"

namespace corneltray {
namespace {

namespace logging = boost::log;

// Set once by StartLogging before other threads start, then only read.
LogIdentity g_identity;                          // NOLINT
std::atomic<bool> g_started{false};              // NOLINT
std::atomic<LogLevel> g_level{LogLevel::kInfo};  // NOLINT

}  // namespace

void StartLogging(LogIdentity identity, LogLevel level) {
  using Backend = logging::sinks::text_ostream_backend;
  auto backend = boost::make_shared<Backend>();
  backend->add_stream(boost::shared_ptr<std::ostream>(&std::cout, [](std::ostream*) {}));
  backend->auto_flush(true);
  auto sink = boost::make_shared<logging::sinks::synchronous_sink<Backend>>(backend);
  sink->set_formatter(logging::expressions::stream << logging::expressions::smessage);
  logging::core::get()->add_sink(sink);
  g_identity = std::move(identity);
  g_level = level;
  g_started = true;
}

bool IsLogged(LogLevel level) { return g_started && level >= g_level; }

void LogEvent(LogLevel level, std::string_view event, const nlohmann::json& fields) {
  if (!IsLogged(level)) return;
  nlohmann::json line = {
      {"time_ms", UnixNow()},    {"level", NameOf(level)},
      {"event", event},          {"program", g_identity.program},
      {"host", g_identity.host}, {"availability_zone", g_identity.availability_zone}};
  line.update(fields);
  // Bytes from outside may not be valid UTF-8; a log line never fails because of them.
  const std::string text = line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  thread_local logging::sources::logger logger;
  BOOST_LOG(logger) << text;
}

}  // namespace corneltray
