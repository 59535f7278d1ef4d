#ifndef CORNELTRAY_ENUM_NAMES_H_
#define CORNELTRAY_ENUM_NAMES_H_

#include <optional>
#include <string_view>

namespace corneltray {

// One row of a table of names: an enumerator and the text used for it in logs and on the wire.
template <class E>
struct EnumName {
  E value;
  std::string_view name;
};

// Each enumeration that reaches a log or the wire specialises this with a `kTable` array of
// EnumName<E>, one row for each enumerator.
template <class E>
struct EnumNames;

// Returns the name of an enumerator, or "invalid" for a value outside the table.
template <class E>
constexpr std::string_view NameOf(E value) {
  for (const auto& row : EnumNames<E>::kTable) {
    if (row.value == value) return row.name;
  }
  return "invalid";
}

// Returns the enumerator with this name, or nothing if the table has none.
template <class E>
constexpr std::optional<E> ParseEnum(std::string_view name) {
  for (const auto& row : EnumNames<E>::kTable) {
    if (row.name == name) return row.value;
  }
  return std::nullopt;
}

}  // namespace corneltray

#endif  // CORNELTRAY_ENUM_NAMES_H_
