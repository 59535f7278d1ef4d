#include "corneltray/compression.h"

#include <zlib.h>

#include <algorithm>
#include <array>

namespace corneltray {
namespace {

class CompressionCategory : public std::error_category {
 public:
  const char* name() const noexcept override { return "corneltray.compression"; }
  std::string message(int value) const override {
    return static_cast<CompressionErrc>(value) == CompressionErrc::kTooLarge
               ? "the decompressed text is over the limit"
               : "corrupt compressed bytes";
  }
};

Bytef* AsBytes(const std::string& text) {
  // zlib does not write to its input, but its interface lacks the const.
  return reinterpret_cast<Bytef*>(const_cast<char*>(text.data()));  // NOLINT
}

}  // namespace

std::error_code make_error_code(CompressionErrc errc) {
  static const CompressionCategory category;
  return {static_cast<int>(errc), category};
}

std::string Compress(const std::string& text) {
  uLongf size = compressBound(text.size());
  std::string bytes(size, '\0');
  compress2(AsBytes(bytes), &size, AsBytes(text), text.size(), Z_DEFAULT_COMPRESSION);
  bytes.resize(size);
  return bytes;
}

Result<std::string> Decompress(const std::string& bytes, std::size_t max_text_bytes) {
  constexpr std::size_t kPartBytes = 16384;
  z_stream stream{};
  if (inflateInit(&stream) != Z_OK) return Error{CompressionErrc::kCorrupt, "no memory"};
  stream.next_in = AsBytes(bytes);
  stream.avail_in = static_cast<uInt>(bytes.size());
  std::string text;
  std::array<Bytef, kPartBytes> part{};
  int state = Z_OK;
  while (state == Z_OK && text.size() <= max_text_bytes) {
    stream.next_out = part.data();
    stream.avail_out = static_cast<uInt>(part.size());
    state = inflate(&stream, Z_NO_FLUSH);
    text.append(reinterpret_cast<char*>(part.data()), part.size() - stream.avail_out);  // NOLINT
  }
  inflateEnd(&stream);
  if (text.size() > max_text_bytes) return Error{CompressionErrc::kTooLarge, ""};
  if (state != Z_STREAM_END) return Error{CompressionErrc::kCorrupt, ""};
  return text;
}

}  // namespace corneltray
