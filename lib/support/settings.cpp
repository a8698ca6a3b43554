#include "siskinrack/support/settings.h"

#include <algorithm>
#include <boost/program_options.hpp>
#include <cassert>
#include <cctype>
#include <charconv>
#include <cstdlib>

namespace siskinrack::support {
namespace {

namespace po = boost::program_options;

std::vector<std::string> SplitList(std::string_view text) {
  std::vector<std::string> parts;
  while (!text.empty()) {
    const std::size_t comma = text.find(',');
    parts.emplace_back(text.substr(0, comma));
    if (comma == std::string_view::npos) break;
    text.remove_prefix(comma + 1);
  }
  return parts;
}

std::optional<std::int64_t> ParseInteger(std::string_view text) {
  std::int64_t number = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
  if (error != std::errc{} || end != text.data() + text.size()) return std::nullopt;
  return number;
}

std::string RangeText(const setting& item) {
  std::string text = std::to_string(item.min) + " to " + std::to_string(item.max);
  if (!item.unit.empty()) text += ' ' + item.unit;
  return text;
}

void CheckValue(const setting& item, const std::string& text, const std::string& place,
                findings& problems) {
  switch (item.kind) {
    case setting_kind::kInteger: {
      const auto number = ParseInteger(text);
      if (!number) {
        problems.Add(place, "'" + text + "' is not a whole number", RangeText(item));
      } else if (*number < item.min || *number > item.max) {
        problems.Add(place, text + " is out of range", RangeText(item));
      }
      break;
    }
    case setting_kind::kAddress:
      if (!ParseSocketAddress(text)) {
        problems.Add(place, "'" + text + "' is not an address", "for example 127.0.0.1:8080");
      }
      break;
    case setting_kind::kAddressList:
      for (const std::string& part : SplitList(text)) {
        if (!ParseSocketAddress(part)) {
          problems.Add(place, "'" + part + "' is not an address", "for example 127.0.0.1:8080");
        }
      }
      break;
    case setting_kind::kFlag:
      if (text != "true" && text != "false") {
        problems.Add(place, "'" + text + "' is neither true nor false");
      }
      break;
    case setting_kind::kText:
      break;
  }
}

/// Flags by name; an unknown or repeated flag and a flag without its value become findings.
std::map<std::string, std::string> ReadFlags(std::span<const setting> declared,
                                             std::span<const std::string> arguments,
                                             std::vector<std::string>& positional,
                                             findings& problems) {
  po::options_description description;
  std::vector<std::string> names;
  for (const setting& item : declared) {
    names.push_back(item.name);
    if (item.kind == setting_kind::kFlag) {
      description.add_options()(item.name.c_str(),
                                po::value<std::string>()->implicit_value("true"));
    } else {
      description.add_options()(item.name.c_str(), po::value<std::string>());
    }
  }
  std::map<std::string, std::string> flags;
  try {
    const po::positional_options_description no_names;
    const auto style =
        po::command_line_style::default_style & ~po::command_line_style::allow_guessing;
    const auto parsed = po::command_line_parser({arguments.begin(), arguments.end()})
                            .options(description)
                            .style(style)
                            .allow_unregistered()
                            .run();
    for (const auto& option : parsed.options) {
      if (option.position_key != -1) {
        positional.insert(positional.end(), option.value.begin(), option.value.end());
      } else if (option.unregistered) {
        const std::string_view nearest = NearestName(option.string_key, names);
        problems.Add(option.original_tokens.front(), "unknown setting",
                     nearest.empty() ? "" : "did you mean --" + std::string(nearest) + "?");
      } else if (!flags
                      .emplace(option.string_key,
                               option.value.empty() ? "true" : option.value.front())
                      .second) {
        problems.Add("--" + option.string_key, "given more than once");
      }
    }
  } catch (const po::error& error) {
    problems.Add("command line", error.what());
  }
  return flags;
}

}  // namespace

std::optional<std::string> ProcessEnvironment(const std::string& name) {
  const char* text = std::getenv(name.c_str());
  if (text == nullptr) return std::nullopt;
  return text;
}

std::string EnvironmentName(std::string_view setting_name) {
  std::string name = "SISKINRACK_";
  for (const char c : setting_name) {
    name += c == '-' ? '_' : static_cast<char>(std::toupper(static_cast<unsigned char>(c)));
  }
  return name;
}

settings settings::Parse(std::span<const setting> declared, std::span<const std::string> arguments,
                         const environment_lookup& environment, findings& problems) {
  settings result;
  const auto flags = ReadFlags(declared, arguments, result.positional_, problems);
  for (const setting& item : declared) result.Resolve(item, flags, environment, problems);
  return result;
}

void settings::Resolve(const setting& item, const std::map<std::string, std::string>& flags,
                       const environment_lookup& environment, findings& problems) {
  value resolved;
  std::string place = "--" + item.name;
  const auto flag = flags.find(item.name);
  if (flag != flags.end()) {
    resolved = {flag->second, "flag"};
  } else if (auto variable = environment(EnvironmentName(item.name))) {
    place = EnvironmentName(item.name);
    resolved = {std::move(*variable), "environment"};
  } else if (item.default_value) {
    resolved = {*item.default_value, "default"};
  } else {
    problems.Add(place, "required setting is missing",
                 "set --" + item.name + " or " + EnvironmentName(item.name));
    values_[item.name] = {"", "missing"};
    return;
  }
  if (!(resolved.origin == "default" && resolved.text.empty())) {
    CheckValue(item, resolved.text, place, problems);
  }
  values_[item.name] = std::move(resolved);
}

const std::string& settings::text(std::string_view name) const {
  const auto found = values_.find(name);
  assert(found != values_.end() && "setting is not declared");
  return found->second.text;
}

std::int64_t settings::integer(std::string_view name) const {
  return ParseInteger(text(name)).value_or(0);
}

socket_address settings::address(std::string_view name) const {
  return ParseSocketAddress(text(name)).value_or(socket_address{});
}

std::vector<socket_address> settings::addresses(std::string_view name) const {
  std::vector<socket_address> list;
  for (const std::string& part : SplitList(text(name))) {
    if (const auto parsed = ParseSocketAddress(part)) list.push_back(*parsed);
  }
  return list;
}

bool settings::flag(std::string_view name) const { return text(name) == "true"; }

std::string settings::Describe(std::span<const setting> declared) const {
  std::string out;
  for (const setting& item : declared) {
    const value& resolved = values_.find(item.name)->second;
    out += item.name + '=' + resolved.text;
    if (!item.unit.empty()) out += ' ' + item.unit;
    out += " (" + resolved.origin + ")\n";
  }
  return out;
}

std::string DescribeOptions(std::span<const setting> declared) {
  std::string out;
  for (const setting& item : declared) {
    out += "  --" + item.name;
    if (item.kind != setting_kind::kFlag) out += " VALUE";
    out += "\n      " + item.help;
    if (item.kind == setting_kind::kInteger) out += "; " + RangeText(item);
    if (!item.default_value) {
      out += "; required";
    } else if (!item.default_value->empty()) {
      out += "; default " + *item.default_value;
    }
    out += "; " + EnvironmentName(item.name) + '\n';
  }
  return out;
}

}  // namespace siskinrack::support
