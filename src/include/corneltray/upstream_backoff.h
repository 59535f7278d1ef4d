#ifndef CORNELTRAY_UPSTREAM_BACKOFF_H_
#define CORNELTRAY_UPSTREAM_BACKOFF_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "corneltray/time.h"
#include "corneltray/upstream_table.h"

namespace corneltray {

// Upstreams that asked this host, in their responses, to send them no more requests. A request of
// an upstream holds for its current incarnation. Unlike the UpstreamTable, this is not exchanged
// between processes. Not thread safe.
class UpstreamBackoff {
 public:
  // The upstream is shutting down: it gets no more requests in this incarnation. Returns false if
  // that was known.
  bool MarkLeaving(const std::string& upstream, std::uint64_t incarnation);

  // Adds the addresses of the upstreams that must not get a request now.
  void AddBlocked(const UpstreamTable& upstreams, std::set<std::string>* addresses) const;

  // Removes the entries of upstreams that have left the table or have started again.
  void RemoveObsolete(const UpstreamTable& upstreams);

 private:
  struct Entry {
    std::uint64_t incarnation = 0;
  };

  std::map<std::string, Entry> m_entries;  // by upstream name
};

}  // namespace corneltray

#endif  // CORNELTRAY_UPSTREAM_BACKOFF_H_
