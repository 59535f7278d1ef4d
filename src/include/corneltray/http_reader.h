#ifndef CORNELTRAY_HTTP_READER_H_
#define CORNELTRAY_HTTP_READER_H_

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <system_error>

#include "corneltray/http_head.h"
#include "corneltray/result.h"

namespace corneltray {

enum class HttpReaderErrc {
  // Not HTTP/1.1, framed in a way that two parsers may read differently, with a field whose name is
  // no token, or a response whose status HTTP does not define.
  kMalformed = 1,
  kHeadTooLarge,  // over the limit of the reader
  kTruncated,     // the connection ended inside a message
};

std::error_code make_error_code(HttpReaderErrc errc);

enum class HttpMessageKind { kRequest, kResponse };

// Reads HTTP/1.1 messages from a byte stream, one at a time. Refuses ambiguous framing: both a
// length and a transfer coding, repeated lengths, folded fields, line ends that other programs may
// not see, chunks without their line ends, and codings other than chunked.
// Not thread safe.
class HttpReader {
 public:
  HttpReader(HttpMessageKind kind, std::size_t max_head_bytes);
  ~HttpReader();
  HttpReader(const HttpReader&) = delete;
  HttpReader& operator=(const HttpReader&) = delete;

  // Takes bytes up to the end of the current message at most, and appends its decoded body to
  // `body`. Returns how many bytes were taken. The head stays in this object until Restart.
  Result<std::size_t> Read(std::string_view bytes, std::string* body);

  // The connection has ended. Completes a response whose body ends with it; fails with kTruncated
  // inside any other message.
  Status ReadEnd();

  // Prepares for the next message on the same connection.
  void Restart();

  // The next response answers a request that allows it no body, such as HEAD.
  void ExpectNoBody();

  bool HeadComplete() const;
  bool MessageComplete() const;
  // Whether any byte of the current message was read.
  bool Started() const;
  // Whether the connection may carry another message after this one.
  bool KeepsConnection() const;
  const HttpHead& Head() const;
  HttpHead TakeHead();
  // Memory of the head, as far as it was read and not taken.
  std::size_t HeldBytes() const;

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace corneltray

template <>
struct std::is_error_code_enum<corneltray::HttpReaderErrc> : std::true_type {};

#endif  // CORNELTRAY_HTTP_READER_H_
