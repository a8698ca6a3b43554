#include <malloc.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <iostream>

#include "siskinrack/mesh/mesh_node.h"
#include "siskinrack/node/node.h"

namespace {

using siskinrack::support::findings;
using siskinrack::support::kExitFindings;

/// Blocks SIGTERM, SIGINT and SIGHUP, also in threads that are started later, so that
/// WaitForTermination receives them. Returns the blocked signals.
sigset_t BlockSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGHUP);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  return signals;
}

/// Writes `problems` to standard error and returns the exit code.
int ReportFindings(const findings& problems) {
  std::cerr << problems;
  return kExitFindings;
}

/// Returns true if every finding is a missing required setting. --help ignores these, but not an
/// unknown or invalid setting.
bool HasOnlyMissingSettings(const findings& problems) {
  const auto items = problems.items();
  return std::all_of(items.begin(), items.end(), [](const auto& problem) {
    return problem.message == siskinrack::support::kMissingSettingText;
  });
}

/// Waits for SIGTERM or SIGINT. Calls `reload` for each SIGHUP.
template <typename Reload>
void WaitForTermination(const sigset_t& signals, Reload reload) {
  int received = 0;
  while (sigwait(&signals, &received) == 0 && received == SIGHUP) reload();
}

/// Exits without running destructors: loops that wait for peers or the platform are still
/// suspended, and no state is left to save.
[[noreturn]] void ExitWithoutCleanup() {
  std::cout.flush();
  std::_Exit(EXIT_SUCCESS);
}

/// Bounds of the memory that malloc keeps after it has been freed. Both are fixed: by default,
/// glibc raises them when large blocks are freed, and large bodies then fragment the heap.
struct malloc_thresholds {
  /// Blocks of at least this size are returned to the system when they are freed.
  int mmap_bytes;
  /// Free space at the end of the heap that is kept.
  int trim_bytes;
};
/// Returns fiber stacks (128 KiB) to the system as well, because memory has a price on the
/// platform.
constexpr malloc_thresholds kPlatformThresholds{64 * 1024, 128 * 1024};
/// Keeps fiber stacks in the heap, because returning them takes processor time for each request.
constexpr malloc_thresholds kOwnThresholds{256 * 1024, 8 * 1024 * 1024};

void ConfigureMalloc(const malloc_thresholds& thresholds) {
  mallopt(M_MMAP_THRESHOLD, thresholds.mmap_bytes);
  mallopt(M_TRIM_THRESHOLD, thresholds.trim_bytes);
}

/// Runs the node as the platform starts it: without arguments, configured by the settings file.
int RunWithSettingsFile(const std::string& settings_path) {
  ConfigureMalloc(kPlatformThresholds);
  findings problems;
  const sigset_t signals = BlockSignals();
  siskinrack::mesh::mesh_node process(settings_path, problems);
  if (!problems.empty()) return ReportFindings(problems);
  process.Start(problems);
  if (!problems.empty()) {
    ReportFindings(problems);
    std::_Exit(kExitFindings);
  }
  WaitForTermination(signals, [&process] { process.Reload(); });
  process.Drain();
  ExitWithoutCleanup();
}

/// Runs the node with settings from the command line and the environment.
int RunWithArguments(std::span<const std::string> arguments) {
  namespace node = siskinrack::node;
  namespace support = siskinrack::support;
  const auto declared = node::GetNodeSettingDeclarations();
  findings problems;
  const auto values =
      support::settings::Parse(declared, arguments, support::GetEnvironmentVariable, problems);
  support::CheckEnvironmentNames(node::ListKnownEnvironmentNames(),
                                 support::ListEnvironmentVariables(), problems);
  const bool help = std::find(arguments.begin(), arguments.end(), "--help") != arguments.end();
  if (help && HasOnlyMissingSettings(problems)) {
    std::cout << "siskinrack-node: serves callers and one upstream\n"
              << support::DescribeOptions(declared);
    return EXIT_SUCCESS;
  }
  for (const std::string& argument : values.positional()) {
    problems.Add(argument, "unexpected argument");
  }
  if (!problems.empty()) return ReportFindings(problems);
  node::node_settings settings = node::MakeNodeSettings(values, problems);
  if (!problems.empty()) return ReportFindings(problems);
  if (values.flag("print-settings")) {
    std::cout << values.Describe(declared);
    return EXIT_SUCCESS;
  }
  ConfigureMalloc(kOwnThresholds);
  const sigset_t signals = BlockSignals();
  node::node process(std::move(settings));
  process.Start(problems);
  if (!problems.empty()) {
    ReportFindings(problems);
    std::_Exit(kExitFindings);
  }
  // SIGHUP is ignored: flags and environment don't change while the process runs.
  WaitForTermination(signals, [] {});
  process.Drain();
  ExitWithoutCleanup();
}

}  // namespace

int main(int argc, char** argv) {
  const std::vector<std::string> arguments(argv + 1, argv + argc);
  const auto settings_path = siskinrack::mesh::FindPlatformSettingsPath();
  if (settings_path && arguments.empty()) return RunWithSettingsFile(*settings_path);
  return RunWithArguments(arguments);
}
