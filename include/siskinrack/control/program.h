#ifndef SISKINRACK_CONTROL_PROGRAM_H_
#define SISKINRACK_CONTROL_PROGRAM_H_

#include <iosfwd>
#include <span>
#include <string>

#include "siskinrack/support/settings.h"

namespace siskinrack::control {

/// Exit codes of siskinctl. Invalid input exits with support::kExitFindings.
inline constexpr int kExitOk = 0;
inline constexpr int kExitFailed = 1;
inline constexpr int kExitConflict = 3;
inline constexpr int kExitUnknown = 4;

/// Runs siskinctl: parses the command line, executes one command and prints its result to `out` and
/// errors to `err`. Returns the exit code. `environment_names` lists the variables with the prefix
/// "SISKINRACK_" that are set.
int RunProgram(std::span<const std::string> arguments,
               const support::environment_lookup& environment,
               std::span<const std::string> environment_names, std::ostream& out,
               std::ostream& err);

}  // namespace siskinrack::control

#endif  // SISKINRACK_CONTROL_PROGRAM_H_
