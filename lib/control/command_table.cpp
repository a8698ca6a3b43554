#include "command_table.h"

#include <algorithm>

namespace siskinrack::control {
namespace {

using support::setting;
using support::setting_kind;

const std::vector<std::string> kPlatformSettings = {"platform-address", "timeout-ms"};
const std::vector<std::string> kNodeSettings = {"nodes", "timeout-ms"};
const std::vector<std::string> kPlatformAndNodeSettings = {"platform-address", "nodes",
                                                           "timeout-ms"};

const std::vector<setting>& AllSettings() {
  static const std::vector<setting> settings = {
      {"platform-address", setting_kind::kRemoteAddress, "address of the platform's object API",
       "127.0.0.1:7000"},
      {"nodes", setting_kind::kAddressList, "admin addresses of one or more nodes", ""},
      {"timeout-ms", setting_kind::kInteger,
       "time during which failed calls to the platform are retried", "10000", 100, 600'000, "ms"},
      {.name = "output",
       .kind = setting_kind::kText,
       .help = "output format",
       .default_value = "text",
       .choices = {"text", "json"}},
      {"request", setting_kind::kText, "show only events of this request id", ""},
      {.name = "version",
       .kind = setting_kind::kInteger,
       .help = "show only events of this configuration version",
       .default_value = "",
       .min = 0,
       .max = INT64_MAX},
      {"node", setting_kind::kName, "show only events of this node", ""},
      {"since", setting_kind::kDuration, "show only events newer than this, for example 5m", ""},
      {"print-settings", setting_kind::kFlag, "print the settings and their origins, then exit",
       "false"},
      {"help", setting_kind::kFlag, "print this help, then exit", "false"}};
  return settings;
}

const std::vector<command_spec>& AllCommands() {
  static const std::vector<command_spec> table = {
      {"validate", {"FILE"}, "check an intent offline", "", {}, &Validate},
      {"apply",
       {"FILE"},
       "store and print the plan for an intent, without activating it",
       "The same intent on the same configuration always produces the same plan.",
       kPlatformAndNodeSettings,
       &Apply},
      {"confirm",
       {"PLAN"},
       "activate a stored plan",
       "A plan whose base is not the active configuration is refused, and the changes since its\n"
       "base are listed (exit code 3). After exit code 4, run confirm again for a definite result.",
       kPlatformAndNodeSettings,
       &Confirm},
      {"diff",
       {"FILE"},
       "print what an intent would change, without storing a plan",
       "",
       kPlatformAndNodeSettings,
       &Diff},
      {"plans", {}, "list the stored plans", "", kPlatformSettings, &ListPlans},
      {"status",
       {},
       "print each node's version, its lag behind the head version, and rejected versions",
       "",
       kPlatformAndNodeSettings,
       &ShowStatus},
      {"upstreams",
       {},
       "list the upstreams as reported by one node",
       "",
       kNodeSettings,
       &ListUpstreams},
      {"quarantine list", {}, "list the quarantined requests", "", kNodeSettings, &ListQuarantine},
      {"quarantine release",
       {"FINGERPRINT"},
       "release a request from quarantine",
       "",
       kNodeSettings,
       &ReleaseQuarantine},
      {"timeline",
       {},
       "print the events of all nodes in causal order",
       "",
       {"nodes", "timeout-ms", "request", "version", "node", "since"},
       &ShowTimeline},
      {"completion bash",
       {},
       "print the completion script for bash",
       "",
       {},
       &PrintBashCompletion}};
  return table;
}

std::string MakeUsage(const command_spec& command) {
  std::string text = command.name;
  for (const std::string& argument : command.arguments) text += ' ' + argument;
  return text;
}

constexpr std::string_view kExitCodes =
    "exit codes: 0 done, 1 failed, 2 bad input or failed platform call, 3 conflict, 4 outcome "
    "unknown\n";

}  // namespace

std::span<const command_spec> Commands() { return AllCommands(); }

std::vector<setting> SettingsFor(const command_spec* command) {
  std::vector<setting> result;
  for (const setting& declared : AllSettings()) {
    const bool common =
        declared.name == "output" || declared.name == "help" || declared.name == "print-settings";
    const bool own = command == nullptr ||
                     std::find(command->settings.begin(), command->settings.end(), declared.name) !=
                         command->settings.end();
    if (common || own) result.push_back(declared);
  }
  return result;
}

std::size_t WordCount(const command_spec& command) {
  return command.name.find(' ') == std::string::npos ? 1 : 2;
}

const command_spec* FindCommand(std::span<const std::string> words) {
  for (const command_spec& command : AllCommands()) {
    const std::size_t count = WordCount(command);
    if (words.size() < count) continue;
    const std::string name = count == 1 ? words[0] : words[0] + ' ' + words[1];
    if (name == command.name) return &command;
  }
  return nullptr;
}

std::string HelpText(const command_spec* command) {
  std::string text = "usage: siskinctl ";
  if (command == nullptr) {
    text += "COMMAND [ARGUMENT] [settings]\n";
    std::size_t width = 0;
    for (const command_spec& spec : AllCommands()) width = std::max(width, MakeUsage(spec).size());
    for (const command_spec& spec : AllCommands()) {
      const std::string usage = MakeUsage(spec);
      text += "  " + usage + std::string(width + 2 - usage.size(), ' ') + spec.summary + '\n';
    }
    text += "siskinctl COMMAND --help describes the command's settings.\n";
  } else {
    text += MakeUsage(*command) + " [settings]\n" + command->summary + '\n';
    if (!command->details.empty()) text += command->details + '\n';
    text += "settings:\n" + support::DescribeOptions(SettingsFor(command));
  }
  return text + std::string(kExitCodes);
}

std::string BashCompletion() {
  std::string first_words;
  std::string cases;
  for (const command_spec& command : AllCommands()) {
    const std::string word = command.name.substr(0, command.name.find(' '));
    if ((' ' + first_words + ' ').find(' ' + word + ' ') == std::string::npos) {
      first_words += (first_words.empty() ? "" : " ") + word;
    }
    std::string flags;
    for (const setting& declared : SettingsFor(&command)) flags += " --" + declared.name;
    cases += "    '" + command.name + "'*) flags='" + flags.substr(1) + "' ;;\n";
  }
  return "_siskinctl() {\n"
         "  local word=${COMP_WORDS[COMP_CWORD]} line flags=\n"
         "  line=\"${COMP_WORDS[*]:1}\"\n"
         "  COMPREPLY=()\n"
         "  if [ \"$COMP_CWORD\" -eq 1 ]; then\n"
         "    COMPREPLY=($(compgen -W '" +
         first_words +
         "' -- \"$word\"))\n"
         "    return\n"
         "  fi\n"
         "  case \"$line\" in\n" +
         cases +
         "  esac\n"
         "  if [[ $word == -* ]]; then\n"
         "    COMPREPLY=($(compgen -W \"$flags\" -- \"$word\"))\n"
         "  elif [ \"$COMP_CWORD\" -eq 2 ]; then\n"
         "    case ${COMP_WORDS[1]} in\n"
         "      quarantine) COMPREPLY=($(compgen -W 'list release' -- \"$word\")) ;;\n"
         "      completion) COMPREPLY=($(compgen -W bash -- \"$word\")) ;;\n"
         "      validate | apply | diff) COMPREPLY=($(compgen -f -- \"$word\")) ;;\n"
         "    esac\n"
         "  fi\n"
         "}\n"
         "complete -F _siskinctl siskinctl\n";
}

}  // namespace siskinrack::control
