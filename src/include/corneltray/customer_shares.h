#ifndef CORNELTRAY_CUSTOMER_SHARES_H_
#define CORNELTRAY_CUSTOMER_SHARES_H_

#include <map>
#include <string>

#include "corneltray/time.h"

namespace corneltray {

// Max-min shares of the customers of a service at one host, over the tokens of the last seconds. A
// customer that asks for less than the fair share gets all it asks for; the others share the rest
// evenly, however many connections or retries they make. Shares bind only while there is not enough
// for all, so an idle share is used by others. Each host divides what it sends by itself: callers
// are spread over the hosts, so that the sum over a zone comes close to max-min over the zone.
// Shares of recent seconds are used rather than rounds over the waiting customers, because a host
// with a few requests a second seldom has two customers waiting at once. Not thread safe.
class CustomerShares {
 public:
  // A request of a customer arrived, or was sent to the engines.
  void RecordOffered(TimePoint now, const std::string& customer, double tokens);
  void RecordSent(TimePoint now, const std::string& customer, double tokens);

  // Tokens that a customer got, over those that it is entitled to. Among waiting customers the
  // lowest one is next.
  double UsedShare(const std::string& customer) const;
  // Whether a customer got more than its share by over `tolerance` tokens.
  bool IsOverShare(const std::string& customer, double tolerance) const;

 private:
  struct Usage {
    double offered = 0.0;  // tokens, decayed to m_decayed_at
    double sent = 0.0;
  };

  void Decay(TimePoint now);
  // Recomputes the fair share, the greatest amount that no customer exceeds when all that was sent
  // is divided by max-min.
  void UpdateFairShare() const;
  double EntitledTokens(const Usage& usage) const;

  std::map<std::string, Usage> m_usage;  // by customer
  TimePoint m_decayed_at{};
  mutable bool m_is_current = false;  // m_fair_share and m_sent_ratio
  mutable double m_fair_share = 0.0;
  mutable double m_sent_ratio = 1.0;  // tokens sent over tokens offered, of all customers
};

}  // namespace corneltray

#endif  // CORNELTRAY_CUSTOMER_SHARES_H_
