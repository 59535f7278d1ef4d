#ifndef CORNELTRAY_TABLE_H_
#define CORNELTRAY_TABLE_H_

#include <ostream>
#include <string>
#include <vector>

namespace corneltray {

// Writes rows in columns as wide as their widest cell. The last column is not padded.
void WriteTable(std::ostream& out, const std::vector<std::string>& header,
                const std::vector<std::vector<std::string>>& rows);

// Returns a time in Unix milliseconds as UTC text, like 2026-12-04T04:10:00Z.
std::string UtcText(std::int64_t unix_ms);

}  // namespace corneltray

#endif  // CORNELTRAY_TABLE_H_
