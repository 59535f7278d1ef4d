#include "report.h"
namespace corneltray::bench {
void RunOverloadBench(Report*) {}
void RunMembershipBench(Report*) {}
}  // namespace corneltray::bench
