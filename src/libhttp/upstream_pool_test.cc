#include "corneltray/upstream_pool.h"

#include <doctest/doctest.h>

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <thread>
#include <vector>

#include "../libcorneltray/test_socket.h"
#include "corneltray/http_listener.h"
#include "event_loop_test.h"

namespace corneltray {
namespace {

// What a request to the pool ended with.
struct Outcome {
  int status = 0;
  std::string body;
  bool ended = false;
  std::optional<UpstreamFailure> failure;

  bool Done() const { return ended || failure.has_value(); }
};

// A pool and an upstream on one loop.
class PoolFixture {
 public:
  explicit PoolFixture(HttpListener::Handler handler) {
    loop.Run([&] {
      pool = std::make_unique<UpstreamPool>(loop.Io());
      upstream = std::make_unique<HttpListener>(loop.Io(), std::move(handler));
      REQUIRE(upstream->Listen("127.0.0.1:0").Ok());
      address = upstream->Address();
    });
  }
  ~PoolFixture() {
    loop.Run([this] {
      pool.reset();
      upstream.reset();
    });
    loop.Stop();
  }

  // Sends a request.
  std::shared_ptr<const Outcome> Begin(UpstreamRequest request) {
    const auto outcome = std::make_shared<Outcome>();
    UpstreamCallbacks callbacks;
    callbacks.on_head = [outcome](const HttpHead& head) { outcome->status = head.status; };
    callbacks.on_body = [outcome](std::string_view bytes) { outcome->body.append(bytes); };
    callbacks.on_end = [outcome] { outcome->ended = true; };
    callbacks.on_failure = [outcome](UpstreamFailure failure) { outcome->failure = failure; };
    request.connect_deadline = Clock::now() + std::chrono::seconds(2);
    loop.Run([&] { pool->Send(std::move(request), std::move(callbacks)); });
    return outcome;
  }

  // Sends a request and waits until it has ended.
  Outcome Send(UpstreamRequest request) {
    const auto outcome = Begin(std::move(request));
    REQUIRE(loop.WaitFor([&] { return outcome->Done(); }));
    return *outcome;
  }

  UpstreamRequest Get() const {
    UpstreamRequest request;
    request.address = address;
    request.bytes = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";
    return request;
  }

  UpstreamPoolCounters Counters() {
    return loop.Run([this] { return pool->Counters(); });
  }

  EventLoopThread loop;
  std::unique_ptr<UpstreamPool> pool;
  std::unique_ptr<HttpListener> upstream;
  std::string address;
};

HttpHead KeepAlive(const char* value) {
  HttpHead head = MakeResponse(200);
  head.Add("Keep-Alive", value);
  return head;
}

TEST_CASE("a pool reuses connections that the upstream keeps") {
  PoolFixture fixture([](const HttpCall& call) { call.Respond(KeepAlive("timeout=10"), "ok"); });
  for (int i = 0; i < 3; ++i) CHECK(fixture.Send(fixture.Get()).body == "ok");
  CHECK(fixture.Counters().connects == 1);
  CHECK(fixture.Counters().reused == 2);

  SUBCASE("but not for a request that asks for a fresh one") {
    UpstreamRequest request = fixture.Get();
    request.fresh_connection = true;
    CHECK(fixture.Send(request).body == "ok");
    CHECK(fixture.Counters().connects == 2);
  }
}

// Guards against the use of an entry that was freed when its last idle connection had expired,
// which ended the process.
TEST_CASE("a pool drops an idle connection that has expired and opens another") {
  PoolFixture fixture([](const HttpCall& call) { call.Respond(MakeResponse(200), "ok"); });
  CHECK(fixture.Send(fixture.Get()).body == "ok");
  // Without a Keep-Alive field a connection is reused for half a second.
  std::this_thread::sleep_for(std::chrono::milliseconds(600));
  CHECK(fixture.Send(fixture.Get()).body == "ok");
  CHECK(fixture.Counters().connects == 2);
  CHECK(fixture.Counters().open == 1);
}

TEST_CASE("a pool tells how a request failed") {
  SUBCASE("nobody listens") {
    PoolFixture fixture([](const HttpCall&) {});
    fixture.loop.Run([&] { fixture.upstream->CloseListener(); });
    CHECK(fixture.Send(fixture.Get()).failure == UpstreamFailure::kNotConnected);
  }
  SUBCASE("the connection ends without an answer") {
    PoolFixture fixture([](const HttpCall& call) { call.Abort(); });
    CHECK(fixture.Send(fixture.Get()).failure == UpstreamFailure::kNoAnswer);
  }
  SUBCASE("the connection ends inside the answer") {
    PoolFixture fixture([](const HttpCall& call) {
      call.Begin(MakeResponse(200));
      call.Write("part");
      call.Abort();
    });
    const Outcome outcome = fixture.Send(fixture.Get());
    CHECK(outcome.failure == UpstreamFailure::kTruncated);
    CHECK_FALSE(outcome.ended);
  }
}

// More than the buffers of both ends hold, so that a part is unwritten when the connection ends.
constexpr std::size_t kLongBodyBytes = std::size_t{16} * 1024 * 1024;

// Guards against a part of an answer that passes for the whole one: the write takes the error of a
// reset, and the read then sees an ordinary end of the stream.
TEST_CASE("an answer that ends with its connection is whole once its request was written") {
  PoolFixture fixture([](const HttpCall&) {});
  UpstreamRequest request = fixture.Get();
  request.bytes =
      "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: " + std::to_string(kLongBodyBytes) +
      "\r\n\r\n";
  request.bytes.append(kLongBodyBytes, 'u');
  const std::size_t request_bytes = request.bytes.size();
  std::string answer = "HTTP/1.1 200 OK\r\n\r\npart";
  std::function<void(TestSocket*)> end;
  ScriptedPeer upstream([&](TestSocket* socket) {
    const std::size_t received = socket->ReadUntil("\r\n\r\n").size();
    socket->Send(answer);
    if (end) return end(socket);
    socket->EndSending();
    socket->ReadWhile(
        [&](const std::string& more) { return received + more.size() < request_bytes; });
  });
  request.address = upstream.Address();

  SUBCASE("not if a reset follows it") {
    SUBCASE("at once") {
      end = [](TestSocket* socket) { socket->Reset(); };
    }
    SUBCASE("after a moment") {
      end = [](TestSocket* socket) {
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
        socket->Reset();
      };
    }
    SUBCASE("since the connection was closed with unread bytes") {
      end = [](TestSocket* socket) { socket->Close(); };
    }
    SUBCASE("behind the end of the stream") {
      end = [](TestSocket* socket) {
        socket->EndSending();
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
        socket->Reset();
      };
    }
    SUBCASE("and it has no body") {
      answer = "HTTP/1.1 200 OK\r\n\r\n";
      end = [](TestSocket* socket) { socket->Reset(); };
    }
    const Outcome outcome = fixture.Send(request);
    CHECK_FALSE(outcome.ended);
    CHECK(outcome.failure == UpstreamFailure::kTruncated);
  }
  SUBCASE("also if its end comes before the request is read") {
    const Outcome outcome = fixture.Send(request);
    CHECK(outcome.ended);
    CHECK(outcome.body == "part");
  }
  SUBCASE("and one with a length in any case") {
    answer = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\npart";
    end = [](TestSocket* socket) { socket->Reset(); };
    const Outcome outcome = fixture.Send(request);
    CHECK(outcome.ended);
    CHECK(outcome.body == "part");
  }
}

// Guards against a request that is still being written when its sender may not send it any more,
// and against an answer that has to be there as early.
TEST_CASE("a request is written by its deadline") {
  constexpr std::chrono::milliseconds kWriteTime{150};
  bool reads = true;
  ScriptedPeer upstream([&](TestSocket* socket) {
    socket->ReadUntil("\r\n\r\n");
    std::this_thread::sleep_for(2 * kWriteTime);
    if (!reads) return;
    socket->Send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    socket->ReadAll();
  });
  PoolFixture fixture([](const HttpCall&) {});
  UpstreamRequest request = fixture.Get();
  request.address = upstream.Address();
  request.write_deadline = Clock::now() + kWriteTime;
  request.answer_deadline = *request.write_deadline + std::chrono::seconds(5);

  SUBCASE("or fails") {
    reads = false;
    request.bytes = "POST / HTTP/1.1\r\nHost: x\r\n\r\n" + std::string(kLongBodyBytes, 'u');
    const Outcome outcome = fixture.Send(request);
    CHECK(outcome.failure == UpstreamFailure::kNoAnswer);
    CHECK(Clock::now() < *request.write_deadline + kWriteTime);
  }
  SUBCASE("and its answer may come later") { CHECK(fixture.Send(request).body == "ok"); }
}

// Guards against a request that waits for another response after one with an invalid status.
TEST_CASE("a request fails at once on a response without a valid status") {
  PoolFixture fixture([](const HttpCall&) {});
  UpstreamRequest request = fixture.Get();
  for (const std::string status : {"000", "042", "101", "199", "600", "999"}) {
    CAPTURE(status);
    ScriptedPeer upstream([&status](TestSocket* socket) {
      socket->ReadRequest();
      socket->Send("HTTP/1.1 " + status + " X\r\nContent-Length: 6\r\n\r\nbroken");
      socket->ReadAll();
    });
    request.address = upstream.Address();
    const Outcome outcome = fixture.Send(request);
    CHECK(outcome.failure == UpstreamFailure::kMalformed);
    CHECK(outcome.status == 0);
  }
}

TEST_CASE("interim responses are skipped") {
  ScriptedPeer upstream([](TestSocket* socket) {
    socket->ReadRequest();
    socket->Send("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n");
    socket->Send("HTTP/1.1 199 X\r\nConnection: close\r\n\r\n");
    socket->Send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    socket->ReadAll();
  });
  PoolFixture fixture([](const HttpCall&) {});
  UpstreamRequest request = fixture.Get();
  request.address = upstream.Address();
  const Outcome outcome = fixture.Send(request);
  CHECK(outcome.status == 200);
  CHECK(outcome.body == "ok");
}

// Guards against a request that waits for a body which HTTP rules out.
TEST_CASE("a response without a body ends with its head whatever its length field says") {
  std::string answer;
  ScriptedPeer upstream([&answer](TestSocket* socket) {
    socket->ReadRequest();
    socket->Send(answer);
    socket->ReadAll();
  });
  PoolFixture fixture([](const HttpCall&) {});
  UpstreamRequest request = fixture.Get();
  request.address = upstream.Address();
  SUBCASE("to HEAD, after an interim response") {
    answer = "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n";
    request.without_body = true;
    CHECK(fixture.Send(request).status == 200);
  }
  SUBCASE("not modified") {
    answer = "HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\n";
    CHECK(fixture.Send(request).status == 304);
  }
  SUBCASE("no content") {
    answer = "HTTP/1.1 204 No Content\r\nContent-Length: 9\r\n\r\n";
    CHECK(fixture.Send(request).status == 204);
  }
}

// Guards against answers of one request that reach the caller of another.
TEST_CASE("an answer to an earlier request is skipped") {
  int answers = 0;
  PoolFixture fixture([&answers](const HttpCall& call) {
    HttpHead head = KeepAlive("timeout=10");
    head.Add("Answer-To", ++answers == 1 ? "earlier" : "mine");
    call.Respond(std::move(head), "body " + std::to_string(answers));
  });
  UpstreamRequest request = fixture.Get();
  request.bytes += request.bytes;  // the upstream answers twice
  request.is_answer = [](const HttpHead& head) { return head.Value("Answer-To") == "mine"; };
  const Outcome outcome = fixture.Send(request);
  CHECK(outcome.ended);
  CHECK(outcome.body == "body 2");
  CHECK(fixture.Counters().skipped_answers == 1);
}

// Guards against a second copy of an answer that arrives late, when the connection is in use again
// or waits for its next request: the next caller would get it.
TEST_CASE("a late second copy of an answer reaches no other request") {
  int calls = 0;
  std::optional<HttpCall> second_copy;
  const auto answer = [](const HttpCall& call, const char* to) {
    HttpHead head = KeepAlive("timeout=10");
    head.Add("Answer-To", to);
    call.Respond(std::move(head), to);
  };
  PoolFixture fixture([&](const HttpCall& call) {
    ++calls;
    if (calls == 2) {
      second_copy = call;
    } else {
      answer(call, calls == 1 ? "first" : "next");
    }
  });
  const auto request_for = [&fixture](const char* name) {
    UpstreamRequest request = fixture.Get();
    request.is_answer = [name](const HttpHead& head) { return head.Value("Answer-To") == name; };
    return request;
  };
  UpstreamRequest first = request_for("first");
  first.bytes += first.bytes;  // the upstream answers it twice
  REQUIRE(fixture.Send(first).body == "first");
  REQUIRE(fixture.loop.WaitFor([&] { return second_copy.has_value(); }));
  const auto send_copy = [&] { answer(*second_copy, "first"); };

  SUBCASE("while the next request waits for its answer") {
    const auto outcome = fixture.Begin(request_for("next"));
    fixture.loop.Run(send_copy);
    REQUIRE(fixture.loop.WaitFor([&] { return outcome->Done(); }));
    CHECK(outcome->body == "next");
    CHECK(fixture.Counters().skipped_answers == 1);
    CHECK(fixture.Counters().connects == 1);
  }
  SUBCASE("while the connection is idle") {
    fixture.loop.Run(send_copy);
    REQUIRE(fixture.loop.WaitFor([&] { return fixture.pool->Counters().open == 0; }));
    CHECK(fixture.Send(request_for("next")).body == "next");
    CHECK(fixture.Counters().connects == 2);
  }
  fixture.loop.Run([&] { second_copy.reset(); });
}

TEST_CASE("a cancelled request calls nobody and closes its connection") {
  std::optional<HttpCall> kept;
  std::atomic<bool> caller_left{false};
  PoolFixture fixture([&](const HttpCall& call) {
    call.OnCallerGone([&] { caller_left = true; });
    kept = call;
  });
  std::atomic<bool> called{false};
  UpstreamCall sent;
  fixture.loop.Run([&] {
    UpstreamRequest request = fixture.Get();
    request.connect_deadline = Clock::now() + std::chrono::seconds(2);
    UpstreamCallbacks callbacks;
    callbacks.on_failure = [&](UpstreamFailure) { called = true; };
    sent = fixture.pool->Send(std::move(request), std::move(callbacks));
  });
  REQUIRE(fixture.loop.WaitFor([&] { return kept.has_value(); }));
  fixture.loop.Run([&] { sent.Cancel(); });
  CHECK(fixture.loop.WaitFor([&] { return caller_left.load(); }));
  CHECK_FALSE(called);
  fixture.loop.Run([&] { kept.reset(); });
}

}  // namespace
}  // namespace corneltray
