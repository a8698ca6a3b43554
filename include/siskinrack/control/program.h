#ifndef SISKINRACK_CONTROL_PROGRAM_H_
#define SISKINRACK_CONTROL_PROGRAM_H_

#include <iosfwd>
#include <span>
#include <string>

#include "siskinrack/support/settings.h"

namespace siskinrack::control {

/// Exit codes of siskinctl. Invalid input and a failed call to the platform exit with
/// support::kExitFindings.
inline constexpr int kExitOk = 0;
/// The command failed, or its result is incomplete because a node didn't respond.
inline constexpr int kExitFailed = 1;
/// The plan to confirm is stale: its base is not the head, the newest accepted configuration.
inline constexpr int kExitConflict = 3;
/// The plan may have been accepted or not. Running the command again gives a definite result.
inline constexpr int kExitOutcomeUnknown = 4;

/// Runs siskinctl: parses the command line, executes one command and prints its result to `out` and
/// errors and warnings to `err`. Returns the exit code. `environment_names` lists the variables
/// with the prefix "SISKINRACK_" that are set; an unknown one is invalid input.
int RunProgram(std::span<const std::string> arguments,
               const support::environment_lookup& environment,
               std::span<const std::string> environment_names, std::ostream& out,
               std::ostream& err);

}  // namespace siskinrack::control

#endif  // SISKINRACK_CONTROL_PROGRAM_H_
