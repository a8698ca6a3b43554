#ifndef SISKINRACK_UTILS_BENCH_REPORT_H_
#define SISKINRACK_UTILS_BENCH_REPORT_H_

#include <sys/types.h>

#include <string>
#include <string_view>
#include <vector>

namespace siskinrack::bench {

/// Prints one figure to standard output as a line "name value unit".
void Print(const std::string& name, double value, std::string_view unit);

/// Returns the quantile `fraction` (0 to 1) of `values`, or 0 if there are no values.
double Quantile(std::vector<double> values, double fraction);

/// Returns the user and system processor time in seconds that the running process `pid` has used so
/// far.
double GetCpuSeconds(pid_t pid);

}  // namespace siskinrack::bench

#endif  // SISKINRACK_UTILS_BENCH_REPORT_H_
