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

/// Represents the parsed flags, by name, and the other arguments.
struct command_line {
  std::map<std::string, std::string> flags;
  std::vector<std::string> positional;
};

std::vector<std::string> ListSettingNames(std::span<const setting> declared) {
  std::vector<std::string> names;
  for (const setting& spec : declared) names.push_back(spec.name);
  return names;
}

po::options_description MakeOptions(std::span<const setting> declared) {
  po::options_description description;
  for (const setting& spec : declared) {
    auto* value = po::value<std::string>();
    if (spec.kind == setting_kind::kFlag) value->implicit_value("true");
    description.add_options()(spec.name.c_str(), value);
  }
  return description;
}

/// Splits `arguments` into options. A flag that Boost.Program_options refuses becomes a finding and
/// is removed before parsing again, so that later problems are found too.
std::vector<po::option> Tokenize(const po::options_description& description,
                                 std::vector<std::string> arguments,
                                 std::map<std::string, std::string>& refused, findings& problems) {
  // Short options are disabled, so that "-5" can be the value of a flag.
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

/// Parses the command line. Adds a finding for each unknown flag, repeated flag and flag without
/// its value. Stores the names of flags without their value as keys of `refused`.
command_line ParseCommandLine(std::span<const setting> declared,
                              std::span<const std::string> arguments,
                              std::map<std::string, std::string>& refused, findings& problems) {
  command_line result;
  const auto names = ListSettingNames(declared);
  const auto description = MakeOptions(declared);
  for (const po::option& option :
       Tokenize(description, {arguments.begin(), arguments.end()}, refused, problems)) {
    if (option.position_key != -1) {
      result.positional.insert(result.positional.end(), option.value.begin(), option.value.end());
    } else if (option.unregistered) {
      const std::string_view nearest = FindNearestName(option.string_key, names);
      problems.Add(option.original_tokens.front(), "unknown setting",
                   nearest.empty() ? "" : "did you mean --" + std::string(nearest) + "?");
    } else if (!result
                    .flags
                    // Only a setting of kind kFlag can have no value here.
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
    const std::string_view nearest = FindNearestName(name, known);
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

std::string ToEnvironmentName(std::string_view setting_name) {
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
  auto line = ParseCommandLine(declared, arguments, refused, problems);
  result.positional_ = std::move(line.positional);
  for (const setting& spec : declared) {
    if (refused.contains(spec.name)) {
      result.values_[spec.name] = {"", "refused"};
    } else {
      result.Resolve(spec, line.flags, environment, problems);
    }
  }

  return result;
}

void settings::Resolve(const setting& spec, const std::map<std::string, std::string>& flags,
                       const environment_lookup& environment, findings& problems) {
  value resolved;
  std::string place = "--" + spec.name;
  const auto flag = flags.find(spec.name);
  if (flag != flags.end()) {
    resolved = {flag->second, "flag"};
  } else if (auto variable = environment(ToEnvironmentName(spec.name))) {
    place = ToEnvironmentName(spec.name);
    resolved = {std::move(*variable), "environment"};
  } else if (spec.default_value) {
    resolved = {*spec.default_value, "default"};
  } else {
    problems.Add(place, std::string(kMissingSettingText),
                 "set --" + spec.name + " or " + ToEnvironmentName(spec.name));
    values_[spec.name] = {"", "missing"};
    return;
  }
  // An empty value means "not set" if the default is empty too, and isn't validated.
  if (!(resolved.text.empty() && spec.default_value == "")) {
    detail::CheckValue(spec, resolved.text, place, problems);
  }
  values_[spec.name] = std::move(resolved);
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
  for (const setting& spec : declared) {
    const value& resolved = values_.find(spec.name)->second;
    out += spec.name + '=' + resolved.text;
    if (!spec.unit.empty()) out += ' ' + spec.unit;
    out += " (" + resolved.origin + ")\n";
  }
  return out;
}

std::string DescribeOptions(std::span<const setting> declared) {
  std::string out;
  for (const setting& spec : declared) {
    out += "  --" + spec.name;
    if (spec.kind != setting_kind::kFlag) out += " VALUE";
    out += "\n      " + spec.help;
    if (spec.kind == setting_kind::kInteger) out += "; " + detail::FormatRange(spec);
    for (const std::string& choice : spec.choices) {
      out += (&choice == spec.choices.data() ? "; " : ", ") + choice;
    }
    if (!spec.default_value) {
      out += "; required";
    } else if (!spec.default_value->empty()) {
      out += "; default " + *spec.default_value;
    }
    out += "; " + ToEnvironmentName(spec.name) + '\n';
  }
  return out;
}

}  // namespace siskinrack::support
