#ifndef SISKINRACK_TEST_SCENARIO_RUNNER_PROCESS_H_
#define SISKINRACK_TEST_SCENARIO_RUNNER_PROCESS_H_

#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

namespace siskinrack::test {

/// Owns a child process whose standard output and error are appended to a file. The destructor
/// kills the process and waits for it. The kernel kills the process if the thread that started it
/// ends.
class child_process {
 public:
  /// Starts `command`, whose first element is the path of the program. If the program can't be
  /// started, the process ends with exit code 127.
  child_process(std::vector<std::string> command, std::string log_file);
  ~child_process();
  child_process(const child_process&) = delete;
  child_process& operator=(const child_process&) = delete;

  /// Sends a signal; no effect once `Poll` or `Wait` has returned an exit code.
  void Signal(int signal) const;
  /// Returns the exit code if the process has ended: 128 plus the signal number if a signal ended
  /// it. Doesn't block.
  std::optional<int> Poll();
  /// Blocks until the process has ended and returns its exit code as `Poll` does; -1 on failure.
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
