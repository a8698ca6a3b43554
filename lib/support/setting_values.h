#ifndef SISKINRACK_LIB_SUPPORT_SETTING_VALUES_H_
#define SISKINRACK_LIB_SUPPORT_SETTING_VALUES_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "siskinrack/support/settings.h"

namespace siskinrack::support::detail {

/// Splits `text` at commas. Empty text gives no parts; empty parts are kept.
std::vector<std::string> SplitList(std::string_view text);
/// Parses a decimal integer; returns std::nullopt if `text` is anything else or out of range.
std::optional<std::int64_t> ParseInteger(std::string_view text);
/// Parses a duration such as "500ms", "30s", "5m" or "2h"; returns std::nullopt for other text and
/// for more than 366 days.
std::optional<std::chrono::milliseconds> ParseDuration(std::string_view text);

/// Returns the range of an integer setting, for example "1 to 64 ms".
std::string FormatRange(const setting& spec);

/// Adds a finding at `place` if `text` isn't a valid value of the declared setting.
void CheckValue(const setting& spec, const std::string& text, const std::string& place,
                findings& problems);

}  // namespace siskinrack::support::detail

#endif  // SISKINRACK_LIB_SUPPORT_SETTING_VALUES_H_
