#include "document_files.h"

#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

namespace corneltray {
namespace {

using nlohmann::json;

std::string ReadFile(const std::string& path, std::vector<DocumentIssue>* issues) {
  std::ifstream file(path);
  std::ostringstream text;
  if (file) text << file.rdbuf();
  if (!file) issues->push_back({path, 0, "", "cannot be read"});
  return text.str();
}

bool IsSecret(const std::string& path) {
  constexpr std::string_view kCustomer = "customer[";
  constexpr std::string_view kKey = "].key";
  return path.rfind(kCustomer, 0) == 0 && path.size() > kKey.size() &&
         path.compare(path.size() - kKey.size(), kKey.size(), kKey) == 0;
}

}  // namespace

bool ParseOverlayArgument(const std::string& argument, DocumentFiles* files) {
  const std::size_t equals = argument.find('=');
  if (equals == std::string::npos || equals == 0 || equals + 1 == argument.size()) return false;
  files->overlay_files[argument.substr(0, equals)] = argument.substr(equals + 1);
  return true;
}

ConfigurationDocument ReadDocument(const DocumentFiles& files, std::vector<DocumentIssue>* issues) {
  ConfigurationDocument document;
  document.base = ReadFile(files.base_file, issues);
  for (const auto& [site, path] : files.overlay_files) {
    document.overlays.emplace_back(site, ReadFile(path, issues));
  }
  return document;
}

void NameFiles(const DocumentFiles& files, std::vector<DocumentIssue>* issues) {
  constexpr std::string_view kOverlay = "overlay ";
  for (DocumentIssue& issue : *issues) {
    if (issue.file == "base") issue.file = files.base_file;
    if (issue.file.rfind(kOverlay, 0) != 0) continue;
    const auto file = files.overlay_files.find(issue.file.substr(kOverlay.size()));
    if (file != files.overlay_files.end()) issue.file = file->second;
  }
}

std::map<std::string, std::string> FlatValues(const ParsedDocument& parsed) {
  std::map<std::string, std::string> flat;
  for (const auto& [table, content] : parsed.values.items()) {
    if (!content.is_object()) continue;
    for (const auto& [name, value] : content.items()) {
      if (!value.is_object()) {
        flat[table + "." + name] = value.dump();
        continue;
      }
      for (const auto& [key, element] : value.items()) {
        const std::string path = table + "[" + name + "]." + key;
        flat[path] = IsSecret(path) ? "(hidden)" : element.dump();
      }
    }
  }
  return flat;
}

std::vector<std::string> SitesOf(const ConfigurationDocument& document) {
  std::vector<std::string> sites;
  for (const auto& overlay : document.overlays) sites.push_back(overlay.first);
  if (sites.empty()) sites.emplace_back();
  return sites;
}

}  // namespace corneltray
