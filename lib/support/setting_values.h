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

std::vector<std::string> SplitList(std::string_view text);
std::optional<std::int64_t> ParseInteger(std::string_view text);
/// Reads "500ms", "30s", "5m" or "2h"; nothing for other text or more than 366 days.
std::optional<std::chrono::milliseconds> ParseDuration(std::string_view text);

/// "1 to 64 ms".
std::string RangeText(const setting& item);

/// Adds a finding at `place` if `text` isn't a valid value of the setting.
void CheckValue(const setting& item, const std::string& text, const std::string& place,
                findings& problems);

}  // namespace siskinrack::support::detail

#endif  // SISKINRACK_LIB_SUPPORT_SETTING_VALUES_H_
