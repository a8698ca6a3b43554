#include "command_table.h"

#include <algorithm>

namespace siskinrack::control {
namespace {

using support::setting;
using support::setting_kind;

const std::vector<std::string> kPlatform = {"platform-address", "timeout-ms"};
const std::vector<std::string> kNodes = {"nodes", "timeout-ms"};
const std::vector<std::string> kBoth = {"platform-address", "nodes", "timeout-ms"};

const std::vector<setting>& AllSettings() {
  static const std::vector<setting> settings = {
      {"platform-address", setting_kind::kRemoteAddress, "the platform's object API",
       "127.0.0.1:7000"},
      {"nodes", setting_kind::kAddressList, "admin addresses of one or more nodes", ""},
      {"timeout-ms", setting_kind::kInteger,
       "time for the whole command; an unavailable platform is asked again until then", "10000",
       100, 600'000, "ms"},
      {.name = "output",
       .kind = setting_kind::kText,
       .help = "form of the output",
       .default_value = "text",
       .choices = {"text", "json"}},
      {"request", setting_kind::kText, "only events of this request id", ""},
      {.name = "version",
       .kind = setting_kind::kInteger,
       .help = "only events of this configuration version",
       .default_value = "",
       .min = 0,
       .max = INT64_MAX},
      {"node", setting_kind::kName, "only events of this node", ""},
      {"since", setting_kind::kDuration, "only events of this time before now, for example 5m", ""},
      {"print-settings", setting_kind::kFlag, "print the settings with their origin and exit",
       "false"},
      {"help", setting_kind::kFlag, "print this help and exit", "false"}};
  return settings;
}

const std::vector<command_spec>& Table() {
  static const std::vector<command_spec> table = {
      {"validate", {"FILE"}, "check an intent offline", "", {}, &Validate},
      {"apply",
       {"FILE"},
       "store the plan for an intent and print it; nothing takes effect",
       "The same intent on the same configuration always has the same plan.",
       kBoth,
       &Apply},
      {"confirm",
       {"PLAN"},
       "put a plan into effect",
       "A plan whose base is not the configuration in force is refused with what has changed\n"
       "(exit code 3). After exit code 4 run it again: it then gives the definite result.",
       kBoth,
       &Confirm},
      {"diff", {"FILE"}, "print what an intent would change; stores no plan", "", kBoth, &Diff},
      {"plans", {}, "list the stored plans", "", kPlatform, &Plans},
      {"status",
       {},
       "version of each node, lag behind the platform's head, rejected versions",
       "",
       kBoth,
       &Status},
      {"upstreams", {}, "list the upstreams as one node knows them", "", kNodes, &Upstreams},
      {"quarantine list", {}, "list the quarantined requests", "", kNodes, &QuarantineList},
      {"quarantine release",
       {"FINGERPRINT"},
       "let a quarantined request run again",
       "",
       kNodes,
       &QuarantineRelease},
      {"timeline",
       {},
       "events of all nodes in the order of cause and effect",
       "",
       {"nodes", "timeout-ms", "request", "version", "node", "since"},
       &Timeline},
      {"completion bash", {}, "print the completion script for bash", "", {}, &CompletionBash}};
  return table;
}

std::string Usage(const command_spec& command) {
  std::string text = command.name;
  for (const std::string& argument : command.arguments) text += ' ' + argument;
  return text;
}

constexpr std::string_view kExitCodes =
    "exit codes: 0 done, 1 failed, 2 findings or bad input, 3 conflict, 4 outcome unknown\n";

}  // namespace

std::span<const command_spec> Commands() { return Table(); }

std::vector<setting> SettingsOf(const command_spec* command) {
  std::vector<setting> result;
  for (const setting& item : AllSettings()) {
    const bool common =
        item.name == "output" || item.name == "help" || item.name == "print-settings";
    const bool own = command == nullptr ||
                     std::find(command->settings.begin(), command->settings.end(), item.name) !=
                         command->settings.end();
    if (common || own) result.push_back(item);
  }
  return result;
}

std::size_t WordCount(const command_spec& command) {
  return command.name.find(' ') == std::string::npos ? 1 : 2;
}

const command_spec* FindCommand(std::span<const std::string> words) {
  for (const command_spec& command : Table()) {
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
    for (const command_spec& item : Table()) width = std::max(width, Usage(item).size());
    for (const command_spec& item : Table()) {
      const std::string usage = Usage(item);
      text += "  " + usage + std::string(width + 2 - usage.size(), ' ') + item.summary + '\n';
    }
    text += "siskinctl COMMAND --help describes the command's settings.\n";
  } else {
    text += Usage(*command) + " [settings]\n" + command->summary + '\n';
    if (!command->details.empty()) text += command->details + '\n';
    text += "settings:\n" + support::DescribeOptions(SettingsOf(command));
  }
  return text + std::string(kExitCodes);
}

std::string BashCompletion() {
  std::string first;
  std::string cases;
  for (const command_spec& item : Table()) {
    const std::string word = item.name.substr(0, item.name.find(' '));
    if ((' ' + first + ' ').find(' ' + word + ' ') == std::string::npos) {
      first += (first.empty() ? "" : " ") + word;
    }
    std::string flags;
    for (const setting& flag : SettingsOf(&item)) flags += " --" + flag.name;
    cases += "    '" + item.name + "'*) flags='" + flags.substr(1) + "' ;;\n";
  }
  return "_siskinctl() {\n"
         "  local word=${COMP_WORDS[COMP_CWORD]} line flags=\n"
         "  line=\"${COMP_WORDS[*]:1}\"\n"
         "  COMPREPLY=()\n"
         "  if [ \"$COMP_CWORD\" -eq 1 ]; then\n"
         "    COMPREPLY=($(compgen -W '" +
         first +
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
