#include "siskinrack/support/settings.h"

#include <unistd.h>

#include <algorithm>
#include <boost/program_options.hpp>
#include <cassert>
#include <cctype>
#include <cstdlib>

#include "setting_values.h"

namespace siskinrack::support {
namespace {

namespace po = boost::program_options;

/// What the command line holds.
struct command_line {
  std::map<std::string, std::string> flags;
  std::vector<std::string> positional;
};

std::vector<std::string> NamesOf(std::span<const setting> declared) {
  std::vector<std::string> names;
  for (const setting& item : declared) names.push_back(item.name);
  return names;
}

po::options_description Describe(std::span<const setting> declared) {
  po::options_description description;
  for (const setting& item : declared) {
    auto* value = po::value<std::string>();
    if (item.kind == setting_kind::kFlag) value->implicit_value("true");
    description.add_options()(item.name.c_str(), value);
  }
  return description;
}

/// Parses `arguments` as far as they are well formed: a flag that Program_options refuses becomes a
/// finding and is left out, so that the other problems are found as well.
std::vector<po::option> Tokenize(const po::options_description& description,
                                 std::vector<std::string> arguments,
                                 std::map<std::string, std::string>& refused, findings& problems) {
  // Short options are off, so that "-5" can be the value of a flag.
  const auto style = po::command_line_style::unix_style & ~(po::command_line_style::allow_guessing |
                                                            po::command_line_style::allow_short);
  while (true) {
    try {
      return po::command_line_parser(arguments)
          .options(description)
          .style(style)
          .allow_unregistered()
          .run()
          .options;
    } catch (const po::error_with_option_name& error) {
      const std::string name = error.get_option_name();
      const auto found =
          std::find_if(arguments.begin(), arguments.end(), [&](const std::string& argument) {
            return argument == name || argument.starts_with(name + '=');
          });
      if (found == arguments.end()) {
        problems.Add("command line", error.what());
        return {};
      }
      problems.Add(name, "needs a value");
      refused[name.substr(name.find_first_not_of('-'))] = "";
      arguments.erase(found);
    } catch (const po::error& error) {
      problems.Add("command line", error.what());
      return {};
    }
  }
}

/// An unknown or repeated flag and a flag without its value become findings; a flag without its
/// value stands in `refused`.
command_line ReadFlags(std::span<const setting> declared, std::span<const std::string> arguments,
                       std::map<std::string, std::string>& refused, findings& problems) {
  command_line result;
  const auto names = NamesOf(declared);
  const auto description = Describe(declared);
  for (const po::option& option :
       Tokenize(description, {arguments.begin(), arguments.end()}, refused, problems)) {
    if (option.position_key != -1) {
      result.positional.insert(result.positional.end(), option.value.begin(), option.value.end());
    } else if (option.unregistered) {
      const std::string_view nearest = NearestName(option.string_key, names);
      problems.Add(option.original_tokens.front(), "unknown setting",
                   nearest.empty() ? "" : "did you mean --" + std::string(nearest) + "?");
    } else if (!result
                    .flags
                    // Only a setting of kind kFlag may stand without a value.
                    .emplace(option.string_key,
                             option.value.empty() ? "true" : option.value.front())
                    .second) {
      problems.Add("--" + option.string_key, "given more than once");
    }
  }
  return result;
}

}  // namespace

void CheckEnvironmentNames(std::span<const std::string> known, std::span<const std::string> names,
                           findings& problems) {
  for (const std::string& name : names) {
    if (std::find(known.begin(), known.end(), name) != known.end()) continue;
    const std::string_view nearest = NearestName(name, known);
    problems.Add(name, "unknown environment variable",
                 nearest.empty() ? "" : "did you mean " + std::string(nearest) + "?");
  }
}

std::optional<std::string> GetEnvironmentVariable(const std::string& name) {
  const char* text = std::getenv(name.c_str());
  if (text == nullptr) return std::nullopt;
  return text;
}

std::vector<std::string> ListEnvironmentVariables() {
  constexpr std::string_view kPrefix = "SISKINRACK_";
  std::vector<std::string> names;
  for (char** entry = environ; entry != nullptr && *entry != nullptr; ++entry) {
    const std::string_view variable(*entry);
    if (variable.starts_with(kPrefix)) names.emplace_back(variable.substr(0, variable.find('=')));
  }
  std::sort(names.begin(), names.end());
  return names;
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
  std::map<std::string, std::string> refused;
  auto line = ReadFlags(declared, arguments, refused, problems);
  result.positional_ = std::move(line.positional);
  for (const setting& item : declared) {
    if (refused.contains(item.name)) {
      result.values_[item.name] = {"", "refused"};
    } else {
      result.Resolve(item, line.flags, environment, problems);
    }
  }

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
    problems.Add(place, std::string(kMissingSettingText),
                 "set --" + item.name + " or " + EnvironmentName(item.name));
    values_[item.name] = {"", "missing"};
    return;
  }
  // An empty text means "not given" where the default is empty too.
  if (!(resolved.text.empty() && item.default_value == "")) {
    detail::CheckValue(item, resolved.text, place, problems);
  }
  values_[item.name] = std::move(resolved);
}

const std::string& settings::text(std::string_view name) const {
  const auto found = values_.find(name);
  assert(found != values_.end() && "setting is not declared");
  return found->second.text;
}

std::int64_t settings::integer(std::string_view name) const {
  return detail::ParseInteger(text(name)).value_or(0);
}

socket_address settings::address(std::string_view name) const {
  return ParseSocketAddress(text(name)).value_or(socket_address{});
}

std::vector<socket_address> settings::addresses(std::string_view name) const {
  std::vector<socket_address> list;
  for (const std::string& part : detail::SplitList(text(name))) {
    if (const auto parsed = ParseSocketAddress(part)) list.push_back(*parsed);
  }
  return list;
}

std::chrono::milliseconds settings::duration(std::string_view name) const {
  return detail::ParseDuration(text(name)).value_or(std::chrono::milliseconds(0));
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
    if (item.kind == setting_kind::kInteger) out += "; " + detail::RangeText(item);
    for (const std::string& choice : item.choices) {
      out += (&choice == item.choices.data() ? "; " : ", ") + choice;
    }
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
