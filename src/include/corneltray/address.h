#ifndef CORNELTRAY_ADDRESS_H_
#define CORNELTRAY_ADDRESS_H_

#include <string>

namespace corneltray {

// The parts of an address IP:PORT. Without a colon the whole text is the IP and the port is empty.
inline std::string IpOf(const std::string& address) {
  return address.substr(0, address.rfind(':'));
}
inline std::string PortOf(const std::string& address) {
  const std::size_t colon = address.rfind(':');
  return colon == std::string::npos ? "" : address.substr(colon + 1);
}

}  // namespace corneltray

#endif  // CORNELTRAY_ADDRESS_H_
