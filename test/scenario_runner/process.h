#ifndef SISKINRACK_TEST_SCENARIO_RUNNER_PROCESS_H_
#define SISKINRACK_TEST_SCENARIO_RUNNER_PROCESS_H_

#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

namespace siskinrack::test {

/// A child process with its output appended to a file. The destructor ends it.
class child_process {
 public:
  child_process(std::vector<std::string> command, std::string log_file);
  ~child_process();
  child_process(const child_process&) = delete;
  child_process& operator=(const child_process&) = delete;

  void Signal(int signal) const;
  /// Exit code once the process has ended; 128 plus the signal if one ended it.
  std::optional<int> Poll();
  /// Waits for the end and returns the exit code.
  int Wait();
  [[nodiscard]] pid_t pid() const { return pid_; }
  [[nodiscard]] const std::string& log_file() const { return log_file_; }

 private:
  pid_t pid_ = -1;
  std::optional<int> exit_code_;
  std::string log_file_;
};

}  // namespace siskinrack::test

#endif  // SISKINRACK_TEST_SCENARIO_RUNNER_PROCESS_H_
