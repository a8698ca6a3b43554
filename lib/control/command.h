#ifndef SISKINRACK_LIB_CONTROL_COMMAND_H_
#define SISKINRACK_LIB_CONTROL_COMMAND_H_

#include <boost/json/object.hpp>
#include <boost/leaf/result.hpp>
#include <string>
#include <vector>

#include "siskinrack/control/program.h"
#include "siskinrack/support/findings.h"
#include "siskinrack/support/settings.h"

namespace siskinrack::control {

namespace leaf = boost::leaf;
namespace json = boost::json;

class control_client;

/// Holds the result of a command. The setting "output" selects whether `text` or `data` is printed.
struct command_report {
  std::string text;
  json::object data;
  /// Problems that don't prevent a result, for example a node that didn't respond; printed to
  /// standard error.
  std::vector<std::string> warnings;
  int exit_code = kExitOk;
};

/// LEAF error object that every command reports on failure.
struct command_error {
  int exit_code = kExitFailed;
  std::string message;
  support::findings problems;
  /// Lines that explain the error, for example the changes since a plan's base version.
  std::vector<std::string> details;
};

/// Holds the parsed command line: the arguments after the command's name, and the settings.
struct command_input {
  std::vector<std::string> arguments;
  const support::settings& values;
};

using command_result = leaf::result<command_report>;

// Each of these functions executes one command. See command_table.h for what they do.
command_result Validate(control_client& client, const command_input& input);
command_result Apply(control_client& client, const command_input& input);
command_result Confirm(control_client& client, const command_input& input);
command_result Diff(control_client& client, const command_input& input);
command_result ListPlans(control_client& client, const command_input& input);
command_result ShowStatus(control_client& client, const command_input& input);
command_result ListUpstreams(control_client& client, const command_input& input);
command_result ListQuarantine(control_client& client, const command_input& input);
command_result ReleaseQuarantine(control_client& client, const command_input& input);
command_result ShowTimeline(control_client& client, const command_input& input);
command_result PrintBashCompletion(control_client& client, const command_input& input);

/// Returns an error for invalid input, with one finding at `place`.
leaf::error_id MakeInputError(std::string place, std::string message, std::string hint = {});

/// Formats `rows` as a table with aligned columns. The first row is the header.
std::string FormatTable(const std::vector<std::vector<std::string>>& rows);

}  // namespace siskinrack::control

#endif  // SISKINRACK_LIB_CONTROL_COMMAND_H_
