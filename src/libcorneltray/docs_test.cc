#include <doctest/doctest.h>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <regex>
#include <set>
#include <sstream>
#include <string>
#include <vector>

namespace corneltray {
namespace {

namespace fs = std::filesystem;

const fs::path kTop = CORNELTRAY_SOURCE_DIR;

std::string ReadFile(const fs::path& path) {
  std::ifstream file(path);
  REQUIRE_MESSAGE(file.good(), path.string());
  return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

// Returns the first group of every match.
std::set<std::string> FindAll(const std::string& text, const char* pattern) {
  const std::regex regex(pattern);
  std::set<std::string> found;
  for (std::sregex_iterator it(text.begin(), text.end(), regex), end; it != end; ++it) {
    found.insert((*it)[1].str());
  }
  return found;
}

// Folders whose sources end up in the programs.
const char* const kSourceFolders[] = {"src", "platform"};

bool EndsWith(const std::string& text, const std::string& end) {
  return text.size() >= end.size() && text.compare(text.size() - end.size(), end.size(), end) == 0;
}

std::set<std::string> TestCaseNames() {
  std::set<std::string> names;
  for (const char* folder : kSourceFolders) {
    for (const auto& entry : fs::recursive_directory_iterator(kTop / folder)) {
      if (!EndsWith(entry.path().string(), "_test.cc")) continue;
      names.merge(FindAll(ReadFile(entry.path()), "TEST_CASE\\(\\s*\"([^\"]+)\""));
    }
  }
  return names;
}

// The text of all sources but tests.
std::string ProgramSources() {
  std::string text;
  for (const char* folder : kSourceFolders) {
    for (const auto& entry : fs::recursive_directory_iterator(kTop / folder)) {
      const std::string path = entry.path().string();
      if (EndsWith(path, ".cc") && !EndsWith(path, "_test.cc")) text += ReadFile(entry.path());
    }
  }
  return text;
}

std::vector<nlohmann::json> LogLines(const std::string& page) {
  std::vector<nlohmann::json> lines;
  std::istringstream stream(page);
  for (std::string line; std::getline(stream, line);) {
    if (line.rfind("    {\"event\"", 0) == 0) lines.push_back(nlohmann::json::parse(line));
  }
  return lines;
}

// Guards against a guide to the logs that shows lines which the programs no longer write.
TEST_CASE("the log lines shown in docs/OPERATIONS.md are those of the programs") {
  const std::string sources = ProgramSources();
  const std::vector<nlohmann::json> lines = LogLines(ReadFile(kTop / "docs/OPERATIONS.md"));
  CHECK(lines.size() >= 9);
  for (const nlohmann::json& line : lines) {
    const std::string event = line.at("event");
    CAPTURE(event);
    const std::size_t at = sources.find("\"" + event + "\"");
    REQUIRE(at != std::string::npos);
    for (const auto& item : line.items()) {
      const std::string& field = item.key();
      CAPTURE(field);
      CHECK(sources.find("\"" + field + "\"") != std::string::npos);
    }
  }
}

// Guards against an event that an operator cannot look up.
TEST_CASE("docs/metrics.md names every event that the programs log") {
  const std::string page = ReadFile(kTop / "docs/metrics.md");
  const std::string sources = ProgramSources();
  for (const std::string& event :
       FindAll(sources, "LogEvent\\(LogLevel::k[A-Za-z]+, \"([a-z_]+)\"")) {
    CAPTURE(event);
    CHECK(page.find("`" + event + "`") != std::string::npos);
  }
}

// Guards against a page of proofs that names tests which were renamed or removed.
TEST_CASE("every test named in docs/PROOFS.md exists") {
  const std::string page = ReadFile(kTop / "docs/PROOFS.md");
  const std::string rows = page.substr(page.find("## Requirements"));

  SUBCASE("unit tests") {
    const std::set<std::string> cases = TestCaseNames();
    const std::set<std::string> named = FindAll(rows, "\"([^\"]+)\"");
    CHECK(named.size() > 20);
    for (const std::string& name : named) {
      CAPTURE(name);
      // Two quoted words stand for an outcome, not for a test.
      CHECK((name == "not run" || cases.count(name) == 1));
    }
  }
  SUBCASE("end-to-end cases") {
    for (const std::string& name : FindAll(rows, "`testsuite/([^`]+)`")) {
      CAPTURE(name);
      CHECK(fs::exists(kTop / "testsuite" / name / "run.py"));
    }
  }
  SUBCASE("variants of the models") {
    const std::string check = ReadFile(kTop / "spec/check.sh");
    for (const std::string& name : FindAll(rows, "`(BROKEN_[A-Z_]+)`")) {
      CAPTURE(name);
      CHECK(check.find("-D" + name) != std::string::npos);
    }
  }
}

}  // namespace
}  // namespace corneltray
