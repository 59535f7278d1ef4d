#ifndef CORNELTRAY_CONFIGURATION_H_
#define CORNELTRAY_CONFIGURATION_H_

#include <cstdint>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "corneltray/booking.h"
#include "corneltray/schema.h"

namespace corneltray {

// A model that a site serves.
struct ModelConfig {
  std::string name;
  std::string version;
  std::vector<std::string> adapters;
  std::uint32_t layers = 0;
  std::uint64_t bytes_per_layer = 0;
  std::uint64_t max_prompt_bytes = 0;
  std::uint32_t max_tokens = 0;
  double share = 1.0;  // weight when placement divides the engines of a zone among models
};

// A customer with its credentials and limits.
struct CustomerConfig {
  std::string name;
  std::string key;  // bearer token of its callers
  double requests_per_s = 0.0;
  double burst = 0.0;  // requests
  std::uint32_t priority = 0;
};

// An HTTP service other than the model engines.
struct ServiceConfig {
  std::string name;
  std::string lookup_path;  // path that looks up an outcome by {key}; may be empty
  std::vector<std::string> idempotent_calls;  // "METHOD /path-prefix"; GET and HEAD are implied
};

struct RoutingConfig {
  std::int64_t first_token_timeout_ms = 0;
  std::int64_t progress_timeout_ms = 0;
  double retry_budget_ratio = 0.0;
  double retry_budget_min_per_s = 0.0;
  double affinity_load_factor = 0.0;
  double max_ejected_ratio = 0.0;
};

struct LimitsConfig {
  std::uint64_t max_body_bytes = 0;
  std::int64_t default_deadline_ms = 0;
  std::int64_t max_deadline_ms = 0;
};

struct BookingConfig {
  std::int64_t retention_ms = 0;
  std::uint64_t max_stored_answer_bytes = 0;
  std::int64_t resolve_after_ms = 0;
};

// The validated configuration of one site at one revision, with defaults filled in. Immutable in
// use: a process replaces it as a whole when a higher revision becomes active.
struct Configuration {
  std::uint64_t revision = 0;
  std::string site;
  std::map<std::string, ModelConfig> models;
  std::map<std::string, CustomerConfig> customers;
  std::map<std::string, ServiceConfig> services;
  RoutingConfig routing;
  LimitsConfig limits;
  BookingConfig bookings;
};

// Returns the keys of the configuration. A test compares docs/settings.md with them.
const std::vector<KeySpec>& ConfigurationSchema();

// Merges the base with the overlay of one site, if there is one. Returns the values with defaults,
// the origin of each value and all issues, including references between tables.
ParsedDocument ParseConfiguration(const ConfigurationDocument& document, const std::string& site);

// Checks the base with each overlay, or the base alone if there are no overlays. Returns every
// issue found.
std::vector<DocumentIssue> ValidateConfiguration(const ConfigurationDocument& document);

// Converts the values of a document without issues to the typed form.
Configuration MakeConfiguration(const nlohmann::json& values, const std::string& site,
                                std::uint64_t revision);

}  // namespace corneltray

#endif  // CORNELTRAY_CONFIGURATION_H_
