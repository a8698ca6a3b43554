#include "report.h"

#include <unistd.h>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <iterator>
#include <sstream>

namespace siskinrack::bench {

void Print(const std::string& name, double value, std::string_view unit) {
  std::cout << name << ' ' << value << ' ' << unit << std::endl;
}

double Quantile(std::vector<double> values, double fraction) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  return values[static_cast<std::size_t>(fraction * static_cast<double>(values.size() - 1))];
}

double GetCpuSeconds(pid_t pid) {
  std::ifstream in("/proc/" + std::to_string(pid) + "/stat");
  std::string text((std::istreambuf_iterator<char>(in)), {});
  std::istringstream fields(text.substr(text.rfind(')') + 2));
  std::string skipped;
  // The name of the program ends with the last parenthesis. The times are fields 14 and 15 of
  // proc_pid_stat(5), and the fields after the name begin with field 3.
  constexpr int kFieldsBeforeTimes = 11;
  for (int i = 0; i < kFieldsBeforeTimes; ++i) fields >> skipped;
  double user = 0;
  double system = 0;
  fields >> user >> system;
  return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

}  // namespace siskinrack::bench
