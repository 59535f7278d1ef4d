#ifndef CORNELTRAY_BENCH_REPORT_H_
#define CORNELTRAY_BENCH_REPORT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace corneltray::bench {

enum class Goal { kNone, kAtMost, kAtLeast };

// One measured value with what it is compared to.
struct Figure {
  std::string name;
  std::string seeds;
  double value = 0.0;
  std::string unit;
  std::string baseline;  // name and value of what it is compared to; may be empty
  Goal goal_kind = Goal::kNone;
  double goal = 0.0;
};

// Collects figures and prints each as it comes.
class Report {
 public:
  void Add(const Figure& figure);
  void Section(const std::string& title);
  // Number of figures that miss their goal.
  std::size_t Missed() const { return m_missed; }
  // Writes all figures as a JSON array. Returns false if the file cannot be written.
  bool WriteJson(const std::string& path) const;

 private:
  std::vector<Figure> m_figures;
  std::size_t m_missed = 0;
};

// Value below which a part of the sorted values lies. Sorts its argument.
double Quantile(std::vector<double>* values, double part);

std::string Number(double value);

void RunPlacementBench(Report* report);
void BenchLayouts(Report* report);
void RunRoutingBench(Report* report);
void RunOverloadBench(Report* report);
void RunMembershipBench(Report* report);
void RunCapacityBench(Report* report);

}  // namespace corneltray::bench

#endif  // CORNELTRAY_BENCH_REPORT_H_
