#include "corneltray/configuration_feed.h"

#include <chrono>
#include <mutex>
#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

#include "corneltray/control_client.h"
#include "corneltray/log.h"
#include "corneltray/peer.h"

namespace corneltray {
namespace {

using nlohmann::json;

// How often a process that is behind asks again.
constexpr std::chrono::milliseconds kCatchUpInterval{200};
// How often one that is up to date asks, in case a push and the gossip were both lost. About 100
// bytes each.
constexpr std::chrono::seconds kRefreshInterval{5};
constexpr std::chrono::seconds kFetchTimeout{1};

}  // namespace

// Shared with the callbacks of the peer node, which hold it weakly.
class ConfigurationFeed::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(PeerNode* node, std::string site) : m_node(node), m_site(std::move(site)) {}

  ChangeCallback on_change;

  void Start() {
    if (m_node == nullptr) return;
    m_node->SetPushHandler(MessageType::kConfigurationChanged,
                           [weak = weak_from_this()](const PeerIdentity& from, const json& update) {
                             if (from.program != kControlProgram) return;
                             if (const auto self = weak.lock()) self->TakeUpdate(from.host, update);
                           });
    m_node->Post([weak = weak_from_this()] {
      if (const auto self = weak.lock()) self->Poll();
    });
  }

  void NoteRevision(std::uint64_t revision) {
    {
      const std::lock_guard<std::mutex> lock(m_mutex);
      if (revision <= m_floor) return;
      m_floor = revision;
      if (m_node == nullptr || revision <= m_document.revision) return;
    }
    m_node->Post([weak = weak_from_this()] {
      if (const auto self = weak.lock()) self->FetchFromNext();
    });
  }

  bool Activate(const RevisedDocument& offered) {
    std::shared_ptr<const Configuration> configuration;
    {
      const std::lock_guard<std::mutex> lock(m_mutex);
      m_floor = std::max(m_floor, offered.revision);
      if (offered.revision <= m_document.revision || offered.revision <= m_refused) return false;
    }
    const ParsedDocument parsed = ParseConfiguration(offered.document, m_site);
    if (!parsed.issues.empty()) {
      const std::lock_guard<std::mutex> lock(m_mutex);
      m_refused = offered.revision;
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
    return m_floor;
  }
  bool Ready() const {
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_current != nullptr && m_document.revision >= m_floor;
  }

 private:
  std::vector<std::string> ControlHosts() const {
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

  // Runs on the I/O thread. A process that is behind asks every control process, because some may
  // be behind themselves; one that is up to date asks one of them.
  void Poll() {
    const bool ready = Ready();
    const TimePoint now = Clock::now();
    if (Current() == nullptr) {
      FetchFirst();
    } else if (!ready) {
      for (const std::string& host : ControlHosts()) Fetch(host, false);
    } else if (now >= m_next_refresh) {
      m_next_refresh = now + kRefreshInterval;
      FetchFromNext();
    }
    m_node->RunAt(now + kCatchUpInterval, [weak = weak_from_this()] {
      if (const auto self = weak.lock()) self->Poll();
    });
  }

  // The first configuration is the greatest of all control processes in reach: one that is behind
  // itself must not decide what a restarted process serves.
  void FetchFirst() {
    if (m_first_open > 0) return;
    const std::vector<std::string> hosts = ControlHosts();
    m_first_open = hosts.size();
    for (const std::string& host : hosts) {
      m_node->Request(host, MessageType::kConfigurationFetch, FetchBody(0),
                      Clock::now() + kFetchTimeout,
                      [weak = weak_from_this()](const Result<json>& reply) {
                        if (const auto self = weak.lock()) self->TakeFirst(reply);
                      });
    }
  }

  void TakeFirst(const Result<json>& reply) {
    if (reply && reply.value().is_object() && reply.value().contains("document")) {
      const auto document = ApplyConfigurationUpdate({}, reply.value());
      if (document && document.value().revision > m_first.revision) m_first = document.value();
    }
    if (--m_first_open > 0 || m_first.revision == 0) return;
    Activate(m_first);
  }

  void FetchFromNext() {
    const std::vector<std::string> hosts = ControlHosts();
    if (!hosts.empty()) Fetch(hosts[m_next_host++ % hosts.size()], false);
  }

  void Fetch(const std::string& host, bool whole) {
    const json body = FetchBody(whole ? 0 : Document().revision);
    m_node->Request(host, MessageType::kConfigurationFetch, body, Clock::now() + kFetchTimeout,
                    [weak = weak_from_this(), host, whole](const Result<json>& reply) {
                      const auto self = weak.lock();
                      if (self && reply.Ok()) self->TakeReply(host, reply.value(), whole);
                    });
  }

  void TakeReply(const std::string& host, const json& reply, bool whole) {
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

  void TakeUpdate(const std::string& host, const json& update) {
    const std::uint64_t revision = update.at("revision");
    const RevisedDocument current = Document();
    if (revision <= current.revision) return;
    const auto updated = ApplyConfigurationUpdate(current, update);
    if (updated) {
      Activate(updated.value());
      return;
    }
    // An earlier push was missed. The control process that pushed has the revision.
    {
      const std::lock_guard<std::mutex> lock(m_mutex);
      m_floor = std::max(m_floor, revision);
    }
    Fetch(host, false);
  }

  PeerNode* m_node;
  std::string m_site;
  TimePoint m_next_refresh;      // I/O thread only
  std::size_t m_next_host = 0;   // I/O thread only
  std::size_t m_first_open = 0;  // I/O thread only: requests of FetchFirst without a reply
  RevisedDocument m_first;       // I/O thread only: greatest reply to them

  mutable std::mutex m_mutex;  // guards the members below
  RevisedDocument m_document;
  std::shared_ptr<const Configuration> m_current;
  std::uint64_t m_floor = 0;
  std::uint64_t m_refused = 0;  // greatest revision that is invalid for this site
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
