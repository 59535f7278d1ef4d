#ifndef CORNELTRAY_FAKE_COMMON_STAND_IN_H_
#define CORNELTRAY_FAKE_COMMON_STAND_IN_H_

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

// Parts that the stand-ins of the platform share: an HTTP server that can freeze or go silent, an
// HTTP client and the announcement loop. Test code; not linked into the product.
namespace corneltray::fake {

struct HttpRequest {
  std::string method;
  std::string path;
  std::vector<std::string> captures;           // groups of the route's pattern
  std::map<std::string, std::string> headers;  // names in lower case
  std::map<std::string, std::string> query;
  std::string body;
};

// One side of an answer that is sent in pieces.
class StreamSink {
 public:
  virtual ~StreamSink() = default;
  // Sends a piece. Returns false when the client has gone.
  virtual bool Write(std::string_view bytes) = 0;
  // Returns false once the client has closed the connection.
  virtual bool IsOpen() = 0;
};

struct HttpReply {
  int status = 200;
  std::string body;
  std::string content_type = "application/json";
  std::function<void(StreamSink&)> stream;  // used instead of `body` when set
};

// Returns a reply with a JSON body.
HttpReply JsonReply(int status, const nlohmann::json& body);
// Returns {"error":{"code","message"}} with the given status.
HttpReply ErrorReply(int status, const std::string& code, const std::string& message);
// Parses an object. Returns nothing for any other text.
std::optional<nlohmann::json> ParseObject(const std::string& text);

// HTTP server with one thread for each connection, so that frozen connections never use up a pool.
// Thread-safe.
class StandInServer {
 public:
  using Handler = std::function<HttpReply(const HttpRequest&)>;

  StandInServer();
  ~StandInServer();
  StandInServer(const StandInServer&) = delete;
  StandInServer& operator=(const StandInServer&) = delete;

  // Adds a route; `pattern` is a regular expression. Paths below /fake/ are never held by a fault.
  void Route(const std::string& method, const std::string& pattern, Handler handler);

  // Binds IP:PORT (port 0 picks a free one) and serves on an own thread. Returns the bound address,
  // or nothing when the address cannot be bound.
  std::optional<std::string> Start(const std::string& address);

  // Stops listening. Open connections stay.
  void RefuseConnections();
  // While frozen, requests and streams wait; connections stay open and new ones are accepted.
  void SetFrozen(bool frozen);
  // Every connection that is open now never gets another byte; later ones work.
  void SilenceOpenConnections();

  // Blocks while the server is frozen, or until `is_cancelled` returns true.
  void WaitWhileFrozen(const std::function<bool()>& is_cancelled);

  // Runs a function when the connection of the calling handler closes. Only for use in a handler.
  static void AtConnectionEnd(std::function<void()> function);

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

// A kept-alive connection to one address. Calls of several threads run one after the other.
class HttpConnection {
 public:
  HttpConnection(const std::string& address, std::chrono::milliseconds timeout);
  ~HttpConnection();
  HttpConnection(const HttpConnection&) = delete;
  HttpConnection& operator=(const HttpConnection&) = delete;

  // Returns nothing unless a complete answer arrived.
  std::optional<HttpReply> Post(const std::string& path, const nlohmann::json& body);
  std::optional<HttpReply> Get(const std::string& path);
  // Ends the call in progress and makes all later ones fail. May be called from any thread.
  void Abort();

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

// Sends the announcement every interval, rotating over the targets that the replies name.
class Announcer {
 public:
  // `make` returns the announcement with "sequence" unset; it is called on the announcer's thread.
  Announcer(std::vector<std::string> targets, std::function<nlohmann::json()> make);
  ~Announcer();
  Announcer(const Announcer&) = delete;
  Announcer& operator=(const Announcer&) = delete;

  void Start();
  // Sends the next announcement now.
  void Kick();
  void SetStopped(bool stopped);
  std::uint64_t Sent() const { return m_sent; }

 private:
  void Run();
  // Returns whether some target took the announcement.
  bool AnnounceOnce(const nlohmann::json& body);

  const std::vector<std::string> m_initial_targets;
  std::vector<std::string> m_targets;
  std::function<nlohmann::json()> m_make;
  std::size_t m_next_target = 0;
  std::chrono::milliseconds m_interval{1000};
  std::mutex m_mutex;
  std::condition_variable m_changed;
  bool m_kicked = false;
  bool m_stopped = false;
  bool m_ending = false;
  std::atomic<std::uint64_t> m_sent{0};
  std::thread m_thread;
};

// Prints one JSON line on standard output.
void PrintEvent(const nlohmann::json& event);

// Blocks SIGTERM and SIGINT. Called first in main, so that every thread inherits the mask.
void BlockStopSignals();
// Waits for SIGTERM or SIGINT, prints {"event":"stopped","counts":...} and ends the process with 0.
[[noreturn]] void WaitForStopSignal(const std::function<nlohmann::json()>& counts);

// Where a stand-in listens and to whom it announces itself.
struct ServeOptions {
  std::string listen = "127.0.0.1:0";  // IP:PORT, port 0 picks a free one
  std::string advertise;               // IP:PORT to announce; empty: the bound address
  std::vector<std::string> targets;    // IP:PORT of processes that take announcements
};

// Starts the server and the announcements, and serves until a stop signal. `announcement` gets the
// address to announce; `set_announcer` is called once, before the server starts. Returns 1 if the
// address cannot be bound, and otherwise does not return.
int ServeUntilStopped(StandInServer* server, const ServeOptions& options,
                      const std::function<nlohmann::json(const std::string& address)>& announcement,
                      const std::function<void(Announcer*)>& set_announcer,
                      const std::function<nlohmann::json()>& counts);

}  // namespace corneltray::fake

#endif  // CORNELTRAY_FAKE_COMMON_STAND_IN_H_
