#ifndef CORNELTRAY_UPSTREAM_POOL_H_
#define CORNELTRAY_UPSTREAM_POOL_H_

#include <asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <limits>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "corneltray/enum_names.h"
#include "corneltray/http_head.h"
#include "corneltray/memory_budget.h"
#include "corneltray/time.h"

namespace corneltray {

// How a request to an upstream ended without a whole answer.
enum class UpstreamFailure {
  kNotConnected,  // no connection was made, so nothing was sent
  kNoAnswer,      // the connection ended before the first byte of an answer
  kTruncated,     // the connection ended inside the answer
  kMalformed,     // the bytes are no answer
};

template <>
struct EnumNames<UpstreamFailure> {
  static constexpr EnumName<UpstreamFailure> kTable[] = {
      {UpstreamFailure::kNotConnected, "not_connected"},
      {UpstreamFailure::kNoAnswer, "no_answer"},
      {UpstreamFailure::kTruncated, "truncated"},
      {UpstreamFailure::kMalformed, "malformed"},
  };
};

// What the sender of one request is told, in this order: the head, the body in parts, then one of
// end or failure. Nothing follows a Cancel.
struct UpstreamCallbacks {
  std::function<void(HttpHead head)> on_head;
  std::function<void(std::string_view bytes)> on_body;
  std::function<void()> on_end;
  std::function<void(UpstreamFailure failure)> on_failure;
};

struct UpstreamRequest {
  std::string address;        // IP:PORT
  std::string bytes;          // the whole request as sent
  bool without_body = false;  // the answer has no body, as to HEAD
  // Opens a connection of its own instead of reusing one that the upstream may be closing.
  bool fresh_connection = false;
  TimePoint connect_deadline{};
  // The whole request is written by then, or it fails. Empty: only its other deadlines hold.
  std::optional<TimePoint> write_deadline;
  // The whole answer is there by then, or the request fails. Empty: its sender cancels it in time.
  std::optional<TimePoint> answer_deadline;
  // An answer with a longer body is malformed.
  std::size_t max_body_bytes = std::numeric_limits<std::size_t>::max();
  // Whether a head belongs to this request. An answer that does not, left over from an earlier
  // request, is skipped. Empty: every head does.
  std::function<bool(const HttpHead& head)> is_answer;
};

class UpstreamConnection;

// One request in progress. Destroying it has no effect on the request.
class UpstreamCall {
 public:
  UpstreamCall() = default;
  UpstreamCall(std::weak_ptr<UpstreamConnection> connection, std::uint64_t number)
      : m_connection(std::move(connection)), m_number(number) {}

  // Closes the connection, which makes the upstream drop the request. No callback follows.
  void Cancel();
  // Stop and go on reading, for a caller that is slower than the upstream.
  void PauseReading();
  void ResumeReading();

 private:
  std::shared_ptr<UpstreamConnection> Current() const;

  std::weak_ptr<UpstreamConnection> m_connection;
  std::uint64_t m_number = 0;  // of the request on its connection
};

struct UpstreamPoolCounters {
  std::uint64_t connects = 0;
  std::uint64_t connect_failures = 0;
  std::uint64_t reused = 0;
  std::uint64_t skipped_answers = 0;
  std::size_t open = 0;
};

// Connections to upstreams, kept open for later requests. Each carries one request at a time. Not
// thread safe: lives on one io_context.
class UpstreamPool {
 public:
  explicit UpstreamPool(asio::io_context* io);
  ~UpstreamPool();
  UpstreamPool(const UpstreamPool&) = delete;
  UpstreamPool& operator=(const UpstreamPool&) = delete;

  // The door at which the memory of these connections is counted, and how many there may be before
  // idle ones are closed. Call before Send.
  void SetBudget(std::shared_ptr<DoorBudget> door, std::size_t max_connections);

  UpstreamCall Send(UpstreamRequest request, UpstreamCallbacks callbacks);
  // Opens a connection without a request and closes it again. The observer is told how that ended.
  void Probe(const std::string& address, TimePoint deadline);
  // The observer is told of each connection that was opened, and of each that failed to open.
  using ConnectObserver = std::function<void(const std::string& address, bool is_connected)>;
  void SetConnectObserver(ConnectObserver observer);

  // Closes the idle connections to an address.
  void Forget(const std::string& address);
  // Closes everything.
  void CloseAll();
  UpstreamPoolCounters Counters() const;

 private:
  friend class UpstreamConnection;
  class Impl;
  std::shared_ptr<Impl> m_impl;
};

}  // namespace corneltray

#endif  // CORNELTRAY_UPSTREAM_POOL_H_
