#include "report.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <fstream>
#include <nlohmann/json.hpp>

namespace corneltray::bench {
namespace {

bool IsMissed(const Figure& figure) {
  if (figure.goal_kind == Goal::kAtMost) return !(figure.value <= figure.goal);
  if (figure.goal_kind == Goal::kAtLeast) return !(figure.value >= figure.goal);
  return false;
}

std::string GoalText(const Figure& figure) {
  if (figure.goal_kind == Goal::kNone) return "";
  const char* sign = figure.goal_kind == Goal::kAtMost ? "<= " : ">= ";
  return "  goal " + (sign + Number(figure.goal)) + (IsMissed(figure) ? "  MISSED" : "  met");
}

}  // namespace

std::string Number(double value) {
  char text[32];
  std::snprintf(text, sizeof(text), "%.4g", value);
  return text;
}

double Quantile(std::vector<double>* values, double part) {
  if (values->empty()) return 0.0;
  std::sort(values->begin(), values->end());
  const auto at = static_cast<std::size_t>(part * static_cast<double>(values->size()));
  return (*values)[std::min(at, values->size() - 1)];
}

void Report::Section(const std::string& title) {
  std::printf("\n%s\n", title.c_str());
  std::fflush(stdout);
}

void Report::Add(const Figure& figure) {
  m_figures.push_back(figure);
  if (IsMissed(figure)) ++m_missed;
  std::printf("  %-58s %10s %-9s seeds %s", figure.name.c_str(), Number(figure.value).c_str(),
              figure.unit.c_str(), figure.seeds.c_str());
  if (!figure.baseline.empty()) std::printf("  baseline %s", figure.baseline.c_str());
  std::printf("%s\n", GoalText(figure).c_str());
  std::fflush(stdout);
}

bool Report::WriteJson(const std::string& path) const {
  nlohmann::json all = nlohmann::json::array();
  for (const Figure& figure : m_figures) {
    nlohmann::json item = {{"name", figure.name},
                           {"seeds", figure.seeds},
                           {"value", figure.value},
                           {"unit", figure.unit},
                           {"baseline", figure.baseline}};
    if (figure.goal_kind != Goal::kNone) {
      item["goal"] = figure.goal;
      item["goal_kind"] = figure.goal_kind == Goal::kAtMost ? "at_most" : "at_least";
      item["missed"] = IsMissed(figure);
    }
    all.push_back(std::move(item));
  }
  std::ofstream file(path);
  file << all.dump(1) << "\n";
  return static_cast<bool>(file.flush());
}

}  // namespace corneltray::bench
