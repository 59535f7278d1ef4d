#include "report.h"
namespace corneltray::bench {
void RunOverloadBench(Report*) {}
}  // namespace corneltray::bench
