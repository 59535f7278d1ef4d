#include "table.h"

#include <algorithm>
#include <array>
#include <ctime>

namespace corneltray {
namespace {

void WriteRow(std::ostream& out, const std::vector<std::string>& row,
              const std::vector<std::size_t>& widths) {
  for (std::size_t i = 0; i < row.size(); ++i) {
    out << row[i];
    if (i + 1 == row.size()) break;
    out << std::string(widths[i] - row[i].size() + 2, ' ');
  }
  out << "\n";
}

}  // namespace

void WriteTable(std::ostream& out, const std::vector<std::string>& header,
                const std::vector<std::vector<std::string>>& rows) {
  std::vector<std::size_t> widths;
  widths.reserve(header.size());
  for (const std::string& cell : header) widths.push_back(cell.size());
  for (const auto& row : rows) {
    for (std::size_t i = 0; i < row.size(); ++i) widths[i] = std::max(widths[i], row[i].size());
  }
  WriteRow(out, header, widths);
  for (const auto& row : rows) WriteRow(out, row, widths);
}

std::string UtcText(std::int64_t unix_ms) {
  const std::time_t seconds = unix_ms / 1000;
  std::tm utc{};
  gmtime_r(&seconds, &utc);
  std::array<char, 32> text{};
  const std::size_t size = std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%SZ", &utc);
  return {text.data(), size};
}

}  // namespace corneltray
