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

/// Blocks the signals that end the process in every thread, so that Main can wait for them.
sigset_t BlockEndSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGHUP);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  return signals;
}

int Fail(const findings& problems) {
  std::cerr << problems;
  return kExitFindings;
}

/// --help works without the required settings, but not next to a mistyped one.
bool OnlyMissingSettings(const findings& problems) {
  const auto items = problems.items();
  return std::all_of(items.begin(), items.end(), [](const auto& item) {
    return item.message == siskinrack::support::kMissingSettingText;
  });
}

/// Waits for the signal that ends the process; SIGHUP runs `reload`.
template <typename Reload>
void AwaitEnd(const sigset_t& signals, Reload reload) {
  int received = 0;
  while (sigwait(&signals, &received) == 0 && received == SIGHUP) reload();
}

/// Ends without destructors: loops that wait for peers or the platform are still suspended, and
/// there is nothing left to save.
[[noreturn]] void End() {
  std::cout.flush();
  std::_Exit(EXIT_SUCCESS);
}

/// Gives memory back that a burst or a large configuration needed. By default the C library raises
/// the size from which blocks are mapped on their own, and fiber stacks then stay in the heap.
void KeepMemorySmall() {
  constexpr int kMapFromBytes = 64 * 1024;
  constexpr int kTrimFromBytes = 128 * 1024;
  mallopt(M_MMAP_THRESHOLD, kMapFromBytes);
  mallopt(M_TRIM_THRESHOLD, kTrimFromBytes);
}

/// The node as the users' platform starts it.
int RunOnPlatform(const std::string& settings_path) {
  KeepMemorySmall();
  findings problems;
  const sigset_t signals = BlockEndSignals();
  siskinrack::mesh::mesh_node process(settings_path, problems);
  if (!problems.empty()) return Fail(problems);
  process.Start(problems);
  if (!problems.empty()) {
    Fail(problems);
    std::_Exit(kExitFindings);
  }
  AwaitEnd(signals, [&process] { process.Reload(); });
  process.Drain();
  End();
}

int Main(std::span<const std::string> arguments) {
  namespace node = siskinrack::node;
  namespace support = siskinrack::support;
  const auto declared = node::NodeSettingDeclarations();
  findings problems;
  const auto values =
      support::settings::Parse(declared, arguments, support::GetEnvironmentVariable, problems);
  support::CheckEnvironmentNames(node::KnownEnvironmentNames(), support::ListEnvironmentVariables(),
                                 problems);
  const bool help = std::find(arguments.begin(), arguments.end(), "--help") != arguments.end();
  if (help && OnlyMissingSettings(problems)) {
    std::cout << "siskinrack-node: serves callers and one upstream\n"
              << support::DescribeOptions(declared);
    return EXIT_SUCCESS;
  }
  for (const std::string& argument : values.positional()) {
    problems.Add(argument, "unexpected argument");
  }
  if (!problems.empty()) return Fail(problems);
  node::node_settings settings = node::MakeNodeSettings(values, problems);
  if (!problems.empty()) return Fail(problems);
  if (values.flag("print-settings")) {
    std::cout << values.Describe(declared);
    return EXIT_SUCCESS;
  }
  const sigset_t signals = BlockEndSignals();
  node::node process(std::move(settings));
  process.Start(problems);
  if (!problems.empty()) {
    Fail(problems);
    std::_Exit(kExitFindings);
  }
  // Flags and environment don't change while the process runs.
  AwaitEnd(signals, [] {});
  process.Drain();
  End();
}

}  // namespace

int main(int argc, char** argv) {
  const std::vector<std::string> arguments(argv + 1, argv + argc);
  const auto settings_path = siskinrack::mesh::PlatformSettingsPath();
  if (settings_path && arguments.empty()) return RunOnPlatform(*settings_path);
  return Main(arguments);
}
