// Patches between two revisions of the configuration document.
#include <xxhash.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "corneltray/configuration_feed.h"
#include "corneltray/control_state.h"

namespace corneltray {
namespace {

using nlohmann::json;

json SplitLines(const std::string& text) {
  json lines = json::array();
  std::size_t start = 0;
  for (std::size_t end = text.find('\n'); end != std::string::npos; end = text.find('\n', start)) {
    lines.push_back(text.substr(start, end - start));
    start = end + 1;
  }
  lines.push_back(text.substr(start));
  return lines;
}

std::string JoinLines(const json& lines) {
  std::string text;
  bool first = true;
  for (const json& line : lines) {
    if (!first) text += '\n';
    text += line.get_ref<const std::string&>();
    first = false;
  }
  return text;
}

// Returns the JSON form that patches apply to, with one array element per line of text.
json ToLineForm(const ConfigurationDocument& document) {
  json overlays = json::object();
  for (const auto& [site, text] : document.overlays) overlays[site] = SplitLines(text);
  return {{"base", SplitLines(document.base)}, {"overlays", std::move(overlays)}};
}

ConfigurationDocument FromLineForm(const json& form) {
  ConfigurationDocument document;
  document.base = JoinLines(form.at("base"));
  for (const auto& [site, lines] : form.at("overlays").items()) {
    document.overlays.emplace_back(site, JoinLines(lines));
  }
  return document;
}

std::uint64_t Checksum(const json& line_form) {
  std::string bytes;
  json::to_cbor(line_form, bytes);
  return XXH64(bytes.data(), bytes.size(), 0);
}

// Appends the operations that turn one array of lines into another. nlohmann::json::diff compares
// arrays by position, so one inserted line would replace all lines after it.
void AppendLineDiff(const json& from, const json& to, const json::json_pointer& at, json* patch) {
  std::size_t prefix = 0;
  const std::size_t shorter = std::min(from.size(), to.size());
  while (prefix < shorter && from[prefix] == to[prefix]) ++prefix;
  std::size_t suffix = 0;
  while (suffix < shorter - prefix &&
         from[from.size() - 1 - suffix] == to[to.size() - 1 - suffix]) {
    ++suffix;
  }
  const std::size_t from_end = from.size() - suffix;
  const std::size_t to_end = to.size() - suffix;
  const std::size_t common_end = std::min(from_end, to_end);
  for (std::size_t i = prefix; i < common_end; ++i) {
    if (from[i] == to[i]) continue;
    patch->push_back({{"op", "replace"}, {"path", (at / i).to_string()}, {"value", to[i]}});
  }
  for (std::size_t i = from_end; i > common_end; --i) {
    patch->push_back({{"op", "remove"}, {"path", (at / (i - 1)).to_string()}});
  }
  for (std::size_t i = common_end; i < to_end; ++i) {
    patch->push_back({{"op", "add"}, {"path", (at / i).to_string()}, {"value", to[i]}});
  }
}

json Diff(const json& from, const json& to) {
  json patch = json::array();
  AppendLineDiff(from["base"], to["base"], json::json_pointer("/base"), &patch);
  const json::json_pointer root("/overlays");
  for (const auto& [site, lines] : from["overlays"].items()) {
    if (!to["overlays"].contains(site)) {
      patch.push_back({{"op", "remove"}, {"path", (root / site).to_string()}});
    }
  }
  for (const auto& [site, lines] : to["overlays"].items()) {
    const auto before = from["overlays"].find(site);
    if (before == from["overlays"].end()) {
      patch.push_back({{"op", "add"}, {"path", (root / site).to_string()}, {"value", lines}});
    } else {
      AppendLineDiff(*before, lines, root / site, &patch);
    }
  }
  return patch;
}

Error Malformed(const std::string& detail) {
  return {ControlStateErrc::kMalformedCommand, "configuration update: " + detail};
}

}  // namespace

json MakeConfigurationUpdate(const std::optional<RevisedDocument>& from,
                             const RevisedDocument& to) {
  const json target = ToLineForm(to.document);
  json update = {{"revision", to.revision}, {"checksum", Checksum(target)}};
  if (from) {
    update["from"] = from->revision;
    update["patch"] = Diff(ToLineForm(from->document), target);
  } else {
    update["document"] = target;
  }
  return update;
}

Result<RevisedDocument> ApplyConfigurationUpdate(const RevisedDocument& current,
                                                 const json& update) {
  try {
    json form;
    if (update.contains("patch")) {
      const std::uint64_t from = update.at("from");
      if (from != current.revision) {
        return Malformed("patch starts from revision " + std::to_string(from) +
                         ", the current revision is " + std::to_string(current.revision));
      }
      form = ToLineForm(current.document).patch(update.at("patch"));
    } else {
      form = update.at("document");
    }
    if (Checksum(form) != update.at("checksum")) return Malformed("checksum mismatch");
    return RevisedDocument{update.at("revision"), FromLineForm(form)};
  } catch (const json::exception& failure) {
    return Malformed(failure.what());
  }
}

}  // namespace corneltray
