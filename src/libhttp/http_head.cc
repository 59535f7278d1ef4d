#include "corneltray/http_head.h"

#include <http_parser.h>

#include <algorithm>
#include <charconv>
#include <cmath>

namespace corneltray {
namespace {

char ToLower(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; }

std::string_view Trim(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) text.remove_prefix(1);
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) text.remove_suffix(1);
  return text;
}

// Calls `visit` with each element of a comma-separated list.
template <class Visitor>
void ForEachElement(std::string_view list, Visitor visit) {
  while (true) {
    const std::size_t comma = list.find(',');
    const std::string_view element = Trim(list.substr(0, comma));
    if (!element.empty()) visit(element);
    if (comma == std::string_view::npos) return;
    list.remove_prefix(comma + 1);
  }
}

std::size_t FieldBytes(const HttpHead& head) {
  constexpr std::size_t kSeparatorBytes = 4;  // ": " and the line end
  std::size_t bytes = 0;
  for (const HttpField& field : head.fields) {
    bytes += field.name.size() + field.value.size() + kSeparatorBytes;
  }
  return bytes;
}

void AppendFields(const HttpHead& head, std::string* text) {
  for (const HttpField& field : head.fields) {
    *text += field.name;
    *text += ": ";
    *text += field.value;
    *text += "\r\n";
  }
  *text += "\r\n";
}

}  // namespace

bool EqualFieldNames(std::string_view a, std::string_view b) {
  return a.size() == b.size() && std::equal(a.begin(), a.end(), b.begin(), [](char x, char y) {
           return ToLower(x) == ToLower(y);
         });
}

const std::string* HttpHead::Find(std::string_view name) const {
  for (const HttpField& field : fields) {
    if (EqualFieldNames(field.name, name)) return &field.value;
  }
  return nullptr;
}

std::string_view HttpHead::Value(std::string_view name) const {
  const std::string* value = Find(name);
  if (value == nullptr) return {};
  return *value;
}

void HttpHead::Add(std::string_view name, std::string_view value) {
  fields.push_back({std::string(name), std::string(value)});
}

void HttpHead::Set(std::string_view name, std::string_view value) {
  Remove(name);
  Add(name, value);
}

void HttpHead::Remove(std::string_view name) {
  const auto matches = [name](const HttpField& field) { return EqualFieldNames(field.name, name); };
  fields.erase(std::remove_if(fields.begin(), fields.end(), matches), fields.end());
}

std::string_view HttpHead::Path() const {
  const std::string_view whole = target;
  return whole.substr(0, whole.find('?'));
}

std::size_t HeldBytes(const HttpHead& head) {
  // A short text is stored in the string itself.
  const std::size_t inside = std::string().capacity();
  const auto on_heap = [inside](const std::string& text) {
    return text.capacity() <= inside ? 0 : text.capacity() + 1;
  };
  std::size_t bytes = head.fields.capacity() * sizeof(HttpField);
  for (const HttpField& field : head.fields) bytes += on_heap(field.name) + on_heap(field.value);
  return bytes + on_heap(head.method) + on_heap(head.target) + on_heap(head.reason);
}

void RemoveConnectionFields(HttpHead* head) {
  std::vector<std::string> named;
  for (const HttpField& field : head->fields) {
    if (!EqualFieldNames(field.name, "Connection")) continue;
    ForEachElement(field.value, [&named](std::string_view name) { named.emplace_back(name); });
  }
  for (const std::string& name : named) head->Remove(name);
  for (const char* name : {"Connection", "Keep-Alive", "Proxy-Connection", "TE", "Trailer",
                           "Transfer-Encoding", "Upgrade", "Expect"}) {
    head->Remove(name);
  }
}

bool ListsToken(std::string_view list, std::string_view token) {
  bool found = false;
  ForEachElement(list, [&](std::string_view element) { found |= EqualFieldNames(element, token); });
  return found;
}

std::string FormatRequestHead(const HttpHead& head) {
  constexpr std::size_t kLineBytes = 16;
  std::string text;
  text.reserve(head.method.size() + head.target.size() + kLineBytes + FieldBytes(head));
  text += head.method;
  text += ' ';
  text += head.target;
  text += " HTTP/1.1\r\n";
  AppendFields(head, &text);
  return text;
}

std::string FormatResponseHead(const HttpHead& head) {
  constexpr std::size_t kLineBytes = 32;
  std::string text;
  text.reserve(kLineBytes + head.reason.size() + FieldBytes(head));
  text += "HTTP/1.1 ";
  text += std::to_string(head.status);
  text += ' ';
  text += head.reason;
  text += "\r\n";
  AppendFields(head, &text);
  return text;
}

std::string FormatRetryAfter(std::chrono::milliseconds after) {
  constexpr std::int64_t kPerSecond = 1000;
  std::string text = std::to_string(after.count() / kPerSecond);
  const std::int64_t fraction = after.count() % kPerSecond;
  if (fraction > 0) text += "." + std::to_string(kPerSecond + fraction).substr(1);
  return text;
}

std::optional<std::chrono::milliseconds> ParseRetryAfter(std::string_view text) {
  constexpr double kMaxSeconds = 24.0 * 3600.0;  // longer times are cut to this one
  double seconds = 0.0;
  const char* end = text.data() + text.size();
  const auto [rest, error] = std::from_chars(text.data(), end, seconds, std::chars_format::fixed);
  if (error != std::errc() || rest != end) return std::nullopt;
  if (!std::isfinite(seconds) || seconds < 0.0) return std::nullopt;
  return std::chrono::ceil<std::chrono::milliseconds>(
      std::chrono::duration<double>(std::min(seconds, kMaxSeconds)));
}

HttpHead MakeResponse(int status) {
  HttpHead head;
  head.status = status;
  head.reason = http_status_str(static_cast<http_status>(status));
  return head;
}

}  // namespace corneltray
