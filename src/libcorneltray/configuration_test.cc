#include "corneltray/configuration.h"

#include <doctest/doctest.h>

namespace corneltray {
namespace {

constexpr char kBase[] = R"(
[[model]]
name = "assistant"
version = "1"
layers = 24
bytes_per_layer = 1000

[[customer]]
name = "mosque-committee"
key = "0123456789abcdef"
)";

TEST_CASE("a configuration document is validated and merged with its overlays") {
  ConfigurationDocument document{kBase, {}};

  SUBCASE("a valid base gets its defaults") {
    const ParsedDocument parsed = ParseConfiguration(document, "dkr");
    REQUIRE(parsed.issues.empty());
    const Configuration config = MakeConfiguration(parsed.values, "dkr", 7);
    CHECK(config.revision == 7);
    CHECK(config.models.at("assistant").layers == 24);
    CHECK(config.limits.default_deadline_ms == 30'000);
    CHECK(parsed.origins.at("limits.default_deadline_ms") == "default");
    CHECK(parsed.origins.at("model[assistant].layers") == "base:5");

    SUBCASE("the overlay of a site replaces single values") {
      document.overlays = {{"dkr", "[[model]]\nname = \"assistant\"\nlayers = 30\n"}};
      const ParsedDocument merged = ParseConfiguration(document, "dkr");
      REQUIRE(merged.issues.empty());
      CHECK(merged.values["model"]["assistant"]["layers"] == 30);
      CHECK(merged.values["model"]["assistant"]["version"] == "1");
      CHECK(merged.origins.at("model[assistant].layers") == "overlay dkr:3");
    }
    SUBCASE("the overlay of another site has no effect") {
      document.overlays = {{"karachi", "[[model]]\nname = \"assistant\"\nlayers = 30\n"}};
      const ParsedDocument other = ParseConfiguration(document, "dkr");
      CHECK(other.values["model"]["assistant"]["layers"] == 24);
    }
  }

  // Guards against accepting an invalid document, which would become active at every site.
  SUBCASE("each issue is reported with its file, line and key") {
    struct InvalidOverlay {
      const char* text;
      std::uint32_t line;
      const char* key;
    };
    const InvalidOverlay invalid_overlays[] = {
        {"[limits]\nmax_body_byte = 5000\n", 2, "limits.max_body_byte"},
        {"[limits]\nmax_body_bytes = \"big\"\n", 2, "limits.max_body_bytes"},
        {"[limits]\nmax_body_bytes = 1\n", 2, "limits.max_body_bytes"},
        {"\n[limit]\nmax_body_bytes = 5000\n", 2, "limit"},
        {"[[customer]]\nkey = \"0123456789abcdef\"\n", 1, "customer[].name"},
        {"[limits\n", 1, ""},
    };
    for (const InvalidOverlay& invalid : invalid_overlays) {
      CAPTURE(invalid.text);
      document.overlays = {{"dkr", invalid.text}};
      const std::vector<DocumentIssue> issues = ValidateConfiguration(document);
      REQUIRE(issues.size() == 1);
      CHECK(issues[0].file == "overlay dkr");
      CHECK(issues[0].line == invalid.line);
      CHECK(issues[0].key == invalid.key);
    }
  }

  // Guards against charging and limiting one customer as another.
  SUBCASE("two customers cannot share a key") {
    document.overlays = {{"dkr", "[[customer]]\nname = \"other\"\nkey = \"0123456789abcdef\"\n"}};
    const std::vector<DocumentIssue> issues = ValidateConfiguration(document);
    REQUIRE(issues.size() == 1);
    CHECK(issues[0].key == "customer[other].key");
  }
}

}  // namespace
}  // namespace corneltray
