#ifndef CORNELTRAY_BENCH_LINEAR_PROGRAM_H_
#define CORNELTRAY_BENCH_LINEAR_PROGRAM_H_

#if __has_include(<coin/ClpSimplex.hpp>)
#include <coin/ClpSimplex.hpp>
#include <coin/CoinPackedMatrix.hpp>
#else
#include <ClpSimplex.hpp>
#include <CoinPackedMatrix.hpp>
#endif
#include <vector>

namespace corneltray::bench {

// A linear program in the form that CLP loads.
struct LinearProgram {
  explicit LinearProgram(int columns)
      : lower(columns, 0.0), upper(columns, COIN_DBL_MAX), objective(columns, 0.0) {}

  void AddRow(double row_low, double row_high) {
    row_lower.push_back(row_low);
    row_upper.push_back(row_high);
  }
  // Adds an entry to the row that was added last.
  void AddEntry(int column, double value) {
    entry_rows.push_back(static_cast<int>(row_lower.size()) - 1);
    entry_columns.push_back(column);
    entry_values.push_back(value);
  }
  double Minimum() const {
    const CoinPackedMatrix matrix(true, entry_rows.data(), entry_columns.data(),
                                  entry_values.data(),
                                  static_cast<CoinBigIndex>(entry_values.size()));
    ClpSimplex solver;
    solver.setLogLevel(0);
    solver.loadProblem(matrix, lower.data(), upper.data(), objective.data(), row_lower.data(),
                       row_upper.data());
    solver.dual();
    return solver.objectiveValue();
  }

  std::vector<double> lower;
  std::vector<double> upper;
  std::vector<double> objective;
  std::vector<double> row_lower;
  std::vector<double> row_upper;
  std::vector<int> entry_rows;
  std::vector<int> entry_columns;
  std::vector<double> entry_values;
};

}  // namespace corneltray::bench

#endif  // CORNELTRAY_BENCH_LINEAR_PROGRAM_H_
