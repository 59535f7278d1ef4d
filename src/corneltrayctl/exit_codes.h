#ifndef CORNELTRAY_EXIT_CODES_H_
#define CORNELTRAY_EXIT_CODES_H_

namespace corneltray {

// Exit codes of corneltrayctl, as listed in its help.
inline constexpr int kExitOk = 0;
inline constexpr int kExitDifferent = 1;   // diff found differences
inline constexpr int kExitUsage = 2;       // wrong arguments, or a file that cannot be read
inline constexpr int kExitInvalid = 3;     // the configuration has mistakes
inline constexpr int kExitRefused = 4;     // a server refused the request
inline constexpr int kExitUnanswered = 5;  // no server answered; the outcome may be unknown

}  // namespace corneltray

#endif  // CORNELTRAY_EXIT_CODES_H_
