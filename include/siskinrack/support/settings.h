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

enum class setting_kind {
  kText,
  /// 1 to 63 of a-z, 0-9, '-', '_' and '.'; safe in logs, object names and metrics.
  kName,
  kInteger,
  /// IP number.
  kIp,
  /// Address to listen on; port 0 lets the kernel choose.
  kAddress,
  /// Address of another process; the port can't be 0.
  kRemoteAddress,
  /// Addresses of other processes, separated by commas.
  kAddressList,
  /// Number with a unit: "500ms", "30s", "5m" or "2h".
  kDuration,
  kFlag
};

/// Declares one setting: the flag "--name" and the environment variable SISKINRACK_NAME.
struct setting {
  std::string name;
  setting_kind kind = setting_kind::kText;
  std::string help;
  /// Used when neither flag nor environment variable is given; nothing means "required".
  std::optional<std::string> default_value;
  /// Range of an integer, both ends included.
  std::int64_t min = 0;
  std::int64_t max = 0;
  /// For example "ms"; empty for counts and texts.
  std::string unit;
  /// Values that a text may have; empty allows all.
  std::vector<std::string> choices;
};

/// Message of the finding for a required setting that is not given.
inline constexpr std::string_view kMissingSettingText = "required setting is missing";

/// Reads an environment variable; nothing if it is not set.
using environment_lookup = std::function<std::optional<std::string>(const std::string&)>;

/// Environment of this process.
std::optional<std::string> GetEnvironmentVariable(const std::string& name);

/// Names of the environment variables of this process that start with "SISKINRACK_".
std::vector<std::string> ListEnvironmentVariables();

/// Adds a finding with the nearest known name for each of `names` that isn't in `known`.
void CheckEnvironmentNames(std::span<const std::string> known, std::span<const std::string> names,
                           findings& problems);

/// Checked values of the declared settings. A flag goes before the environment variable, which goes
/// before the default.
class settings {
 public:
  /// Parses flags and environment and adds every problem to `problems`.
  static settings Parse(std::span<const setting> declared, std::span<const std::string> arguments,
                        const environment_lookup& environment, findings& problems);

  [[nodiscard]] const std::string& text(std::string_view name) const;
  [[nodiscard]] std::int64_t integer(std::string_view name) const;
  [[nodiscard]] socket_address address(std::string_view name) const;
  [[nodiscard]] std::vector<socket_address> addresses(std::string_view name) const;
  [[nodiscard]] std::chrono::milliseconds duration(std::string_view name) const;
  [[nodiscard]] bool flag(std::string_view name) const;
  /// Arguments that are not flags, in order.
  [[nodiscard]] std::span<const std::string> positional() const { return positional_; }

  /// One line per setting: "name=value unit origin".
  [[nodiscard]] std::string Describe(std::span<const setting> declared) const;

 private:
  struct value {
    std::string text;
    std::string origin;
  };

  void Resolve(const setting& item, const std::map<std::string, std::string>& flags,
               const environment_lookup& environment, findings& problems);

  std::map<std::string, value, std::less<>> values_;
  std::vector<std::string> positional_;
};

/// "SISKINRACK_PEER_ADDRESS" for "peer-address".
std::string EnvironmentName(std::string_view setting_name);

/// Help text: one line per setting with its range, unit, default and environment variable.
std::string DescribeOptions(std::span<const setting> declared);

}  // namespace siskinrack::support

#endif  // SISKINRACK_SUPPORT_SETTINGS_H_
