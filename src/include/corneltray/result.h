#ifndef CORNELTRAY_RESULT_H_
#define CORNELTRAY_RESULT_H_

#include <cassert>
#include <optional>
#include <string>
#include <system_error>
#include <utility>
#include <variant>

namespace corneltray {

// An error of one layer: the code is for programs, the detail for people.
struct Error {
  std::error_code code;
  std::string detail;

  // Returns the detail followed by the message of the code.
  std::string ToString() const {
    if (detail.empty()) return code.message();
    return detail + ": " + code.message();
  }
};

// Either a value or an error. Reading the side that is not present is a programming error.
template <class T>
class [[nodiscard]] Result {
 public:
  Result(T value) : m_state(std::in_place_index<0>, std::move(value)) {}      // NOLINT
  Result(Error error) : m_state(std::in_place_index<1>, std::move(error)) {}  // NOLINT

  bool Ok() const { return m_state.index() == 0; }
  explicit operator bool() const { return Ok(); }

  const T& value() const& {
    assert(Ok());
    return std::get<0>(m_state);
  }
  T& value() & {
    assert(Ok());
    return std::get<0>(m_state);
  }
  T&& value() && {
    assert(Ok());
    return std::get<0>(std::move(m_state));
  }
  const Error& error() const {
    assert(!Ok());
    return std::get<1>(m_state);
  }

 private:
  std::variant<T, Error> m_state;
};

// The result of an operation that returns nothing: no value means success.
class [[nodiscard]] Status {
 public:
  Status() = default;
  Status(Error error) : m_error(std::move(error)) {}  // NOLINT

  bool Ok() const { return !m_error.has_value(); }
  explicit operator bool() const { return Ok(); }
  const Error& error() const {
    assert(m_error.has_value());
    return *m_error;
  }

 private:
  std::optional<Error> m_error;
};

}  // namespace corneltray

#endif  // CORNELTRAY_RESULT_H_
