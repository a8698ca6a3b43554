#ifndef SISKINRACK_SUPPORT_SETTINGS_H_
#define SISKINRACK_SUPPORT_SETTINGS_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "siskinrack/support/findings.h"
#include "siskinrack/support/socket_address.h"

namespace siskinrack::support {

/// Syntax of the value of a setting.
enum class setting_kind {
  kText,
  /// 1 to 63 characters of a-z, 0-9, '-', '_' and '.'; safe in logs, object names and metrics.
  kName,
  kInteger,
  /// IPv4 address without a port.
  kIp,
  /// IPv4 address and port to listen on; port 0 lets the kernel choose a port.
  kAddress,
  /// IPv4 address and port of another process; the port must not be 0.
  kRemoteAddress,
  /// Addresses of other processes, separated by commas.
  kAddressList,
  /// Integer with a unit: "500ms", "30s", "5m" or "2h"; at most 366 days.
  kDuration,
  /// "true" or "false"; a flag without a value means "true".
  kFlag
};

/// Declares one setting, which is set by the flag "--name" or the environment variable
/// SISKINRACK_NAME.
struct setting {
  std::string name;
  setting_kind kind = setting_kind::kText;
  std::string help;
  /// Value if neither flag nor environment variable is given; std::nullopt makes the setting
  /// required.
  std::optional<std::string> default_value;
  /// Inclusive range of a kInteger setting.
  std::int64_t min = 0;
  std::int64_t max = 0;
  /// Unit of the value, for example "ms"; empty for counts and strings.
  std::string unit;
  /// Allowed values of a kText setting; empty allows any value.
  std::vector<std::string> choices;
};

/// Message of the finding for a required setting that is not set.
inline constexpr std::string_view kMissingSettingText = "required setting is missing";

/// Returns the value of an environment variable, or std::nullopt if it is not set.
using environment_lookup = std::function<std::optional<std::string>(const std::string&)>;

/// Returns the value of an environment variable of this process, or std::nullopt if it is not set.
std::optional<std::string> GetEnvironmentVariable(const std::string& name);

/// Returns the sorted names of the environment variables of this process that start with
/// "SISKINRACK_".
std::vector<std::string> ListEnvironmentVariables();

/// Adds a finding for each of `names` that isn't in `known`, with the most similar known name as
/// its hint.
void CheckEnvironmentNames(std::span<const std::string> known, std::span<const std::string> names,
                           findings& problems);

/// Holds the validated values of the declared settings. A flag takes precedence over the
/// environment variable, which takes precedence over the default.
class settings {
 public:
  /// Parses flags and environment variables and adds every problem to `problems`.
  static settings Parse(std::span<const setting> declared, std::span<const std::string> arguments,
                        const environment_lookup& environment, findings& problems);

  /// Return the value of a declared setting. A value that can't be parsed, which Parse reports, is
  /// returned as 0, as false or as an empty address, and is omitted from a list of addresses; text
  /// returns it unchanged. The text of a missing setting is empty.
  [[nodiscard]] const std::string& text(std::string_view name) const;
  [[nodiscard]] std::int64_t integer(std::string_view name) const;
  [[nodiscard]] socket_address address(std::string_view name) const;
  [[nodiscard]] std::vector<socket_address> addresses(std::string_view name) const;
  [[nodiscard]] std::chrono::milliseconds duration(std::string_view name) const;
  [[nodiscard]] bool flag(std::string_view name) const;
  /// Returns the arguments that are not flags, in order.
  [[nodiscard]] std::span<const std::string> positional() const { return positional_; }

  /// Returns one line per setting: "name=value unit (origin)". `declared` must be the settings that
  /// were passed to Parse.
  [[nodiscard]] std::string Describe(std::span<const setting> declared) const;

 private:
  struct value {
    std::string text;
    /// "flag", "environment", "default", "missing" or "refused".
    std::string origin;
  };

  /// Stores the value of `spec` from the first source that has one. Adds a finding if the value is
  /// missing or invalid.
  void Resolve(const setting& spec, const std::map<std::string, std::string>& flags,
               const environment_lookup& environment, findings& problems);

  std::map<std::string, value, std::less<>> values_;
  std::vector<std::string> positional_;
};

/// Returns the name of the environment variable of a setting, for example
/// "SISKINRACK_PEER_ADDRESS" for "peer-address".
std::string ToEnvironmentName(std::string_view setting_name);

/// Returns the help text of the settings, with the range, unit, default and environment variable of
/// each.
std::string DescribeOptions(std::span<const setting> declared);

}  // namespace siskinrack::support

#endif  // SISKINRACK_SUPPORT_SETTINGS_H_
