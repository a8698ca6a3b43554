// scenario_runner BINARIES FILE [SEED]: runs one scenario with the programs in folder BINARIES.
// test/scenarios/README.md describes the language. Exits with 0 if every step and every check
// passed, with 1 if one failed or FILE isn't a scenario, and with 2 if an argument is missing.
// Keeps the logs of a failed run and prints their folder.

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>

#include "runner.h"

namespace siskinrack::test {
namespace {

constexpr std::uint64_t kDefaultSeed = 20261204;

int Main(std::span<const std::string> arguments) {
  if (arguments.size() < 2) {
    std::cerr << "usage: scenario_runner BINARIES FILE [SEED]\n";
    return support::kExitFindings;
  }
  const std::filesystem::path file = arguments[1];
  std::ifstream in(file);
  std::ostringstream text;
  text << in.rdbuf();
  support::findings problems;
  if (!in) problems.Add(file.string(), "can't be read");
  const auto steps = ParseScenario(file.string(), text.str(), problems);
  const std::uint64_t seed =
      arguments.size() > 2 ? std::strtoull(arguments[2].c_str(), nullptr, 10) : kDefaultSeed;
  std::cout << "seed=" << seed << std::endl;
  std::string work = (std::filesystem::temp_directory_path() / "siskinrack-XXXXXX").string();
  if (problems.empty() && mkdtemp(work.data()) == nullptr) problems.Add(work, "can't be created");
  if (problems.empty()) {
    fleet processes(arguments[0], work, seed);
    runner(processes, std::filesystem::absolute(file).parent_path(), seed).Run(steps, problems);
  }
  if (!problems.empty()) {
    std::cout << problems << "logs: " << work << std::endl;
    return EXIT_FAILURE;
  }
  std::filesystem::remove_all(work);
  std::cout << "scenario passed" << std::endl;
  return EXIT_SUCCESS;
}

}  // namespace
}  // namespace siskinrack::test

int main(int argc, char** argv) {
  const std::vector<std::string> arguments(argv + 1, argv + argc);
  return siskinrack::test::Main(arguments);
}
