#ifndef CORNELTRAY_PEER_OPTIONS_TEST_H_
#define CORNELTRAY_PEER_OPTIONS_TEST_H_

#include <string>

#include "corneltray/peer.h"

namespace corneltray {

// Returns options for a process in a test that listens on a free port.
inline PeerOptions TestPeerOptions(const std::string& host, const std::string& program) {
  PeerOptions options;
  options.identity = {host, program, "dkr", "dkr-a", 1};
  options.listen_address = "127.0.0.1:0";
  options.shared_key = "0123456789abcdef";
  return options;
}

}  // namespace corneltray

#endif  // CORNELTRAY_PEER_OPTIONS_TEST_H_
