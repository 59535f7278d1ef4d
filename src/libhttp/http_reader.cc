#include "corneltray/http_reader.h"

#include <http_parser.h>

#include <algorithm>
#include <optional>
#include <utility>

#include "corneltray/http_syntax.h"

namespace corneltray {
namespace {

constexpr std::string_view kHeadEnd = "\r\n\r\n";

class HttpReaderCategory : public std::error_category {
 public:
  const char* name() const noexcept override { return "corneltray.http_reader"; }
  std::string message(int value) const override {
    switch (static_cast<HttpReaderErrc>(value)) {
      case HttpReaderErrc::kMalformed:
        return "malformed HTTP message";
      case HttpReaderErrc::kHeadTooLarge:
        return "HTTP head over the limit";
      case HttpReaderErrc::kTruncated:
        return "connection ended inside an HTTP message";
    }
    return "unknown HTTP error";
  }
};

// Returns whether a head continues a field on another line. The parser would join the lines, other
// programs may not.
bool HasFoldedField(std::string_view head) {
  return head.find("\n ") != std::string_view::npos || head.find("\n\t") != std::string_view::npos;
}

// Returns how many fields a complete head has, a line each after the start line.
std::size_t CountFields(std::string_view head) {
  constexpr std::size_t kOtherLines = 2;
  const auto lines = static_cast<std::size_t>(std::count(head.begin(), head.end(), '\n'));
  return lines - std::min(lines, kOtherLines);
}

// Returns whether a response may have this status. HTTP defines 100 to 599. One below 200 is an
// interim response, which has no body: with a length it is a final response with a wrong status,
// and no other one would follow. 101 accepts an upgrade, and no request asks for one.
bool IsValidStatus(const HttpHead& head) {
  constexpr int kSwitchingProtocols = 101;
  if (head.status < kFirstStatus || head.status > kLastStatus) return false;
  if (head.status >= kFirstFinalStatus) return true;
  return head.status != kSwitchingProtocols && head.Find("Content-Length") == nullptr &&
         head.Find("Transfer-Encoding") == nullptr;
}

}  // namespace

std::error_code make_error_code(HttpReaderErrc errc) {
  static const HttpReaderCategory category;
  return {static_cast<int>(errc), category};
}

class HttpReader::Impl {
 public:
  Impl(HttpMessageKind kind, std::size_t max_head_bytes)
      : m_kind(kind), m_max_head_bytes(max_head_bytes) {
    http_parser_settings_init(&m_settings);
    m_settings.on_url = [](http_parser* p, const char* at, std::size_t n) {
      Self(p)->m_head.target.append(at, n);
      return 0;
    };
    m_settings.on_status = [](http_parser* p, const char* at, std::size_t n) {
      Self(p)->m_head.reason.append(at, n);
      return 0;
    };
    m_settings.on_header_field = [](http_parser* p, const char* at, std::size_t n) {
      Self(p)->AppendName(at, n);
      return 0;
    };
    m_settings.on_header_value = [](http_parser* p, const char* at, std::size_t n) {
      Self(p)->AppendValue(at, n);
      return 0;
    };
    m_settings.on_headers_complete = [](http_parser* p) { return Self(p)->OnHeadComplete(); };
    m_settings.on_body = [](http_parser* p, const char* at, std::size_t n) {
      Self(p)->m_body->append(at, n);
      return 0;
    };
    m_settings.on_message_complete = [](http_parser* p) {
      Self(p)->m_message_complete = true;
      http_parser_pause(p, 1);
      return 0;
    };
    Restart();
  }

  void Restart() {
    http_parser_init(&m_parser, m_kind == HttpMessageKind::kRequest ? HTTP_REQUEST : HTTP_RESPONSE);
    m_parser.data = this;
    m_head = {};
    m_held_bytes = 0;
    m_started = false;
    ReleaseHeadBytes();
    m_head_complete = false;
    m_message_complete = false;
    m_expect_no_body = false;
    m_in_value = false;
    m_failed = false;
    m_chunks.reset();
  }

  Result<std::size_t> Read(std::string_view bytes, std::string* body) {
    if (m_failed) return Error{HttpReaderErrc::kMalformed, "after an earlier error"};
    if (m_message_complete) return std::size_t{0};
    std::size_t taken = 0;
    if (!m_head_complete) {
      // The whole head is collected first, so that it can be checked as text.
      const std::size_t before = m_head_bytes.size();
      m_started = m_started || !bytes.empty();
      m_head_bytes.append(bytes.substr(0, BytesOfHead(bytes, before)));
      const std::size_t scan_from = before < kHeadEnd.size() ? 0 : before - kHeadEnd.size();
      const std::size_t end = m_head_bytes.find(kHeadEnd, scan_from);
      if (end == std::string::npos) {
        if (m_head_bytes.size() > m_max_head_bytes) return Fail(HttpReaderErrc::kHeadTooLarge, "");
        return bytes.size();
      }
      const std::size_t head_size = end + kHeadEnd.size();
      if (head_size > m_max_head_bytes) return Fail(HttpReaderErrc::kHeadTooLarge, "");
      taken = head_size - before;
      m_head_bytes.resize(head_size);
      if (HasFoldedField(m_head_bytes)) return Fail(HttpReaderErrc::kMalformed, "folded field");
      if (!HasUnambiguousLines(m_head_bytes)) return Fail(HttpReaderErrc::kMalformed, "line end");
      m_head.fields.reserve(CountFields(m_head_bytes));
      Result<std::size_t> parsed = Parse(m_head_bytes, body);
      if (!parsed) return parsed;
      ReleaseHeadBytes();
      if (!m_head_complete) return Fail(HttpReaderErrc::kMalformed, "incomplete head");
    }
    if (m_message_complete || taken == bytes.size()) return taken;
    bytes.remove_prefix(taken);
    Result<std::size_t> parsed = Parse(bytes, body);
    if (!parsed) return parsed;
    if (m_chunks && !m_chunks->Consume(bytes.substr(0, parsed.value()))) {
      return Fail(HttpReaderErrc::kMalformed, "chunk");
    }
    return taken + parsed.value();
  }

  Status ReadEnd() {
    if (m_message_complete) return {};
    if (m_head_complete && !m_failed) {
      std::string unused;
      m_body = &unused;
      http_parser_execute(&m_parser, &m_settings, nullptr, 0);
      if (m_message_complete) return {};
    }
    return Error{HttpReaderErrc::kTruncated, ""};
  }

  void ExpectNoBody() { m_expect_no_body = true; }
  bool HeadComplete() const { return m_head_complete; }
  bool MessageComplete() const { return m_message_complete; }
  bool Started() const { return m_started; }
  bool KeepsConnection() const { return m_keeps_connection; }
  HttpHead& Head() { return m_head; }
  std::size_t HeldBytes() const { return m_head_bytes.capacity() + m_held_bytes; }

  HttpHead TakeHead() {
    m_held_bytes = 0;
    return std::move(m_head);
  }

 private:
  static Impl* Self(http_parser* parser) { return static_cast<Impl*>(parser->data); }

  Result<std::size_t> Parse(std::string_view bytes, std::string* body) {
    m_body = body;
    const std::size_t taken =
        http_parser_execute(&m_parser, &m_settings, bytes.data(), bytes.size());
    const http_errno error = HTTP_PARSER_ERRNO(&m_parser);
    if (error != HPE_OK && error != HPE_PAUSED) {
      return Fail(HttpReaderErrc::kMalformed, http_errno_description(error));
    }
    return taken;
  }

  Error Fail(HttpReaderErrc errc, const std::string& detail) {
    m_failed = true;
    return {errc, detail};
  }

  // Returns how many bytes to add to those of the head. More than a head may have are not needed to
  // refuse it, and those after its end belong to a body or to another request.
  std::size_t BytesOfHead(std::string_view bytes, std::size_t before) const {
    const std::size_t end = before == 0 ? bytes.find(kHeadEnd) : std::string_view::npos;
    if (end != std::string_view::npos) return end + kHeadEnd.size();
    return m_max_head_bytes + 1 - before;
  }

  // A long head is not kept beside its parsed form, nor on an idle connection.
  void ReleaseHeadBytes() {
    constexpr std::size_t kKeptBytes = 2048;
    m_head_bytes.clear();
    if (m_head_bytes.capacity() > kKeptBytes) m_head_bytes.shrink_to_fit();
  }

  void AppendName(const char* at, std::size_t n) {
    if (m_head_complete) return;  // a trailer concerns one connection only
    if (m_head.fields.empty() || m_in_value) {
      m_head.fields.emplace_back();
      m_in_value = false;
    }
    m_head.fields.back().name.append(at, n);
  }

  void AppendValue(const char* at, std::size_t n) {
    if (m_head_complete) return;
    m_in_value = true;
    m_head.fields.back().value.append(at, n);
  }

  // Returns what the parser expects: 0 to go on, 1 for a message without a body, -1 to fail.
  int OnHeadComplete() {
    constexpr int kNoBody = 1;
    constexpr int kRefuse = -1;
    constexpr int kNoContent = 204;
    constexpr int kNotModified = 304;
    m_head_complete = true;
    m_in_value = false;
    m_head.minor_version = m_parser.http_minor;
    if (m_parser.http_major != 1 || m_parser.upgrade != 0) return kRefuse;
    if (m_kind == HttpMessageKind::kRequest) {
      m_head.method = http_method_str(static_cast<http_method>(m_parser.method));
    } else {
      m_head.status = m_parser.status_code;
      if (!HasStatusLine(m_head_bytes) || !IsValidStatus(m_head)) return kRefuse;
    }
    // The parser lets a space in a name pass; other programs read such a field differently.
    for (const HttpField& field : m_head.fields) {
      if (!IsToken(field.name)) return kRefuse;
    }
    const std::string* coding = m_head.Find("Transfer-Encoding");
    if (coding != nullptr && (!EqualFieldNames(*coding, "chunked") || m_parser.http_minor == 0)) {
      return kRefuse;
    }
    if (coding != nullptr) m_chunks.emplace();
    m_held_bytes = corneltray::HeldBytes(m_head);
    // A body that ends with the connection leaves none to keep; the parser knows of these.
    m_keeps_connection = http_should_keep_alive(&m_parser) != 0;
    // The parser reads the body that a length field announces after these statuses too.
    const bool has_no_body = m_head.status == kNoContent || m_head.status == kNotModified;
    return m_expect_no_body || has_no_body ? kNoBody : 0;
  }

  HttpMessageKind m_kind;
  std::size_t m_max_head_bytes;
  http_parser m_parser{};
  http_parser_settings m_settings{};
  HttpHead m_head;
  std::string m_head_bytes;      // until the head is parsed
  std::size_t m_held_bytes = 0;  // of the parsed head
  bool m_started = false;
  std::string* m_body = nullptr;
  bool m_in_value = false;
  bool m_head_complete = false;
  bool m_message_complete = false;
  bool m_expect_no_body = false;
  bool m_keeps_connection = true;
  bool m_failed = false;
  std::optional<ChunkFraming> m_chunks;  // of a body in chunks
};

HttpReader::HttpReader(HttpMessageKind kind, std::size_t max_head_bytes)
    : m_impl(std::make_unique<Impl>(kind, max_head_bytes)) {}
HttpReader::~HttpReader() = default;

Result<std::size_t> HttpReader::Read(std::string_view bytes, std::string* body) {
  return m_impl->Read(bytes, body);
}
Status HttpReader::ReadEnd() { return m_impl->ReadEnd(); }
void HttpReader::Restart() { m_impl->Restart(); }
void HttpReader::ExpectNoBody() { m_impl->ExpectNoBody(); }
bool HttpReader::HeadComplete() const { return m_impl->HeadComplete(); }
bool HttpReader::MessageComplete() const { return m_impl->MessageComplete(); }
bool HttpReader::Started() const { return m_impl->Started(); }
bool HttpReader::KeepsConnection() const { return m_impl->KeepsConnection(); }
const HttpHead& HttpReader::Head() const { return m_impl->Head(); }
HttpHead HttpReader::TakeHead() { return m_impl->TakeHead(); }
std::size_t HttpReader::HeldBytes() const { return m_impl->HeldBytes(); }

}  // namespace corneltray
