#ifndef SISKINRACK_LIB_CONTROL_COMMAND_TABLE_H_
#define SISKINRACK_LIB_CONTROL_COMMAND_TABLE_H_

#include <span>
#include <string>
#include <vector>

#include "command.h"

namespace siskinrack::control {

/// Describes one siskinctl command.
struct command_spec {
  /// One or two words, for example "quarantine list".
  std::string name;
  /// Placeholders of the positional arguments, for example {"FILE"}.
  std::vector<std::string> arguments;
  std::string summary;
  /// Further lines of help; may be empty.
  std::string details;
  /// Names of the settings that the command accepts in addition to the common ones.
  std::vector<std::string> settings;
  command_result (*run)(control_client&, const command_input&);
};

/// Returns all commands, in the order of the help text.
std::span<const command_spec> Commands();

/// Returns the settings that `command` accepts, or all settings if it is null.
std::vector<support::setting> SettingsFor(const command_spec* command);

/// Returns the command whose name `words` starts with, or null.
const command_spec* FindCommand(std::span<const std::string> words);

/// Returns the number of words in the command's name.
std::size_t WordCount(const command_spec& command);

/// Returns the help text of `command`, or of the whole program if it is null.
std::string HelpText(const command_spec* command);

/// Returns a bash script that completes commands, settings and files.
std::string BashCompletion();

}  // namespace siskinrack::control

#endif  // SISKINRACK_LIB_CONTROL_COMMAND_TABLE_H_
