#include "service_runner.h"

#include <doctest/doctest.h>

#include "booking_runner.h"
#include "http_api_test.h"

namespace corneltray {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr char kBookings[] = "/v1/services/ledger/v1/bookings";

// A service that counts bookings by key and fails as told.
class TestService {
 public:
  enum class Fault {
    kNone,
    kCloseBefore,
    kCloseAfter,
    kSilent,
    kUnavailable,
    kLookupBroken,
    kLarge,
    kBrokenChunk
  };

  explicit TestService(Fault fault, int port = 0)
      : m_fault(fault), m_peer([this](TestSocket* socket) { Serve(socket); }, port) {}

  const std::string& Address() const { return m_peer.Address(); }
  int Booked() const { return m_booked; }
  int Requests() const { return m_requests; }
  std::string LastRequest() const { return m_last; }

 private:
  void Serve(TestSocket* socket) {
    const std::string request = socket->ReadRequest();
    ++m_requests;
    m_last = request;
    if (request.find("GET /v1/bookings/") == 0) {
      if (m_fault == Fault::kLookupBroken) return;
      Reply(socket, m_booked > 0 ? 200 : 404, m_booked > 0 ? "found" : "none");
      return;
    }
    switch (m_fault) {
      case Fault::kCloseBefore:
        return;
      case Fault::kSilent:
        socket->ReadAll();
        return;
      case Fault::kUnavailable:
        Reply(socket, 503, "busy");
        return;
      case Fault::kCloseAfter:
      case Fault::kLookupBroken:
        ++m_booked;
        return;
      case Fault::kLarge:
        ++m_booked;
        Reply(socket, 201, std::string(70'000, 'x'));
        return;
      case Fault::kBrokenChunk:
        ++m_booked;
        socket->Send("HTTP/1.1 201 X\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npartXX0\r\n\r\n");
        return;
      case Fault::kNone:
        ++m_booked;
        Reply(socket, 201, "booked " + std::to_string(m_booked));
    }
  }

  static void Reply(TestSocket* socket, int status, const std::string& body) {
    socket->Send("HTTP/1.1 " + std::to_string(status) +
                 " X\r\nContent-Type: text/plain\r\nX-Trace: 1\r\nContent-Length: " +
                 std::to_string(body.size()) + "\r\n\r\n" + body);
  }

  const Fault m_fault;
  std::atomic<int> m_booked{0};
  std::atomic<int> m_requests{0};
  std::string m_last;
  ScriptedPeer m_peer;
};

using Fault = TestService::Fault;

// A new key for each call; keys carry the present time.
std::string NewKey() {
  static std::atomic<unsigned> counter{0};
  char text[64];
  const auto now = static_cast<unsigned long long>(UnixNow());  // NOLINT(google-runtime-int)
  std::snprintf(text, sizeof(text), "%08llx-%04llx-7000-8000-%012x", now >> 16, now & 0xffff,
                ++counter);
  return text;
}

HttpRequest Booking(const std::string& key, std::int64_t deadline_ms = 3000,
                    const std::string& customer_key = "0123456789abcdef") {
  return TestRequest("POST", kBookings, "{}",
                     {{"idempotency-key", key},
                      {"content-type", "application/json"},
                      {"corneltray-deadline-ms", std::to_string(UnixNow() + deadline_ms)}},
                     customer_key);
}

std::string OutcomeOf(const HttpResponse& response) {
  return HeaderOf(response, "Corneltray-Outcome");
}

std::string NobodyAddress() {
  return ScriptedPeer([](TestSocket*) {}).Address();
}

TEST_CASE("a lookup is answered while a replica") {
  TestEntry entry(kTestConfiguration);
  TestService good(Fault::kNone);
  milliseconds limit(500);
  std::unique_ptr<TestService> bad;
  const auto start = [&](Fault fault) {
    bad = std::make_unique<TestService>(fault);
    entry.AddService("bad", bad->Address());
  };
  SUBCASE("closes connections") { start(Fault::kCloseBefore); }
  SUBCASE("says that it is unavailable") { start(Fault::kUnavailable); }
  SUBCASE("sends broken answers") { start(Fault::kBrokenChunk); }
  SUBCASE("is gone") { entry.AddService("bad", NobodyAddress()); }
  SUBCASE("is silent") {
    start(Fault::kSilent);
    limit = milliseconds(1500);
  }
  entry.AddService("good", good.Address());
  for (int i = 0; i < 3; ++i) {
    const TimePoint begin = Clock::now();
    const HttpResponse response =
        HandleApiRequest(entry.context, TestRequest("GET", "/v1/services/ledger/v1/stock/x?y=%20z",
                                                    "", {{"connection", "close"}, {"x-own", "1"}}));
    CHECK(response.status == 201);
    CHECK(OutcomeOf(response) == "done");
    CHECK(HeaderOf(response, "X-Trace") == "1");
    CHECK(Clock::now() - begin < limit);
  }
  CHECK(good.LastRequest().find("GET /v1/stock/x?y=%20z HTTP/1.1\r\n") == 0);
  CHECK(good.LastRequest().find("x-own: 1") != std::string::npos);
  // Guards against the customer's key reaching a service.
  CHECK(good.LastRequest().find("0123456789abcdef") == std::string::npos);
}

// Guards against a lookup that fails although its replica would still have answered it.
TEST_CASE("a lookup that cannot go on elsewhere outlasts a pause of its replica") {
  const std::string section = "[routing]\n";
  std::string configuration = kTestConfiguration;
  configuration.insert(configuration.find(section) + section.size(),
                       "retry_budget_ratio = 0.0\nretry_budget_min_per_s = 0.0\n");
  const auto pause = [](TestSocket* socket) {
    socket->ReadRequest();
    std::this_thread::sleep_for(milliseconds(1300));
    socket->Send("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone");
  };
  ScriptedPeer one(pause);
  ScriptedPeer other(pause);
  HttpResponse response;
  const auto call = [&](const std::string& text, bool has_other) {
    TestEntry entry(text);
    entry.AddService("one", one.Address());
    if (has_other) entry.AddService("other", other.Address());
    response = HandleApiRequest(
        entry.context, TestRequest("GET", "/v1/services/ledger/x", "",
                                   {{"corneltray-deadline-ms", std::to_string(UnixNow() + 2200)}}));
  };
  SUBCASE("without a quota of retries") { call(configuration, true); }
  SUBCASE("without another replica") { call(kTestConfiguration, false); }
  CHECK(response.status == 200);
  CHECK(response.body == "done");
}

TEST_CASE("a lookup that no replica answers") {
  TestEntry entry(kTestConfiguration);
  HttpRequest request = TestRequest("GET", "/v1/services/ledger/x", "",
                                    {{"corneltray-deadline-ms", std::to_string(UnixNow() + 300)}});
  SUBCASE("ends at the deadline, and may have run") {
    TestService silent(Fault::kSilent);
    entry.AddService("silent", silent.Address());
    const HttpResponse response = HandleApiRequest(entry.context, request);
    CHECK(response.status == 504);
    CHECK(OutcomeOf(response) == "unknown");
  }
  SUBCASE("was not run when nobody took a byte") {
    entry.AddService("gone", NobodyAddress());
    const HttpResponse response = HandleApiRequest(entry.context, request);
    CHECK(response.status == 504);
    CHECK(OutcomeOf(response) == "not_run");
  }
  SUBCASE("passes the last refusal on") {
    TestService busy(Fault::kUnavailable);
    entry.AddService("busy", busy.Address());
    const HttpResponse response = HandleApiRequest(entry.context, request);
    CHECK(response.status == 503);
    CHECK(response.body == "busy");
  }
}

// Fault of the service and of the log -> outcome to the caller, outcome to a repeat, bookings.
// Guards against a wrong outcome told to the caller and a second booking for one key.
TEST_CASE("a booking has one outcome") {
  struct Case {
    const char* name;
    Fault service;
    MemoryControl::Fault control;
    const char* outcome;
    int status;
    const char* repeat;
    int booked;
  };
  using C = MemoryControl::Fault;
  const Case cases[] = {
      {"no fault", Fault::kNone, C::kNone, "done", 201, "done", 1},
      {"a lost reply of the log", Fault::kNone, C::kReplyLost, "done", 201, "done", 1},
      {"the log is out of reach", Fault::kNone, C::kUnreachable, "unknown", 503, "unknown", 0},
      {"reply lost after the booking", Fault::kCloseAfter, C::kNone, "done", 200, "done", 1},
      {"a broken reply after the booking", Fault::kBrokenChunk, C::kNone, "done", 200, "done", 1},
      {"closed before the booking", Fault::kCloseBefore, C::kNone, "unknown", 504, "unknown", 0},
      {"reply and lookup lost", Fault::kLookupBroken, C::kNone, "unknown", 504, "unknown", 1},
      {"an error of the service", Fault::kUnavailable, C::kNone, "done", 503, "done", 0},
  };
  for (const Case& c : cases) {
    CAPTURE(std::string(c.name));
    TestEntry entry(kTestConfiguration);
    TestService service(c.service);
    entry.AddService("ledger-1", service.Address());
    entry.control.SetFault(c.control);
    const std::string key = NewKey();
    const HttpResponse first = HandleApiRequest(entry.context, Booking(key, 300));
    CHECK(OutcomeOf(first) == c.outcome);
    CHECK(first.status == c.status);
    const HttpResponse second = HandleApiRequest(entry.context, Booking(key, 1000));
    CHECK(OutcomeOf(second) == c.repeat);
    if (OutcomeOf(first) == "done") {
      CHECK(second.body == first.body);
      CHECK(second.status == first.status);
      CHECK(HeaderOf(second, "Corneltray-Replayed") == "true");
    }
    CHECK(service.Booked() == c.booked);
  }
}

TEST_CASE("a booking") {
  TestEntry entry(kTestConfiguration);
  const std::string key = NewKey();

  SUBCASE("goes to another replica when no byte was sent") {
    TestService service(Fault::kNone);
    entry.AddService("gone-1", NobodyAddress());
    entry.AddService("gone-2", NobodyAddress());
    entry.AddService("good", service.Address());
    for (int i = 0; i < 4; ++i) {
      CHECK(OutcomeOf(HandleApiRequest(entry.context, Booking(NewKey()))) == "done");
    }
    CHECK(service.Booked() == 4);
  }
  // Guards against "not run" for a replica that only had a full accept queue for a moment.
  SUBCASE("is sent when the replica accepts again") {
    const std::string address = NobodyAddress();
    entry.AddService("back", address);
    std::unique_ptr<TestService> service;
    std::thread opener([&] {
      while (entry.metrics.Text({}).find("booking_connects_failed") == std::string::npos) {
        std::this_thread::sleep_for(milliseconds(1));
      }
      service = std::make_unique<TestService>(Fault::kNone, std::stoi(address.substr(10)));
    });
    CHECK(OutcomeOf(HandleApiRequest(entry.context, Booking(key))) == "done");
    opener.join();
    CHECK(service->Booked() == 1);
  }
  // Guards against a delayed duplicate that runs a key after the caller was told that it did not
  // run.
  SUBCASE("without a replica is not run, now and later") {
    const HttpResponse first = HandleApiRequest(entry.context, Booking(key));
    CHECK(first.status == 503);
    CHECK(OutcomeOf(first) == "not_run");
    TestService service(Fault::kNone);
    entry.AddService("good", service.Address());
    CHECK(OutcomeOf(HandleApiRequest(entry.context, Booking(key))) == "not_run");
    CHECK(service.Booked() == 0);
  }
  SUBCASE("over the limit is recorded as not run") {
    TestService service(Fault::kNone);
    entry.AddService("good", service.Address());
    const std::string other = NewKey();
    CHECK(OutcomeOf(HandleApiRequest(entry.context, Booking(other, 3000, "small-0123456789"))) ==
          "done");
    const HttpResponse refused =
        HandleApiRequest(entry.context, Booking(key, 3000, "small-0123456789"));
    CHECK(refused.status == 429);
    CHECK(OutcomeOf(refused) == "not_run");
    // A repeat of a booking that is done gets its answer even over the limit.
    const HttpResponse repeat =
        HandleApiRequest(entry.context, Booking(other, 3000, "small-0123456789"));
    CHECK(OutcomeOf(repeat) == "done");
    CHECK(repeat.status == 201);
    CHECK(service.Booked() == 1);
  }
  SUBCASE("over the limit is unknown while the log is out of reach") {
    HandleApiRequest(entry.context, Booking(NewKey(), 3000, "small-0123456789"));
    entry.control.SetFault(MemoryControl::Fault::kUnreachable);
    const HttpResponse refused =
        HandleApiRequest(entry.context, Booking(key, 300, "small-0123456789"));
    CHECK(OutcomeOf(refused) == "unknown");
  }
  SUBCASE("with another body is refused and keeps its outcome") {
    TestService service(Fault::kNone);
    entry.AddService("good", service.Address());
    HandleApiRequest(entry.context, Booking(key));
    HttpRequest other = Booking(key);
    other.body = "{\"a\":1}";
    const HttpResponse response = HandleApiRequest(entry.context, other);
    CHECK(response.status == 422);
    CHECK(ErrorOf(response).value("code", "") == "idempotency_key_reused");
    CHECK(OutcomeOf(response) == "done");
    CHECK(service.Booked() == 1);
  }
  SUBCASE("with a large answer gives it to the first caller only") {
    TestService service(Fault::kLarge);
    entry.AddService("good", service.Address());
    CHECK(HandleApiRequest(entry.context, Booking(key)).body.size() == 70'000);
    const HttpResponse repeat = HandleApiRequest(entry.context, Booking(key));
    CHECK(repeat.status == 201);
    CHECK(OutcomeOf(repeat) == "done");
    CHECK(ErrorOf(repeat).value("code", "") == "answer_not_stored");
  }
  // Guards against two callers with one key both being told to run it.
  SUBCASE("in progress is waited for") {
    TestService silent(Fault::kSilent);
    entry.AddService("silent", silent.Address());
    std::thread first([&] { HandleApiRequest(entry.context, Booking(key, 800)); });
    while (silent.Requests() == 0) std::this_thread::sleep_for(milliseconds(2));
    const HttpResponse second = HandleApiRequest(entry.context, Booking(key, 300));
    CHECK(second.status == 409);
    CHECK(OutcomeOf(second) == "in_progress");
    first.join();
  }
}

}  // namespace
}  // namespace corneltray
