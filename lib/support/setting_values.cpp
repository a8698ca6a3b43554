#include "setting_values.h"

#include <arpa/inet.h>

#include <algorithm>
#include <array>
#include <boost/leaf.hpp>
#include <charconv>

namespace siskinrack::support::detail {
namespace {

namespace leaf = boost::leaf;

constexpr std::size_t kMaxNameBytes = 63;
constexpr std::int64_t kMaxDurationMs = 366LL * 24 * 3'600'000;

/// Describes why a value is invalid and, in the hint, what is valid.
struct value_error {
  std::string message;
  std::string hint;
};

/// Returns `text` in single quotes, with control characters replaced by '?' so that a finding stays
/// on one line.
std::string Quote(std::string_view text) {
  std::string quoted = '\'' + std::string(text) + '\'';
  std::replace_if(
      quoted.begin(), quoted.end(), [](char c) { return static_cast<unsigned char>(c) < ' '; },
      '?');
  return quoted;
}

leaf::error_id MakeError(std::string_view text, std::string_view message, std::string hint = {}) {
  return leaf::new_error(value_error{Quote(text) + ' ' + std::string(message), std::move(hint)});
}

leaf::result<void> CheckInteger(const setting& spec, std::string_view text) {
  const auto number = ParseInteger(text);
  if (!number) return MakeError(text, "is not an integer", FormatRange(spec));
  if (*number < spec.min || *number > spec.max) {
    return MakeError(text, "is out of range", FormatRange(spec));
  }
  return {};
}

leaf::result<void> CheckAddress(std::string_view text, bool remote) {
  const auto address = ParseSocketAddress(text);
  if (!address) {
    return MakeError(text, "is not an IPv4 address and port", "for example 127.0.0.1:8080");
  }
  if (remote && address->port == 0) return MakeError(text, "has port 0", "port 1 to 65535");
  return {};
}

leaf::result<void> CheckAddressList(std::string_view text) {
  for (const std::string& part : SplitList(text)) {
    if (auto result = CheckAddress(part, /*remote=*/true); !result) return result.error();
  }
  return {};
}

leaf::result<void> CheckName(std::string_view text) {
  constexpr std::string_view kAllowedCharacters = "abcdefghijklmnopqrstuvwxyz0123456789-_.";
  if (!text.empty() && text.size() <= kMaxNameBytes &&
      text.find_first_not_of(kAllowedCharacters) == std::string_view::npos) {
    return {};
  }
  return MakeError(text, "is not a valid name", "1 to 63 of a-z, 0-9, '-', '_' and '.'");
}

leaf::result<void> CheckIp(const std::string& text) {
  in_addr parsed{};
  if (inet_pton(AF_INET, text.c_str(), &parsed) == 1) return {};
  return MakeError(text, "is not an IPv4 address", "for example 127.0.0.1");
}

leaf::result<void> CheckChoice(const setting& spec, const std::string& text) {
  if (spec.choices.empty() ||
      std::find(spec.choices.begin(), spec.choices.end(), text) != spec.choices.end()) {
    return {};
  }
  std::string allowed;
  for (const std::string& choice : spec.choices) allowed += (allowed.empty() ? "" : ", ") + choice;
  return MakeError(text, "is not one of the allowed values", std::move(allowed));
}

leaf::result<void> CheckKind(const setting& spec, const std::string& text) {
  switch (spec.kind) {
    case setting_kind::kInteger:
      return CheckInteger(spec, text);
    case setting_kind::kAddress:
      return CheckAddress(text, /*remote=*/false);
    case setting_kind::kRemoteAddress:
      return CheckAddress(text, /*remote=*/true);
    case setting_kind::kAddressList:
      return CheckAddressList(text);
    case setting_kind::kName:
      return CheckName(text);
    case setting_kind::kIp:
      return CheckIp(text);
    case setting_kind::kDuration:
      if (ParseDuration(text)) return {};
      return MakeError(text, "is not a duration",
                       "for example 500ms, 30s, 5m or 2h; at most 366 days");
    case setting_kind::kFlag:
      if (text == "true" || text == "false") return {};
      return MakeError(text, "is neither true nor false");
    case setting_kind::kText:
      break;
  }
  return CheckChoice(spec, text);
}

}  // namespace

std::vector<std::string> SplitList(std::string_view text) {
  std::vector<std::string> parts;
  while (!text.empty()) {
    const std::size_t comma = text.find(',');
    parts.emplace_back(text.substr(0, comma));
    if (comma == std::string_view::npos) break;
    text.remove_prefix(comma + 1);
    if (text.empty()) parts.emplace_back();
  }
  return parts;
}

std::optional<std::int64_t> ParseInteger(std::string_view text) {
  std::int64_t number = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
  if (error != std::errc{} || end != text.data() + text.size()) return std::nullopt;
  return number;
}

std::optional<std::chrono::milliseconds> ParseDuration(std::string_view text) {
  struct unit {
    std::string_view suffix;
    std::int64_t ms;
  };
  // "ms" must come before "s", because it ends in "s" too.
  constexpr std::array<unit, 4> kUnits = {
      {{"ms", 1}, {"s", 1'000}, {"m", 60'000}, {"h", 3'600'000}}};
  for (const unit& candidate : kUnits) {
    if (!text.ends_with(candidate.suffix)) continue;
    const auto number = ParseInteger(text.substr(0, text.size() - candidate.suffix.size()));
    if (!number || *number < 0 || *number > kMaxDurationMs / candidate.ms) return std::nullopt;
    return std::chrono::milliseconds(*number * candidate.ms);
  }
  return std::nullopt;
}

std::string FormatRange(const setting& spec) {
  std::string text = std::to_string(spec.min) + " to " + std::to_string(spec.max);
  if (!spec.unit.empty()) text += ' ' + spec.unit;
  return text;
}

void CheckValue(const setting& spec, const std::string& text, const std::string& place,
                findings& problems) {
  leaf::try_handle_all([&] { return CheckKind(spec, text); },
                       [&](value_error& error) {
                         problems.Add(place, std::move(error.message), std::move(error.hint));
                       },
                       [&] { problems.Add(place, "is not valid"); });
}

}  // namespace siskinrack::support::detail
