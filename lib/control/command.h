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

class session;

/// What a command prints: `text` or `data`, depending on the setting "output".
struct command_report {
  std::string text;
  json::object data;
  /// Parts of the answer that are missing; printed to standard error.
  std::vector<std::string> warnings;
  int exit_code = kExitOk;
};

/// The error object of every command.
struct command_error {
  int exit_code = kExitFailed;
  std::string message;
  support::findings problems;
  /// Lines that explain the error, for example what changed since a plan's base.
  std::vector<std::string> details;
};

/// Values of the command line: the arguments behind the command's name, and the settings.
struct command_input {
  std::vector<std::string> arguments;
  const support::settings& values;
};

using command_result = leaf::result<command_report>;

command_result Validate(session& platform, const command_input& input);
command_result Apply(session& platform, const command_input& input);
command_result Confirm(session& platform, const command_input& input);
command_result Diff(session& platform, const command_input& input);
command_result Plans(session& platform, const command_input& input);
command_result Status(session& platform, const command_input& input);
command_result Upstreams(session& platform, const command_input& input);
command_result QuarantineList(session& platform, const command_input& input);
command_result QuarantineRelease(session& platform, const command_input& input);
command_result Timeline(session& platform, const command_input& input);
command_result CompletionBash(session& platform, const command_input& input);

/// Bad input: one finding at `place`.
leaf::error_id BadInput(std::string place, std::string message, std::string hint = {});

/// `rows` as columns of equal width; the first row is the header.
std::string FormatTable(const std::vector<std::vector<std::string>>& rows);

}  // namespace siskinrack::control

#endif  // SISKINRACK_LIB_CONTROL_COMMAND_H_
