#ifndef SISKINRACK_LIB_CONTROL_COMMAND_TABLE_H_
#define SISKINRACK_LIB_CONTROL_COMMAND_TABLE_H_

#include <span>
#include <string>
#include <vector>

#include "command.h"

namespace siskinrack::control {

/// One command of the program.
struct command_spec {
  /// One or two words, for example "quarantine list".
  std::string name;
  /// Names of the arguments, for example {"FILE"}.
  std::vector<std::string> arguments;
  std::string summary;
  /// More than one line of help; may be empty.
  std::string details;
  /// Names of the settings that the command has besides the common ones.
  std::vector<std::string> settings;
  command_result (*run)(session&, const command_input&);
};

std::span<const command_spec> Commands();

/// Settings that `command` takes; all settings if it is null.
std::vector<support::setting> SettingsOf(const command_spec* command);

/// The command that the words begin with, or null.
const command_spec* FindCommand(std::span<const std::string> words);

/// Number of words in the command's name.
std::size_t WordCount(const command_spec& command);

std::string HelpText(const command_spec* command);

/// Script for bash that completes commands, settings and files.
std::string BashCompletion();

}  // namespace siskinrack::control

#endif  // SISKINRACK_LIB_CONTROL_COMMAND_TABLE_H_
