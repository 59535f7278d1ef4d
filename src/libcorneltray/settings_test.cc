#include "corneltray/settings.h"

#include <doctest/doctest.h>

#include <fstream>
#include <sstream>

#include "corneltray/configuration.h"

namespace corneltray {
namespace {

// Returns the text of a file of the source tree; the build defines where the tree is.
std::string ReadSource(const std::string& path) {
  std::ifstream file(std::string(CORNELTRAY_SOURCE_DIR) + "/" + path);
  REQUIRE_MESSAGE(file.good(), path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

TEST_CASE("a process reads its settings from one file") {
  const std::string good = ReadSource("examples/entry.toml");
  std::vector<DocumentIssue> issues;

  SUBCASE("and the examples are valid") {
    for (const char* name : {"entry", "control", "placement"}) {
      CAPTURE(name);
      const std::string path = std::string("examples/") + name + ".toml";
      const HostSettings settings = ParseHostSettings({path, ReadSource(path)}, &issues);
      CHECK(issues.empty());
      CHECK(settings.availability_zone == "dkr-a");
    }
  }

  // Guards against a process that starts with a default where its operator wrote a value.
  SUBCASE("and a mistyped key is reported with its line") {
    std::string text = good;
    text.replace(text.find("threads"), 7, "thread");
    ParseHostSettings({"entry.toml", text}, &issues);
    REQUIRE(issues.size() == 1);
    CHECK(issues[0].ToString() == "entry.toml:11: http.thread: unknown key");
  }

  // Guards against a pace that stays on although its operator wrote another word for off.
  SUBCASE("and a mode of the pace that does not exist is reported") {
    CHECK(ParseHostSettings({"entry.toml", good}, &issues).pace_mode == PaceMode::kAuto);
    const std::string off = good + "\n[pace]\nmode = \"off\"\n";
    CHECK(ParseHostSettings({"entry.toml", off}, &issues).pace_mode == PaceMode::kOff);
    CHECK(issues.empty());
    ParseHostSettings({"entry.toml", good + "\n[pace]\nmode = \"none\"\n"}, &issues);
    REQUIRE(issues.size() == 1);
    CHECK(issues[0].key == "pace.mode");
  }

  // Guards against a port that is taken modulo 65536, and a name where only IP addresses work.
  SUBCASE("and an address that cannot be used is reported with its line") {
    for (const char* bad : {"10.0.1.11:99999", "10.0.1.11:", "10.0.1.11", "10.0.1:80", "host:80",
                            "10.0.1.11:8o", "10.0.1.11:-1", "[::1:80"}) {
      CAPTURE(bad);
      issues.clear();
      std::string text = good;
      text.replace(text.find("10.0.1.11:8080"), 14, bad);
      ParseHostSettings({"entry.toml", text}, &issues);
      REQUIRE(issues.size() == 1);
      CHECK(issues[0].key == "http.address");
      CHECK(issues[0].line == 10);
    }
  }

  SUBCASE("and a missing key is reported") {
    std::string text = good;
    text.erase(text.find("availability_zone"),
               text.find("\n\n[http]") - text.find("availability_zone"));
    ParseHostSettings({"entry.toml", text}, &issues);
    REQUIRE(issues.size() == 1);
    CHECK(issues[0].key == "host.availability_zone");
  }

  SUBCASE("and a file that cannot be read is reported") {
    LoadHostSettings("/nonexistent/settings.toml", &issues);
    REQUIRE(issues.size() == 1);
    CHECK(issues[0].line == 0);
  }
}

TEST_CASE("the example configuration is valid for both sites") {
  const ConfigurationDocument document{ReadSource("examples/base.toml"),
                                       {{"dkr", ReadSource("examples/overlay-dkr.toml")},
                                        {"karachi", ReadSource("examples/overlay-karachi.toml")}}};
  for (const DocumentIssue& issue : ValidateConfiguration(document)) FAIL(issue.ToString());
}

// Guards against documentation that names a key the programs do not know, or misses one.
TEST_CASE("docs/settings.md lists exactly the keys of the programs") {
  const std::string page = ReadSource("docs/settings.md");
  std::size_t keys = 0;
  for (const auto* schema : {&HostSettingsSchema(), &ConfigurationSchema()}) {
    for (const KeySpec& spec : *schema) {
      CAPTURE(spec.path);
      const std::size_t row = page.find("| `" + std::string(spec.path) + "` |");
      REQUIRE(row != std::string::npos);
      const std::string line = page.substr(row, page.find('\n', row) - row);
      const std::string value =
          spec.required ? "| required |" : "| `" + std::string(spec.default_json) + "` |";
      CHECK(line.find(value) != std::string::npos);
      CHECK(line.find(spec.help) != std::string::npos);
      ++keys;
    }
  }
  std::size_t rows = 0;
  std::size_t at = page.find("\n| `");
  while (at != std::string::npos) {
    ++rows;
    at = page.find("\n| `", at + 1);
  }
  CHECK(rows == keys);
}

}  // namespace
}  // namespace corneltray
