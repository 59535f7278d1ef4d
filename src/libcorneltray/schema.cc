#include "corneltray/schema.h"

#include <algorithm>
#include <set>
#include <stdexcept>

// Some malformed texts break assertions of toml++, which are assumptions of the optimiser when
// NDEBUG is defined. They are turned into exceptions in every build, so that such a text is
// refused.
#undef NDEBUG
[[noreturn]] inline void ThrowTomlAssertion(const char* expression) {
  throw std::logic_error(expression);
}
#define TOML_ASSERT(expr) (static_cast<bool>(expr) ? void() : ThrowTomlAssertion(#expr))
#define TOML_EXCEPTIONS 1
#include <toml++/toml.h>

namespace corneltray {
namespace {

using nlohmann::json;

// Replaces the element names of a path by `[]`: "model[assistant].layers" becomes "model[].layers".
std::string PatternOf(const std::string& path) {
  std::string pattern;
  bool inside = false;
  for (const char c : path) {
    if (c == ']') inside = false;
    if (!inside) pattern += c;
    if (c == '[') inside = true;
  }
  return pattern;
}

std::string Join(const std::string& prefix, std::string_view key) {
  return prefix.empty() ? std::string(key) : prefix + "." + std::string(key);
}

// Returns the line of the first non-ASCII byte outside strings and comments, or 0. TOML allows none
// there, and the whitespace table of toml++ is undefined for many of them.
std::uint32_t FindStrayNonAscii(std::string_view text) {
  constexpr std::string_view kByteOrderMark = "\xEF\xBB\xBF";
  if (text.substr(0, kByteOrderMark.size()) == kByteOrderMark) {
    text.remove_prefix(kByteOrderMark.size());
  }
  std::uint32_t line = 1;
  std::string_view closing;  // what ends the string or comment that is open; empty: none is
  for (std::size_t i = 0; i < text.size(); ++i) {
    const char c = text[i];
    if (c == '\n') {
      ++line;
      if (closing.size() < 3) closing = {};  // only multi-line strings go on
    } else if (!closing.empty()) {
      if (c == '\\' && closing[0] == '"') {
        i += i + 1 < text.size() && text[i + 1] != '\n' ? 1 : 0;
      } else if (text.substr(i, closing.size()) == closing) {
        i += closing.size() - 1;
        closing = {};
      }
    } else if (c == '#') {
      closing = "\n";
    } else if (c == '"' || c == '\'') {
      const std::string_view triple = c == '"' ? "\"\"\"" : "\'\'\'";
      closing = text.substr(i, 3) == triple ? triple : triple.substr(0, 1);
      i += closing.size() - 1;
    } else if (static_cast<unsigned char>(c) >= 0x80) {
      return line;
    }
  }
  return 0;
}

// Merges the layers of one document. Lives for one call of ParseDocument.
class DocumentParser {
 public:
  explicit DocumentParser(const std::vector<KeySpec>& schema) : m_schema(schema) {}

  void AddLayer(const SourceText& layer) {
    m_file = layer.file;
    if (const std::uint32_t line = FindStrayNonAscii(layer.text); line > 0) {
      AddIssue(line, "", "only strings and comments may hold non-ASCII characters");
      return;
    }
    try {
      const toml::table root = toml::parse(layer.text, layer.file);
      WalkTable(root, "", &m_document.values);
    } catch (const toml::parse_error& error) {
      AddIssue(error.source().begin.line, "", std::string(error.description()));
    } catch (const std::logic_error&) {
      AddIssue(0, "", "is not TOML");
    }
  }

  ParsedDocument Finish() {
    for (const KeySpec& spec : m_schema) FillKey(spec);
    return std::move(m_document);
  }

 private:
  void AddIssue(std::uint32_t line, std::string key, std::string message) {
    m_document.issues.push_back({m_file, line, std::move(key), std::move(message)});
  }

  const KeySpec* FindKey(const std::string& pattern) const {
    const auto found = std::find_if(m_schema.begin(), m_schema.end(),
                                    [&](const KeySpec& spec) { return spec.path == pattern; });
    return found == m_schema.end() ? nullptr : &*found;
  }

  // Returns whether any key lies below this table pattern.
  bool IsTable(const std::string& pattern) const {
    return std::any_of(m_schema.begin(), m_schema.end(), [&](const KeySpec& spec) {
      return spec.path.size() > pattern.size() && spec.path.substr(0, pattern.size()) == pattern &&
             spec.path[pattern.size()] == '.';
    });
  }

  void WalkTable(const toml::table& table, const std::string& prefix, json* target) {
    for (const auto& [key, node] : table) {
      const std::string path = Join(prefix, key.str());
      const std::uint32_t line = node.source().begin.line;
      if (const toml::table* inner = node.as_table()) {
        if (IsTable(PatternOf(path))) {
          json& child = (*target)[std::string(key.str())];
          if (!child.is_object()) child = json::object();
          WalkTable(*inner, path, &child);
        } else {
          AddIssue(line, path, "unknown table");
        }
      } else if (node.is_array_of_tables()) {
        WalkElements(*node.as_array(), path, line, &(*target)[std::string(key.str())]);
      } else {
        ReadValue(node, path, line, &(*target)[std::string(key.str())]);
      }
    }
  }

  void WalkElements(const toml::array& array, const std::string& path, std::uint32_t line,
                    json* target) {
    if (!IsTable(PatternOf(path) + "[]")) {
      AddIssue(line, path, "unknown array of tables");
      return;
    }
    if (!target->is_object()) *target = json::object();
    std::set<std::string> seen;
    for (const auto& element : array) {
      const toml::table& table = *element.as_table();
      const std::uint32_t element_line = element.source().begin.line;
      const auto name = table["name"].value<std::string>();
      if (!name || name->empty()) {
        AddIssue(element_line, path + "[].name", "each element needs a name");
        continue;
      }
      if (!seen.insert(*name).second) {
        AddIssue(element_line, path + "[" + *name + "]", "name appears twice in this file");
        continue;
      }
      json& child = (*target)[*name];
      if (!child.is_object()) child = json::object();
      WalkTable(table, path + "[" + *name + "]", &child);
    }
  }

  void ReadValue(const toml::node& node, const std::string& path, std::uint32_t line,
                 json* target) {
    const KeySpec* spec = FindKey(PatternOf(path));
    if (spec == nullptr) {
      AddIssue(line, path, "unknown key");
      return;
    }
    json value = Convert(node, spec->type);
    if (value.is_null()) {
      AddIssue(line, path, "must be a " + std::string(NameOf(spec->type)));
      return;
    }
    const std::string bounds = CheckBounds(value, *spec);
    if (!bounds.empty()) {
      AddIssue(line, path, bounds);
      return;
    }
    *target = std::move(value);
    m_document.origins[path] = m_file + ":" + std::to_string(line);
  }

  // Returns the value in JSON, or null if the node has another type.
  static json Convert(const toml::node& node, ValueType type) {
    switch (type) {
      case ValueType::kString:
        if (const auto* text = node.as_string()) return text->get();
        return nullptr;
      case ValueType::kInteger:
        if (const auto* number = node.as_integer()) return number->get();
        return nullptr;
      case ValueType::kNumber:
        if (const auto* number = node.as_integer()) return static_cast<double>(number->get());
        if (const auto* number = node.as_floating_point()) return number->get();
        return nullptr;
      case ValueType::kBoolean:
        if (const auto* flag = node.as_boolean()) return flag->get();
        return nullptr;
      case ValueType::kStringList: {
        const toml::array* array = node.as_array();
        if (array == nullptr) return nullptr;
        json list = json::array();
        for (const auto& item : *array) {
          const auto* text = item.as_string();
          if (text == nullptr) return nullptr;
          list.push_back(text->get());
        }
        return list;
      }
    }
    return nullptr;
  }

  // Returns what is wrong with the value, or an empty text.
  static std::string CheckBounds(const json& value, const KeySpec& spec) {
    const bool is_size = value.is_string() || value.is_array();
    const double measure = value.is_string()  ? static_cast<double>(value.get<std::string>().size())
                           : value.is_array() ? static_cast<double>(value.size())
                           : value.is_number() ? value.get<double>()
                                               : spec.min;
    if (measure >= spec.min && measure <= spec.max) return "";
    const std::string what = is_size ? "length must be from " : "must be from ";
    const auto number = [](double bound) { return json(bound).dump(); };
    return what + number(spec.min) + " to " + number(spec.max);
  }

  // Fills in the default of one key, or reports that a required key is missing, in every element of
  // the arrays that its path goes through.
  void FillKey(const KeySpec& spec) { FillBelow(spec, spec.path, "", &m_document.values); }

  void FillBelow(const KeySpec& spec, std::string_view rest, const std::string& prefix,
                 json* table) {
    const std::size_t dot = rest.find('.');
    std::string_view head = rest.substr(0, dot);
    if (dot == std::string_view::npos) {
      FillLeaf(spec, std::string(head), prefix, table);
      return;
    }
    const std::string_view tail = rest.substr(dot + 1);
    const bool is_array = head.size() > 2 && head.substr(head.size() - 2) == "[]";
    if (is_array) head.remove_suffix(2);
    json& child = (*table)[std::string(head)];
    if (!child.is_object()) child = json::object();
    const std::string path = Join(prefix, head);
    if (!is_array) {
      FillBelow(spec, tail, path, &child);
      return;
    }
    for (auto& [name, element] : child.items()) {
      FillBelow(spec, tail, path + "[" + name + "]", &element);
    }
  }

  void FillLeaf(const KeySpec& spec, const std::string& key, const std::string& prefix,
                json* table) {
    const std::string path = Join(prefix, key);
    if (table->contains(key) && !(*table)[key].is_null()) return;
    table->erase(key);
    if (!spec.default_json.empty()) {
      (*table)[key] = json::parse(spec.default_json);
      m_document.origins[path] = "default";
    } else if (spec.required && !HasIssue(path)) {
      AddIssue(0, path, "required key is missing");
    }
  }

  bool HasIssue(const std::string& path) const {
    return std::any_of(m_document.issues.begin(), m_document.issues.end(),
                       [&](const DocumentIssue& issue) { return issue.key == path; });
  }

  const std::vector<KeySpec>& m_schema;
  ParsedDocument m_document;
  std::string m_file;
};

}  // namespace

std::string DocumentIssue::ToString() const {
  std::string text = file;
  if (line > 0) text += ":" + std::to_string(line);
  if (!key.empty()) text += ": " + key;
  return text + ": " + message;
}

ParsedDocument ParseDocument(const std::vector<SourceText>& layers,
                             const std::vector<KeySpec>& schema) {
  DocumentParser parser(schema);
  for (const SourceText& layer : layers) parser.AddLayer(layer);
  return parser.Finish();
}

}  // namespace corneltray
