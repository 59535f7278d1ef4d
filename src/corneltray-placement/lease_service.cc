#include "lease_service.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <fstream>
#include <nlohmann/json.hpp>
#include <random>
#include <sstream>
#include <utility>

#include "corneltray/log.h"

namespace corneltray {
namespace {

using nlohmann::json;

std::error_code LastError() { return {errno, std::generic_category()}; }

// Writes and syncs one file. Returns false with errno set on failure.
bool WriteSynced(const std::string& path, const std::string& text) {
  const int file = ::open(path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
  if (file < 0) return false;
  const bool written = ::write(file, text.data(), text.size()) == static_cast<ssize_t>(text.size());
  const bool synced = written && ::fsync(file) == 0;
  const int error = errno;
  ::close(file);
  errno = error;
  return synced;
}

bool SyncFolder(const std::string& path) {
  const int folder = ::open(path.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (folder < 0) return false;
  const bool synced = ::fsync(folder) == 0;
  ::close(folder);
  return synced;
}

}  // namespace

LeaseService::LeaseService(const HostSettings& settings, std::uint64_t incarnation, PeerNode* node)
    : m_settings(settings),
      m_votes(std::find(settings.lease_voters.begin(), settings.lease_voters.end(),
                        settings.name) != settings.lease_voters.end()),
      m_node(node),
      m_candidate({settings.name + "/" + std::to_string(incarnation), settings.lease_voters,
                   std::random_device{}()},
                  Clock::now()) {}

std::string LeaseService::StatePath() const { return m_settings.data_folder + "/placement-lease"; }

Status LeaseService::Register() {
  if (m_votes) {
    std::optional<LeaseVoterState> recovered;
    if (!m_settings.data_folder.empty()) {
      std::ifstream file(StatePath());
      if (file) {
        std::stringstream text;
        text << file.rdbuf();
        recovered = DecodeLeaseVoterState(text.str());
        // Without its state the voter behaves as one without a disk, which is safe.
        if (!recovered) {
          LogEvent(LogLevel::kWarning, "lease_state_damaged", {{"file", StatePath()}});
        }
      } else if (!SyncFolder(m_settings.data_folder)) {
        return Error{LastError(), m_settings.data_folder};
      }
    }
    m_voter.emplace(Clock::now(), std::move(recovered));
    m_node->SetRequestHandler(
        MessageType::kLeaseRequest,
        [this](const PeerIdentity& from, const json& body, const PeerNode::Responder& respond) {
          const auto request = LeaseRequestFromJson(body);
          if (!request || from.availability_zone != m_settings.availability_zone) {
            respond(Error{make_error_code(PeerErrc::kRefused), "lease request"});
            return;
          }
          const json reply = Vote(*request);
          if (reply.is_null()) {
            respond(Error{make_error_code(PeerErrc::kRefused), "lease state not written"});
          } else {
            respond(reply);
          }
        });
    m_node->SetPushHandler(
        MessageType::kLeaseRelease, [this](const PeerIdentity& from, const json& body) {
          const auto release = LeaseReleaseFromJson(body);
          if (!release || from.availability_zone != m_settings.availability_zone) {
            return;
          }
          const std::lock_guard<std::mutex> lock(m_mutex);
          // A release that is lost costs the rest of the lease and nothing else,
          // so a write that fails here is not reported further.
          const auto state = m_voter->OnRelease(*release);
          if (state) {
            (void)Persist(*state);
          }
        });
  }
  return {};
}

Status LeaseService::Persist(const LeaseVoterState& state) const {
  if (m_settings.data_folder.empty()) return {};
  const std::string next = StatePath() + ".next";
  if (!WriteSynced(next, EncodeLeaseVoterState(state)) ||
      std::rename(next.c_str(), StatePath().c_str()) != 0 || !SyncFolder(m_settings.data_folder)) {
    const Error error{LastError(), StatePath()};
    LogEvent(LogLevel::kError, "lease_state_not_written", {{"error", error.ToString()}});
    return error;
  }
  return {};
}

// Returns the reply, or null if the grant could not be written, in which case it does not count.
json LeaseService::Vote(const LeaseRequest& request) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  const LeaseVoter::Outcome outcome = m_voter->OnRequest(Clock::now(), request);
  if (outcome.persist && !Persist(*outcome.persist)) return nullptr;
  return LeaseReplyToJson(outcome.reply);
}

void LeaseService::Tick() {
  std::vector<LeaseAction> actions;
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_candidate.Tick(Clock::now(), UnixNow());
    actions = m_candidate.TakeActions();
  }
  Execute(std::move(actions));
}

void LeaseService::Execute(std::vector<LeaseAction> actions) {
  for (LeaseAction& action : actions) {
    if (const auto* send = std::get_if<SendLeaseRequest>(&action)) {
      const std::string voter = send->voter;
      if (voter == m_settings.name) {
        const json reply = Vote(send->request);
        if (!reply.is_null()) HandleReply(voter, reply);
        continue;
      }
      m_node->Request(voter, MessageType::kLeaseRequest, LeaseRequestToJson(send->request),
                      Clock::now() + kLeaseRoundTimeout,
                      [this, voter](const Result<json>& reply) { HandleReply(voter, reply); });
    } else if (const auto* release = std::get_if<SendLeaseRelease>(&action)) {
      if (release->voter == m_settings.name) {
        const std::lock_guard<std::mutex> lock(m_mutex);
        const auto state = m_voter->OnRelease(release->release);
        if (state) {
          (void)Persist(*state);
        }
      } else {
        m_node->Send(release->voter, MessageType::kLeaseRelease,
                     LeaseReleaseToJson(release->release));
      }
    } else if (const auto* acquired = std::get_if<LeaseAcquired>(&action)) {
      LogEvent(LogLevel::kInfo, "lease_acquired", {{"fence", acquired->fence}});
    } else if (const auto* lost = std::get_if<LeaseLost>(&action)) {
      LogEvent(LogLevel::kInfo, "lease_lost", {{"fence", lost->fence}});
    }
  }
}

void LeaseService::HandleReply(const std::string& voter, const Result<json>& reply) {
  if (!reply) return;
  const auto decoded = LeaseReplyFromJson(reply.value());
  if (!decoded) return;
  std::vector<LeaseAction> actions;
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_candidate.OnReply(Clock::now(), voter, *decoded);
    actions = m_candidate.TakeActions();
  }
  Execute(std::move(actions));
}

std::optional<std::uint64_t> LeaseService::Fence() const {
  const std::lock_guard<std::mutex> lock(m_mutex);
  return m_candidate.Fence(Clock::now());
}

void LeaseService::ObserveFence(std::uint64_t fence) {
  std::vector<LeaseAction> actions;
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    const TimePoint now = Clock::now();
    m_candidate.ObserveFence(fence);
    const auto own = m_candidate.Fence(now);
    if (!m_released && own && *own < fence) {
      m_candidate.Release(now);
      m_candidate.Resume(now);
    }
    actions = m_candidate.TakeActions();
  }
  Execute(std::move(actions));
}

void LeaseService::Release() {
  std::vector<LeaseAction> actions;
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_released = true;
    m_candidate.Release(Clock::now());
    actions = m_candidate.TakeActions();
  }
  Execute(std::move(actions));
}

}  // namespace corneltray
