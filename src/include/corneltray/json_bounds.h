#ifndef CORNELTRAY_JSON_BOUNDS_H_
#define CORNELTRAY_JSON_BOUNDS_H_

#include <cstddef>
#include <string_view>

namespace corneltray {

// Values that a parsed document may have. A value of three bytes of text takes about thirty times
// as much when it is parsed, so the length of a text does not bound its memory.
constexpr std::size_t kMaxAnnouncementValues = std::size_t{64} * 1024;
constexpr std::size_t kMaxRouteTableValues = std::size_t{512} * 1024;

// Returns an upper bound of the number of values in a JSON text, without parsing it: its separators
// and brackets, also those inside strings.
std::size_t JsonValueBound(std::string_view text);

}  // namespace corneltray

#endif  // CORNELTRAY_JSON_BOUNDS_H_
