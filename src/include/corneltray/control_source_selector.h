#ifndef CORNELTRAY_CONTROL_SOURCE_SELECTOR_H_
#define CORNELTRAY_CONTROL_SOURCE_SELECTOR_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "corneltray/enum_names.h"
#include "corneltray/time.h"

namespace corneltray {

// Links that a host keeps to control processes: one to the source that it follows and one to take
// over without a new handshake. More would cost every control process a link to every host.
constexpr std::size_t kControlLinksPerHost = 2;
// A control process whose link does not come up within this time is not waited for, and one more is
// connected.
constexpr std::chrono::milliseconds kLinkUpTimeout{1000};
// A source that has sent nothing for this long is left. Sources send at least once per
// kHostRefreshInterval.
constexpr std::chrono::milliseconds kSourceSilenceTimeout{1600};
// A source that has confirmed no read of the log for this long, while another control process has,
// is left: it may be cut off from the other control processes. A confirmation is due every
// kConfirmInterval, so the host has a sound source within 3 s of the cut, as
// kUnconfirmedLinksTimeout explains.
constexpr std::chrono::milliseconds kUnconfirmedSourceTimeout{2000};
// A host to which no control process has confirmed a read for this long links a further one: those
// that it is linked to may be cut off together. Two confirmations are due in this time. With
// kLinkSpread and the timeout of a fetch, the host gets a confirmation within 3 s of such a cut,
// the shortest time after which a host counts as in touch.
constexpr std::chrono::milliseconds kUnconfirmedLinksTimeout{1200};
// Hosts link a further control process spread over this time, so that the control processes do not
// get all handshakes of a region at once when an election is slow.
constexpr std::chrono::milliseconds kLinkSpread{400};
// Pause before the next further link, doubled with each.
constexpr std::chrono::milliseconds kFurtherLinkPause{1000};
// A control process that has been cut off for this long counts as no link. One late answer of a
// busy control process, which the next probe makes up for, does not cost another link.
constexpr std::chrono::milliseconds kCutOffLinkDelay{1000};
// How often a linked control process that is cut off is asked for a read, to detect when the cut
// has healed.
constexpr std::chrono::milliseconds kCutOffProbeInterval{2000};
// Pause before a control process that failed is followed again, doubled with each failure up to the
// maximum. Without it, hosts that leave a busy control process would return and overload it again.
constexpr std::chrono::seconds kMinSourceCooldown{4};
constexpr std::chrono::seconds kMaxSourceCooldown{32};
// A better source, such as one in the own zone that has come back, is followed once it has been
// linked for this long.
constexpr std::chrono::seconds kSourceReturnDelay{5};

// Why a source is left.
enum class SourceFailure { kSilent, kUnconfirmed };

template <>
struct EnumNames<SourceFailure> {
  static constexpr EnumName<SourceFailure> kTable[] = {
      {SourceFailure::kSilent, "silent"},
      {SourceFailure::kUnconfirmed, "unconfirmed"},
  };
};

// A control process that a host may connect to.
struct ControlHost {
  std::string address;            // peer address IP:PORT
  std::string availability_zone;  // empty if not known yet
};

// A control process that a host is linked to.
struct LinkedControlHost {
  std::string host;
  std::string address;
  std::string availability_zone;
};

// Decides which control processes an entry host is linked to, and which of them it follows. Hosts
// prefer their own availability zone and are spread over its control processes, and over the others
// when one fails, by a hash of both names. Not thread safe.
class ControlSourceSelector {
 public:
  ControlSourceSelector(const std::string& host, const std::string& availability_zone)
      : m_host(host), m_availability_zone(availability_zone) {}

  // Replaces the control processes that the host may connect to.
  void SetCandidates(const std::vector<ControlHost>& candidates);
  // Reports all links to control processes. Called several times per second.
  void SetLinked(TimePoint now, const std::vector<LinkedControlHost>& linked);

  // Returns how many usable links the host needs: more than kControlLinksPerHost while no control
  // process confirms reads.
  std::size_t NeededLinks(TimePoint now) const;
  // Returns the addresses that the host keeps links to: as many of the best candidates as needed
  // for NeededLinks() usable links, or all candidates if there is no link at all. Links to control
  // processes that are cut off are kept, since probes over them show when they are back.
  std::set<std::string> WantedAddresses(TimePoint now);

  // Returns the control process to follow, or nullopt if none is linked.
  std::optional<std::string> Choose(TimePoint now) const;
  // The host follows this control process from now on.
  void OnFollowed(TimePoint now, const std::string& host);
  // The source that is followed; empty if there is none.
  const std::string& Source() const { return m_source; }

  // The source has sent a message.
  void OnHeard(TimePoint now) { m_heard_at = now; }
  // A control process has confirmed a read of the log.
  void OnConfirmed(TimePoint now, const std::string& host);
  // A control process has not confirmed a read of the log before its deadline, or has refused it.
  void OnReadFailed(TimePoint now, const std::string& host);
  // Returns whether a read failed at this control process since it last confirmed one, and another
  // one has confirmed a read since that failure.
  bool IsCutOff(const std::string& host) const;
  // Returns a linked control process that is cut off and due to be asked for a read, if there is
  // one, and counts it as asked.
  std::optional<std::string> NextProbe(TimePoint now);
  void OnFetchFailed(TimePoint now, const std::string& host) { RecordFailure(now, host); }
  // Returns why the source has to be left, if it has to, and records its failure.
  std::optional<SourceFailure> CheckSource(TimePoint now);

 private:
  struct Link {
    std::string address;
    std::string availability_zone;
    TimePoint usable_since;  // it is up, or has confirmed a read again, since then
  };
  struct FailedReads {
    TimePoint first_at;  // since the last confirmed read
    TimePoint next_probe_at;
  };
  struct Failures {
    TimePoint cooldown_until;
    std::uint32_t count = 0;
  };

  // Whether the link is unusable, whether the zone is another one, spread, address.
  using CandidateRank = std::tuple<bool, bool, std::uint64_t, std::string>;
  // Returns all candidates, the best one first.
  std::vector<CandidateRank> RankCandidates(TimePoint now) const;
  bool IsInCooldown(TimePoint now, const std::string& host) const;
  // Returns whether a link to this control process is of no use at present.
  bool IsLinkUnusable(TimePoint now, const std::string& host) const;
  void RecordFailure(TimePoint now, const std::string& host);
  // Adds the address of the link to this host, if there is one.
  void KeepLink(const std::string& host, std::set<std::string>* wanted) const;
  std::uint64_t SpreadOf(const std::string& address) const;
  // Host of the last link to this address; empty if there was none.
  std::string HostAt(const std::string& address) const;
  bool IsLinked(const std::string& host) const { return m_links.count(host) > 0; }
  std::optional<SourceFailure> FailureOfSource(TimePoint now) const;

  std::string m_host;
  std::string m_availability_zone;
  std::map<std::string, std::string> m_candidates;    // availability zone by address
  std::map<std::string, TimePoint> m_wanted_since;    // by address without a link
  std::map<std::string, Link> m_links;                // by host
  std::map<std::string, std::string> m_host_at;       // by address, kept without a link
  std::map<std::string, Failures> m_failures;         // by host
  std::map<std::string, TimePoint> m_confirmed_at;    // by host
  std::map<std::string, FailedReads> m_failed_reads;  // by host
  std::string m_last_confirmed_by;
  TimePoint m_last_confirmed_at{};
  TimePoint m_linked_since{};
  std::string m_source;
  TimePoint m_followed_at{};
  TimePoint m_heard_at{};
};

}  // namespace corneltray

#endif  // CORNELTRAY_CONTROL_SOURCE_SELECTOR_H_
