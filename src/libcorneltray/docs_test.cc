#include <doctest/doctest.h>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <regex>
#include <set>
#include <string>

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

std::set<std::string> TestCaseNames() {
  std::set<std::string> names;
  for (const auto& entry : fs::directory_iterator(kTop / "src/libcorneltray")) {
    const std::string name = entry.path().filename().string();
    if (name.size() < 8 || name.compare(name.size() - 8, 8, "_test.cc") != 0) continue;
    names.merge(FindAll(ReadFile(entry.path()), "TEST_CASE\\(\\s*\"([^\"]+)\""));
  }
  return names;
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
