#include "corneltray/dialect.h"

#include "corneltray/compression.h"

namespace corneltray {

Result<RouteTable> ReadCompressedRouteTable(const Dialect& dialect, const std::string& bytes) {
  const auto text = Decompress(bytes, kMaxRouteTableBytes);
  if (!text) return text.error();
  return dialect.ReadRouteTable(text.value());
}

}  // namespace corneltray
