#ifndef CORNELTRAY_SCHEMA_H_
#define CORNELTRAY_SCHEMA_H_

#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "corneltray/enum_names.h"

namespace corneltray {

enum class ValueType { kString, kInteger, kNumber, kBoolean, kStringList };

template <>
struct EnumNames<ValueType> {
  static constexpr EnumName<ValueType> kTable[] = {
      {ValueType::kString, "string"},
      {ValueType::kInteger, "integer"},
      {ValueType::kNumber, "number"},
      {ValueType::kBoolean, "boolean"},
      {ValueType::kStringList, "list of strings"},
  };
};

// One key of a TOML document. `path` uses `[]` for an element of an array of tables, as in
// "model[].layers". Numbers are checked against min and max, strings against their length.
struct KeySpec {
  std::string_view path;
  ValueType type;
  bool required;
  std::string_view default_json;  // JSON text; empty: no default
  double min;
  double max;
  std::string_view unit;
  std::string_view help;
};

// One TOML text with the file name used in errors.
struct SourceText {
  std::string file;
  std::string text;
};

// A problem in a document, placed so that a person can find it. Line 0 means the whole file.
struct DocumentIssue {
  std::string file;
  std::uint32_t line = 0;
  std::string key;
  std::string message;

  // Returns "file:line: key: message".
  std::string ToString() const;
};

// A validated document. Arrays of tables are objects keyed by the element's `name`, so that an
// overlay and a JSON difference address elements by name and not by position.
struct ParsedDocument {
  nlohmann::json values = nlohmann::json::object();
  std::map<std::string, std::string> origins;  // key path to "file:line" or "default"
  std::vector<DocumentIssue> issues;           // empty when the document is valid
};

// Parses the texts and merges them in order: tables by key, arrays of tables by `name`, all other
// values replace. Then fills in defaults and checks required keys. Every issue found is reported,
// not only the first.
ParsedDocument ParseDocument(const std::vector<SourceText>& layers,
                             const std::vector<KeySpec>& schema);

}  // namespace corneltray

#endif  // CORNELTRAY_SCHEMA_H_
