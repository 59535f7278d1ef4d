#ifndef CORNELTRAY_HTTP_SYNTAX_H_
#define CORNELTRAY_HTTP_SYNTAX_H_

#include <string_view>

// Checks of the grammar of HTTP/1.1 that the parser library leaves out, so that bytes which two
// programs may read differently, or which are no HTTP, are refused.
namespace corneltray {

// Returns whether a complete head begins with the status line of an HTTP/1 response: the version, a
// status of three digits and a reason of printable bytes, which may be missing.
bool HasStatusLine(std::string_view head);

}  // namespace corneltray

#endif  // CORNELTRAY_HTTP_SYNTAX_H_
