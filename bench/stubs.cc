#include "report.h"
namespace corneltray::bench {
void RunRoutingBench(Report*) {}
void RunOverloadBench(Report*) {}
void RunMembershipBench(Report*) {}
}  // namespace corneltray::bench
