#ifndef CORNELTRAY_HTTP_HEAD_H_
#define CORNELTRAY_HTTP_HEAD_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace corneltray {

// Statuses of responses. Those below kFirstFinalStatus are interim: another response follows.
inline constexpr int kFirstStatus = 100;
inline constexpr int kFirstFinalStatus = 200;
inline constexpr int kLastStatus = 599;

struct HttpField {
  std::string name;
  std::string value;
};

// Compares two field names without regard to the case of ASCII letters.
bool EqualFieldNames(std::string_view a, std::string_view b);

// Start line and fields of one HTTP/1.1 message, in the order received. A request has a method and
// a target; a response has a status and a reason.
struct HttpHead {
  std::string method;
  std::string target;  // path and query, as received
  int status = 0;
  std::string reason;
  int minor_version = 1;  // 0 for HTTP/1.0
  std::vector<HttpField> fields;

  // Returns the value of the first field of this name, or null.
  const std::string* Find(std::string_view name) const;
  // Returns the value of the first field of this name, or an empty text.
  std::string_view Value(std::string_view name) const;
  void Add(std::string_view name, std::string_view value);
  // Replaces every field of this name by one.
  void Set(std::string_view name, std::string_view value);
  void Remove(std::string_view name);
  // Returns the target up to the query.
  std::string_view Path() const;
};

// Returns the memory that a head takes: a field of a few bytes takes many times its length.
std::size_t HeldBytes(const HttpHead& head);

// Removes the fields that concern a single connection: Connection and those that it names,
// Keep-Alive, Proxy-Connection, TE, Trailer, Transfer-Encoding, Upgrade and Expect.
void RemoveConnectionFields(HttpHead* head);

// Returns whether a comma-separated field lists this token, without regard to case.
bool ListsToken(std::string_view list, std::string_view token);

// Return the bytes of a head with its final empty line.
std::string FormatRequestHead(const HttpHead& head);
std::string FormatResponseHead(const HttpHead& head);

// Returns the value of a Retry-After field: seconds, with a fraction where there is one.
std::string FormatRetryAfter(std::chrono::milliseconds after);

// Parses the seconds of a Retry-After field. Returns nullopt for anything else, such as a date.
std::optional<std::chrono::milliseconds> ParseRetryAfter(std::string_view text);

// Returns a response without a body, with the standard reason of its status.
HttpHead MakeResponse(int status);

}  // namespace corneltray

#endif  // CORNELTRAY_HTTP_HEAD_H_
