#ifndef SISKINRACK_UTILS_BENCH_REPORT_H_
#define SISKINRACK_UTILS_BENCH_REPORT_H_

#include <sys/types.h>

#include <string>
#include <string_view>
#include <vector>

namespace siskinrack::bench {

/// Prints one figure as a line "name value unit".
void Print(const std::string& name, double value, std::string_view unit);

/// Value below which `share` (0 to 1) of the values lie; 0 if there are none.
double Quantile(std::vector<double> values, double share);

/// Processor seconds used so far by a process of this run.
double CpuSeconds(pid_t pid);

}  // namespace siskinrack::bench

#endif  // SISKINRACK_UTILS_BENCH_REPORT_H_
