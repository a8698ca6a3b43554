#include "siskinrack/control/program.h"

#include <algorithm>
#include <boost/json.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <ostream>

#include "command.h"
#include "command_table.h"
#include "control_client.h"

namespace siskinrack::control {
namespace {

/// Settings of siskinrack-node. Their environment variables may be set where siskinctl runs, so
/// they are accepted but ignored.
const std::vector<std::string> kNodeProgramSettings = {"node-id",       "failure-domain",
                                                       "region",        "caller-address",
                                                       "peer-address",  "advertise-address",
                                                       "admin-address", "upstream-address",
                                                       "service",       "slots",
                                                       "seeds",         "threads",
                                                       "drain-ms",      "clock-skew-ms",
                                                       "memory-mb",     "max-connections",
                                                       "source-ip",     "log-level"};

std::vector<std::string> KnownEnvironmentNames() {
  std::vector<std::string> vars;
  for (const auto& spec : SettingsFor(nullptr))
    vars.push_back(support::ToEnvironmentName(spec.name));
  for (const auto& name : kNodeProgramSettings) vars.push_back(support::ToEnvironmentName(name));
  return vars;
}

/// Returns the arguments before the first flag, which start with the command's name.
std::vector<std::string> LeadingWords(std::span<const std::string> arguments) {
  const auto end = std::find_if(arguments.begin(), arguments.end(),
                                [](const std::string& word) { return word.starts_with("-"); });
  return {arguments.begin(), end};
}

/// Adds a finding for an unknown command, a missing argument or an excess argument. `words` are the
/// positional arguments; there must be at least one.
void CheckCommand(const command_spec* command, std::span<const std::string> words,
                  support::findings& problems) {
  if (command == nullptr) {
    std::vector<std::string> names;
    for (const auto& known : Commands()) names.push_back(known.name);
    const std::string name =
        words.size() > 1 && (words[0] == "quarantine" || words[0] == "completion")
            ? words[0] + ' ' + words[1]
            : words[0];
    // An incomplete name, for example "quarantine", is completed.
    const auto longer = std::find_if(names.begin(), names.end(), [&](const std::string& known) {
      return known.starts_with(name + ' ');
    });
    const std::string_view nearest =
        longer != names.end() ? *longer : support::FindNearestName(name, names);
    problems.Add(
        name, "unknown command",
        nearest.empty() ? "see siskinctl --help" : "did you mean '" + std::string(nearest) + "'?");
    return;
  }
  const auto arguments = words.subspan(WordCount(*command));
  for (std::size_t i = arguments.size(); i < command->arguments.size(); ++i) {
    problems.Add(command->name, command->arguments[i] + " is missing",
                 "see siskinctl " + command->name + " --help");
  }
  for (std::size_t i = command->arguments.size(); i < arguments.size(); ++i) {
    problems.Add(arguments[i], "unexpected argument");
  }
}

/// Prints `error` and returns its exit code.
int PrintError(const command_error& error, bool as_json, std::ostream& err) {
  if (!as_json) {
    if (!error.message.empty()) err << error.message << '\n';
    for (const std::string& line : error.details) err << "  " << line << '\n';
    err << error.problems;
    return error.exit_code;
  }
  json::array findings;
  for (const support::finding& finding : error.problems.items()) {
    findings.push_back(json::object{
        {"place", finding.place}, {"message", finding.message}, {"hint", finding.hint}});
  }
  err << json::serialize(json::object{{"error", error.message},
                                      {"exit_code", error.exit_code},
                                      {"details", json::value_from(error.details)},
                                      {"findings", std::move(findings)}})
      << '\n';
  return error.exit_code;
}

/// Prints `report` and returns its exit code, or kExitFailed if `out` can't be written.
int PrintReport(const command_report& report, bool as_json, std::ostream& out, std::ostream& err) {
  for (const std::string& warning : report.warnings) err << "warning: " << warning << '\n';
  if (as_json) {
    out << json::serialize(report.data) << '\n';
  } else {
    out << report.text;
  }
  out.flush();
  return out ? report.exit_code : kExitFailed;
}

/// Runs the command, prints its result or error, and returns the exit code.
int RunCommand(const command_spec& command, const support::settings& values, std::ostream& out,
               std::ostream& err) {
  const bool as_json = values.text("output") == "json";
  const auto words = values.positional().subspan(WordCount(command));
  const auto accepts = [&](std::string_view name) {
    return std::find(command.settings.begin(), command.settings.end(), name) !=
           command.settings.end();
  };
  control_client::options options;
  if (accepts("platform-address")) options.platform = values.address("platform-address");
  if (accepts("nodes")) options.nodes = values.addresses("nodes");
  if (accepts("timeout-ms"))
    options.timeout = std::chrono::milliseconds(values.integer("timeout-ms"));
  control_client client(options);
  return leaf::try_handle_all(
      [&]() -> leaf::result<int> {
        BOOST_LEAF_AUTO(report, command.run(client, {{words.begin(), words.end()}, values}));
        return PrintReport(report, as_json, out, err);
      },
      [&](const command_error& error) { return PrintError(error, as_json, err); },
      [&] {
        err << "unexpected error\n";
        return kExitFailed;
      });
}

}  // namespace

leaf::error_id MakeInputError(std::string place, std::string message, std::string hint) {
  command_error error{support::kExitFindings, {}, {}, {}};
  error.problems.Add(std::move(place), std::move(message), std::move(hint));
  return leaf::new_error(std::move(error));
}

std::string FormatTable(const std::vector<std::vector<std::string>>& rows) {
  std::vector<std::size_t> widths;
  for (const auto& row : rows) {
    widths.resize(std::max(widths.size(), row.size()));
    for (std::size_t i = 0; i < row.size(); ++i) widths[i] = std::max(widths[i], row[i].size());
  }
  std::string text;
  for (const auto& row : rows) {
    for (std::size_t i = 0; i < row.size(); ++i) {
      text += row[i];
      if (i + 1 < row.size()) text += std::string(widths[i] + 2 - row[i].size(), ' ');
    }
    text += '\n';
  }
  return text;
}

command_result PrintBashCompletion(control_client&, const command_input&) {
  std::string script = BashCompletion();
  json::object data{{"script", script}};
  return command_report{std::move(script), std::move(data), {}, kExitOk};
}

int RunProgram(std::span<const std::string> arguments,
               const support::environment_lookup& environment,
               std::span<const std::string> environment_names, std::ostream& out,
               std::ostream& err) {
  const auto leading = LeadingWords(arguments);
  const command_spec* command = FindCommand(leading);
  const auto declared = SettingsFor(command);
  support::findings problems;
  const auto values = support::settings::Parse(declared, arguments, environment, problems);
  support::CheckEnvironmentNames(KnownEnvironmentNames(), environment_names, problems);
  if (problems.empty() && values.flag("help")) {
    out << HelpText(command);
    return kExitOk;
  }
  if (problems.empty() && values.flag("print-settings")) {
    out << values.Describe(declared);
    return kExitOk;
  }
  if (leading.empty()) {
    problems.Add("command", "is missing", "see siskinctl --help");
  } else {
    CheckCommand(command, values.positional(), problems);
  }
  if (!problems.empty()) {
    return PrintError({support::kExitFindings, {}, std::move(problems), {}},
                      values.text("output") == "json", err);
  }
  return RunCommand(*command, values, out, err);
}

}  // namespace siskinrack::control
