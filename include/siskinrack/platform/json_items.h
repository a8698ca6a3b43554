#ifndef SISKINRACK_PLATFORM_JSON_ITEMS_H_
#define SISKINRACK_PLATFORM_JSON_ITEMS_H_

#include <boost/json/value.hpp>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace siskinrack::platform {

/// Bounds for one JSON value that another process wrote.
struct json_limits {
  /// Number of arrays and objects that may contain each other. The parser and the destructor of a
  /// value recurse once per level.
  std::size_t depth = 32;
  /// Length of the text. Well above the largest configuration seen (250 KB with 820 routes).
  std::size_t bytes = std::size_t{4} << 20U;
};

/// Represents one member of a JSON object by the texts of its name, without quotes and with its
/// escapes, and its value.
struct json_member {
  std::string_view name;
  std::string_view value;
};

/// Returns the texts of the elements of a JSON array, or std::nullopt if `text` is no array or its
/// brackets and quotes don't match. Finds the elements without decoding them, so that one that
/// can't be decoded does not affect the others. Doesn't recurse. The views refer to `text`.
std::optional<std::vector<std::string_view>> SplitJsonArray(std::string_view text);

/// Returns the members of a JSON object, under the same conditions as SplitJsonArray.
std::optional<std::vector<json_member>> SplitJsonObject(std::string_view text);

/// Returns the text of the first member `name`, or std::nullopt if there is none.
std::optional<std::string_view> FindJsonMember(const std::vector<json_member>& members,
                                               std::string_view name);

/// Decodes one value within `limits`. Returns std::nullopt and sets `problem` to the reason if that
/// fails.
std::optional<boost::json::value> DecodeJson(std::string_view text, const json_limits& limits,
                                             std::string& problem);

}  // namespace siskinrack::platform

#endif  // SISKINRACK_PLATFORM_JSON_ITEMS_H_
