#include "process.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>

namespace siskinrack::test {
namespace {

constexpr int kSignalExitBase = 128;
constexpr int kExecFailedExitCode = 127;
constexpr mode_t kLogMode = 0644;

int ToExitCode(int status) {
  return WIFSIGNALED(status) ? kSignalExitBase + WTERMSIG(status) : WEXITSTATUS(status);
}

[[noreturn]] void RunChild(std::vector<std::string>& command, const std::string& log_file) {
  // The kernel kills the child when the thread that forked it ends, so that a killed test program
  // leaves no processes.
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  // An inherited listening socket would stay open in the child after the parent has closed it.
  close_range(STDERR_FILENO + 1, ~0U, 0);
  const int log = open(log_file.c_str(), O_CREAT | O_WRONLY | O_APPEND | O_CLOEXEC, kLogMode);
  dup2(log, STDOUT_FILENO);
  dup2(log, STDERR_FILENO);
  std::vector<char*> arguments;
  arguments.reserve(command.size() + 1);
  for (std::string& word : command) arguments.push_back(word.data());
  arguments.push_back(nullptr);
  execv(arguments.front(), arguments.data());
  _exit(kExecFailedExitCode);
}

}  // namespace

child_process::child_process(std::vector<std::string> command, std::string log_file)
    : log_file_(std::move(log_file)) {
  pid_ = fork();
  if (pid_ == 0) RunChild(command, log_file_);
}

child_process::~child_process() {
  if (Poll()) return;
  Signal(SIGKILL);
  Wait();
}

void child_process::Signal(int signal) const {
  if (!exit_code_ && pid_ > 0) kill(pid_, signal);
}

std::optional<int> child_process::Poll() {
  int status = 0;
  if (!exit_code_ && waitpid(pid_, &status, WNOHANG) == pid_) exit_code_ = ToExitCode(status);
  return exit_code_;
}

int child_process::Wait() {
  int status = 0;
  if (!exit_code_ && waitpid(pid_, &status, 0) == pid_) exit_code_ = ToExitCode(status);
  return exit_code_.value_or(-1);
}

}  // namespace siskinrack::test
