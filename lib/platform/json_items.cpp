#include "siskinrack/platform/json_items.h"

#include <boost/json.hpp>

namespace siskinrack::platform {
namespace {

namespace json = boost::json;

/// Reads the structure of a JSON text: brackets, strings and separators.
class scanner {
 public:
  explicit scanner(std::string_view text) : text_(text) {}

  void SkipSpace() { at_ = std::min(text_.find_first_not_of(" \t\r\n", at_), text_.size()); }
  [[nodiscard]] bool AtEnd() const { return at_ == text_.size(); }
  /// Consumes `expected` and the space around it; returns false if another character follows.
  bool Take(char expected) {
    SkipSpace();
    if (AtEnd() || text_[at_] != expected) return false;
    ++at_;
    SkipSpace();
    return true;
  }

  /// Consumes a string and returns it without its quotes.
  std::optional<std::string_view> TakeString() {
    const std::size_t begin = at_;
    if (AtEnd() || text_[at_] != '"') return std::nullopt;
    for (++at_; !AtEnd(); ++at_) {
      if (text_[at_] == '\\') {
        ++at_;
        if (AtEnd()) break;
      } else if (text_[at_] == '"') {
        ++at_;
        return text_.substr(begin + 1, at_ - begin - 2);
      }
    }
    return std::nullopt;
  }

  /// Consumes a value up to the comma or bracket behind it and returns its text.
  std::optional<std::string_view> TakeValue() {
    const std::size_t begin = at_;
    std::size_t depth = 0;
    while (!AtEnd()) {
      const char c = text_[at_];
      if (c == '"') {
        if (!TakeString()) return std::nullopt;
        continue;
      }
      const bool closes = c == ']' || c == '}';
      if (depth == 0 && (closes || c == ',')) break;
      if (c == '[' || c == '{') ++depth;
      if (closes) --depth;
      ++at_;
    }
    if (depth > 0) return std::nullopt;
    std::string_view value = text_.substr(begin, at_ - begin);
    value = value.substr(0, value.find_last_not_of(" \t\r\n") + 1);
    if (value.empty()) return std::nullopt;
    return value;
  }

 private:
  std::string_view text_;
  std::size_t at_ = 0;
};

/// Splits `text` between `open` and `close`; `take_item` consumes one item and returns false if it
/// is malformed.
template <typename TakeItem>
bool SplitItems(scanner& in, char open, char close, TakeItem take_item) {
  if (!in.Take(open)) return false;
  if (!in.Take(close)) {
    do {
      if (!take_item()) return false;
    } while (in.Take(','));
    if (!in.Take(close)) return false;
  }
  return in.AtEnd();
}

}  // namespace

std::optional<std::vector<std::string_view>> SplitJsonArray(std::string_view text) {
  scanner in(text);
  std::vector<std::string_view> items;
  const bool complete = SplitItems(in, '[', ']', [&] {
    const auto value = in.TakeValue();
    if (value) items.push_back(*value);
    return value.has_value();
  });
  if (!complete) return std::nullopt;
  return items;
}

std::optional<std::vector<json_member>> SplitJsonObject(std::string_view text) {
  scanner in(text);
  std::vector<json_member> members;
  const bool complete = SplitItems(in, '{', '}', [&] {
    const auto name = in.TakeString();
    if (!name || !in.Take(':')) return false;
    const auto value = in.TakeValue();
    if (value) members.push_back({*name, *value});
    return value.has_value();
  });
  if (!complete) return std::nullopt;
  return members;
}

std::optional<std::string_view> FindJsonMember(const std::vector<json_member>& members,
                                               std::string_view name) {
  for (const json_member& member : members) {
    if (member.name == name) return member.value;
  }
  return std::nullopt;
}

std::optional<json::value> DecodeJson(std::string_view text, const json_limits& limits,
                                      std::string& problem) {
  if (text.size() > limits.bytes) {
    problem = "longer than " + std::to_string(limits.bytes) + " bytes";
    return std::nullopt;
  }
  json::parse_options options;
  options.max_depth = limits.depth;
  json::error_code error;
  json::value value = json::parse({text.data(), text.size()}, error, {}, options);
  if (error) {
    problem = error.message();
    return std::nullopt;
  }
  return value;
}

}  // namespace siskinrack::platform
