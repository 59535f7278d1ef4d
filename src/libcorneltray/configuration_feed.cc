#include "corneltray/configuration_feed.h"

#include <chrono>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "corneltray/control_client.h"
#include "corneltray/log.h"
#include "corneltray/peer.h"

namespace corneltray {
namespace {

using nlohmann::json;

// Fetch interval of a process whose configuration is behind.
constexpr std::chrono::milliseconds kCatchUpInterval{200};
// Fetch interval of an up-to-date process, in case a push and the gossip were both lost. Each fetch
// takes about 100 bytes.
constexpr std::chrono::seconds kRefreshInterval{5};
constexpr std::chrono::seconds kFetchTimeout{1};

}  // namespace

// Callbacks of the peer node hold weak references to this object.
class ConfigurationFeed::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(PeerNode* node, std::string site) : m_node(node), m_site(std::move(site)) {}

  ChangeCallback on_change;

  void Start() {
    if (m_node == nullptr) return;
    m_node->SetPushHandler(MessageType::kConfigurationChanged,
                           [weak = weak_from_this()](const PeerIdentity& from, const json& update) {
                             if (from.program != kControlProgram) return;
                             if (const auto self = weak.lock()) self->OnPush(from.host, update);
                           });
    m_node->Post([weak = weak_from_this()] {
      if (const auto self = weak.lock()) self->Poll();
    });
  }

  void NoteRevision(std::uint64_t revision) {
    {
      const std::lock_guard<std::mutex> lock(m_mutex);
      if (revision <= m_required_revision) return;
      m_required_revision = revision;
      if (m_node == nullptr || revision <= m_document.revision) return;
    }
    m_node->Post([weak = weak_from_this()] {
      if (const auto self = weak.lock()) self->FetchFromNextHost();
    });
  }

  bool Activate(const RevisedDocument& offered) {
    std::shared_ptr<const Configuration> configuration;
    {
      const std::lock_guard<std::mutex> lock(m_mutex);
      m_required_revision = std::max(m_required_revision, offered.revision);
      if (offered.revision <= m_document.revision || offered.revision <= m_rejected) return false;
    }
    const ParsedDocument parsed = ParseConfiguration(offered.document, m_site);
    if (!parsed.issues.empty()) {
      const std::lock_guard<std::mutex> lock(m_mutex);
      m_rejected = offered.revision;
      LogEvent(LogLevel::kError, "configuration_refused",
               {{"revision", offered.revision}, {"issue", parsed.issues.front().ToString()}});
      return false;
    }
    configuration = std::make_shared<const Configuration>(
        MakeConfiguration(parsed.values, m_site, offered.revision));
    {
      const std::lock_guard<std::mutex> lock(m_mutex);
      if (offered.revision <= m_document.revision) return false;
      m_document = offered;
      m_current = configuration;
    }
    LogEvent(LogLevel::kInfo, "configuration_in_force", {{"revision", offered.revision}});
    if (on_change) on_change(configuration);
    return true;
  }

  std::shared_ptr<const Configuration> Current() const {
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_current;
  }
  RevisedDocument Document() const {
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_document;
  }
  std::uint64_t RequiredRevision() const {
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_required_revision;
  }
  bool Ready() const {
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_current != nullptr && m_document.revision >= m_required_revision;
  }

 private:
  std::vector<std::string> ConnectedControlHosts() const {
    std::vector<std::string> hosts;
    for (const PeerStatus& peer : m_node->Peers()) {
      if (peer.connected && peer.identity.program == kControlProgram) {
        hosts.push_back(peer.identity.host);
      }
    }
    return hosts;
  }

  static json FetchBody(std::uint64_t have) {
    const std::chrono::milliseconds timeout = kFetchTimeout;
    return {{"have", have}, {"timeout_ms", timeout.count()}};
  }

  // Runs on the I/O thread. A process that is behind asks every control process, because some of
  // them may be behind as well; an up-to-date one asks a single control process.
  void Poll() {
    const bool ready = Ready();
    const TimePoint now = Clock::now();
    if (Current() == nullptr) {
      FetchInitial();
    } else if (!ready) {
      for (const std::string& host : ConnectedControlHosts()) Fetch(host, false);
    } else if (now >= m_next_refresh) {
      m_next_refresh = now + kRefreshInterval;
      FetchFromNextHost();
    }
    m_node->RunAt(now + kCatchUpInterval, [weak = weak_from_this()] {
      if (const auto self = weak.lock()) self->Poll();
    });
  }

  // Fetches the first configuration from all connected control processes and uses the highest
  // revision, so that a control process that is behind does not determine what a restarted process
  // serves.
  void FetchInitial() {
    if (m_pending_initial_fetches > 0) return;
    const std::vector<std::string> hosts = ConnectedControlHosts();
    m_pending_initial_fetches = hosts.size();
    for (const std::string& host : hosts) {
      m_node->Request(host, MessageType::kConfigurationFetch, FetchBody(0),
                      Clock::now() + kFetchTimeout,
                      [weak = weak_from_this()](const Result<json>& reply) {
                        if (const auto self = weak.lock()) self->OnInitialReply(reply);
                      });
    }
  }

  void OnInitialReply(const Result<json>& reply) {
    if (reply && reply.value().is_object() && reply.value().contains("document")) {
      const auto document = ApplyConfigurationUpdate({}, reply.value());
      if (document && document.value().revision > m_highest.revision) m_highest = document.value();
    }
    if (--m_pending_initial_fetches > 0 || m_highest.revision == 0) return;
    Activate(m_highest);
  }

  void FetchFromNextHost() {
    const std::vector<std::string> hosts = ConnectedControlHosts();
    if (!hosts.empty()) Fetch(hosts[m_next_host++ % hosts.size()], false);
  }

  // A control process that has not answered the last fetch yet is not asked again: it would get
  // several fetches for each timeout while it is busy.
  void Fetch(const std::string& host, bool whole) {
    if (!m_fetched_hosts.insert(host).second) return;
    const json body = FetchBody(whole ? 0 : Document().revision);
    m_node->Request(host, MessageType::kConfigurationFetch, body, Clock::now() + kFetchTimeout,
                    [weak = weak_from_this(), host, whole](const Result<json>& reply) {
                      const auto self = weak.lock();
                      if (!self) return;
                      self->m_fetched_hosts.erase(host);
                      if (reply.Ok()) self->OnFetchReply(host, reply.value(), whole);
                    });
  }

  void OnFetchReply(const std::string& host, const json& reply, bool whole) {
    if (!reply.is_object() || reply.value("unchanged", false)) return;
    const std::uint64_t revision = reply.value("revision", std::uint64_t{0});
    const RevisedDocument current = Document();
    if (revision <= current.revision) return;
    const auto updated = ApplyConfigurationUpdate(current, reply);
    if (updated) {
      Activate(updated.value());
    } else if (!whole) {
      LogEvent(LogLevel::kWarning, "configuration_difference_refused",
               {{"from_host", host}, {"error", updated.error().ToString()}});
      Fetch(host, true);
    }
  }

  void OnPush(const std::string& host, const json& update) {
    const std::uint64_t revision = update.at("revision");
    const RevisedDocument current = Document();
    if (revision <= current.revision) return;
    const auto updated = ApplyConfigurationUpdate(current, update);
    if (updated) {
      Activate(updated.value());
      return;
    }
    // An earlier push was lost. The control process that sent this one has the revision.
    {
      const std::lock_guard<std::mutex> lock(m_mutex);
      m_required_revision = std::max(m_required_revision, revision);
    }
    Fetch(host, false);
  }

  PeerNode* m_node;
  std::string m_site;
  TimePoint m_next_refresh;                   // I/O thread only
  std::size_t m_next_host = 0;                // I/O thread only
  std::size_t m_pending_initial_fetches = 0;  // I/O thread only: pending requests of FetchInitial
  RevisedDocument m_highest;                  // I/O thread only: reply with the highest revision
  std::set<std::string> m_fetched_hosts;      // I/O thread only: have not answered yet

  mutable std::mutex m_mutex;  // guards the members below
  RevisedDocument m_document;
  std::shared_ptr<const Configuration> m_current;
  std::uint64_t m_required_revision = 0;
  std::uint64_t m_rejected = 0;  // highest revision rejected as invalid for this site
};

ConfigurationFeed::ConfigurationFeed(PeerNode* node, std::string site)
    : m_impl(std::make_shared<Impl>(node, std::move(site))) {}
ConfigurationFeed::~ConfigurationFeed() = default;

void ConfigurationFeed::Start() { m_impl->Start(); }
void ConfigurationFeed::SetChangeCallback(ChangeCallback callback) {
  m_impl->on_change = std::move(callback);
}
void ConfigurationFeed::NoteRevision(std::uint64_t revision) { m_impl->NoteRevision(revision); }
bool ConfigurationFeed::Activate(const RevisedDocument& document) {
  return m_impl->Activate(document);
}
std::shared_ptr<const Configuration> ConfigurationFeed::Current() const {
  return m_impl->Current();
}
RevisedDocument ConfigurationFeed::Document() const { return m_impl->Document(); }
std::uint64_t ConfigurationFeed::RequiredRevision() const { return m_impl->RequiredRevision(); }
bool ConfigurationFeed::Ready() const { return m_impl->Ready(); }

}  // namespace corneltray
