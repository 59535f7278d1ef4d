#ifndef CORNELTRAY_COMPRESSION_H_
#define CORNELTRAY_COMPRESSION_H_

#include <cstddef>
#include <string>
#include <system_error>

#include "corneltray/result.h"

namespace corneltray {

enum class CompressionErrc {
  kCorrupt = 1,
  kTooLarge,  // the text would be over the limit
};

std::error_code make_error_code(CompressionErrc errc);

// Returns the zlib form of a text. The same text always gives the same bytes.
std::string Compress(const std::string& text);

// Returns the text. Fails with kCorrupt or kTooLarge.
Result<std::string> Decompress(const std::string& bytes, std::size_t max_text_bytes);

}  // namespace corneltray

template <>
struct std::is_error_code_enum<corneltray::CompressionErrc> : std::true_type {};

#endif  // CORNELTRAY_COMPRESSION_H_
