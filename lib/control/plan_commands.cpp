#include <algorithm>
#include <boost/json.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <fstream>
#include <set>
#include <sstream>

#include "command.h"
#include "plan_store.h"
#include "session.h"
#include "siskinrack/config/canonical_json.h"
#include "siskinrack/config/intent_reader.h"
#include "siskinrack/config/validation.h"

namespace siskinrack::control {
namespace {

constexpr unsigned kStatusOk = 200;
/// Nodes that get an accepted version directly, so that it spreads although the platform goes down
/// right after accepting it.
constexpr std::size_t kDirectPushes = 3;
/// Bounds the time that a confirmation spends on nodes that don't answer: 2 s each.
constexpr std::size_t kMaxPushAttempts = 6;
constexpr std::size_t kPlanIdDigits = 16;
/// Largest value of a platform object.
constexpr std::size_t kMaxObjectBytes = 1U << 20U;

leaf::result<config::mesh_resources> ReadIntentFile(const std::string& file) {
  std::ifstream in(file, std::ios::binary);
  std::ostringstream text;
  if (in) text << in.rdbuf();
  // Reading a folder opens well and fails here.
  if (!in || text.fail()) return BadInput(file, "can't be read");
  support::findings problems;
  auto intent = config::ReadIntent(file, text.str(), problems);
  if (!intent) {
    return leaf::new_error(
        command_error{support::kExitFindings, "the intent is not valid", std::move(problems), {}});
  }
  return std::move(*intent);
}

/// The plan for `intent` on the head, checked as a whole: services that are being removed count
/// against the limits too.
leaf::result<config::plan> PlanOnHead(session& platform, const config::mesh_resources& intent) {
  BOOST_LEAF_AUTO(head, ReadHead(platform));
  config::plan item = config::MakePlan(head.config, intent);
  support::findings problems;
  config::Validate(item.result.resources, problems);
  if (config::ToJson(item).size() > kMaxObjectBytes) {
    problems.Add("plan", "is larger than a platform object can be", "at most 1 MiB");
  }
  if (problems.empty()) return item;
  return leaf::new_error(
      command_error{support::kExitFindings,
                    "the intent does not fit on version " + std::to_string(head.config.version),
                    std::move(problems),
                    {}});
}

std::set<std::string> FailureDomains(session& platform) {
  std::set<std::string> domains;
  for (const known_node& node : platform.DiscoverNodes()) {
    if (!node.failure_domain.empty()) domains.insert(node.failure_domain);
  }
  return domains;
}

json::object StepsToJson(const config::plan& item, const std::set<std::string>& domains) {
  json::value stored = json::parse(config::ToJson(item));
  json::array domain_list;
  for (const std::string& domain : domains) domain_list.push_back(json::value(domain));
  return {{"id", item.id},
          {"base_version", item.base_version},
          {"version", item.result.version},
          {"failure_domains", std::move(domain_list)},
          {"steps", std::move(stored.at("steps"))}};
}

std::string StepsToText(const config::plan& item, const std::set<std::string>& domains) {
  std::string text;
  for (const config::plan_step& step : item.steps) {
    text += "  step " + std::to_string(step.order) + " (version " + std::to_string(step.version) +
            "): " + step.title + '\n';
    for (const auto& change : step.changes) text += "    " + config::ToText(change) + '\n';
  }
  text += "  where: every node, in one swap per version";
  std::string names;
  for (const std::string& domain : domains) names += (names.empty() ? "" : ", ") + domain;
  return text + (names.empty() ? "" : "; failure domains: " + names) + '\n';
}

command_report NothingToChange(const config::plan& item) {
  return {"nothing to change\n", {{"changes", false}, {"base_version", item.base_version}}, {}, 0};
}

/// Nodes in the order to push to: the first of each failure domain, then the second of each.
std::vector<known_node> PushOrder(std::vector<known_node> nodes) {
  std::map<std::string, std::size_t> seen;
  std::vector<std::pair<std::size_t, known_node>> ranked;
  for (known_node& node : nodes) {
    const std::size_t rank = seen[node.failure_domain]++;
    ranked.emplace_back(rank, std::move(node));
  }
  std::stable_sort(ranked.begin(), ranked.end(),
                   [](const auto& a, const auto& b) { return a.first < b.first; });
  std::vector<known_node> order;
  order.reserve(ranked.size());
  for (auto& [rank, node] : ranked) order.push_back(std::move(node));
  return order;
}

/// Names of the nodes that took the version.
std::vector<std::string> PushToNodes(session& platform, const std::string& config_json) {
  std::vector<std::string> pushed;
  std::size_t attempts = 0;
  for (const known_node& node : PushOrder(platform.DiscoverNodes())) {
    if (pushed.size() == kDirectPushes || ++attempts > kMaxPushAttempts) break;
    const auto result = platform.Send(node.admin, {"PUT", "/config", {}, config_json});
    if (result.stage != net::exchange_stage::kAnswered || result.response.status != kStatusOk) {
      continue;
    }
    pushed.push_back(node.node_id.empty() ? node.admin.ToText()
                                          : node.node_id + " (" + node.failure_domain + ')');
  }
  return pushed;
}

std::string PlanState(const std::string& stored_name, const std::string& text,
                      const config::mesh_config& head, std::string& base) {
  support::findings ignored;
  const auto item = config::PlanFromJson(text, ignored);
  if (!item || "plan/" + item->id != stored_name) return "altered";
  base = std::to_string(item->base_version);
  if (item->id == head.plan_id) return "in force";
  return item->base_version == head.version ? "open" : "replaced";
}

}  // namespace

command_result Validate(session&, const command_input& input) {
  const std::string& file = input.arguments.front();
  BOOST_LEAF_AUTO(intent, ReadIntentFile(file));
  return command_report{file + ": valid, " + std::to_string(intent.services.size()) +
                            " services, " + std::to_string(intent.routes.size()) + " routes, " +
                            std::to_string(intent.ranks.size()) + " ranks\n",
                        {{"file", file},
                         {"valid", true},
                         {"services", intent.services.size()},
                         {"routes", intent.routes.size()},
                         {"ranks", intent.ranks.size()}},
                        {},
                        kExitOk};
}

command_result Diff(session& platform, const command_input& input) {
  BOOST_LEAF_AUTO(intent, ReadIntentFile(input.arguments.front()));
  BOOST_LEAF_AUTO(item, PlanOnHead(platform, intent));
  if (item.empty()) return NothingToChange(item);
  const auto domains = FailureDomains(platform);
  json::object data = StepsToJson(item, domains);
  data["changes"] = true;
  data["stored"] = false;
  return command_report{"version " + std::to_string(item.base_version) + " -> " +
                            std::to_string(item.result.version) + ", no plan is stored\n" +
                            StepsToText(item, domains),
                        std::move(data),
                        {},
                        kExitOk};
}

command_result Apply(session& platform, const command_input& input) {
  BOOST_LEAF_AUTO(intent, ReadIntentFile(input.arguments.front()));
  BOOST_LEAF_AUTO(item, PlanOnHead(platform, intent));
  if (item.empty()) return NothingToChange(item);
  if (auto result = StorePlan(platform, item); !result) return result.error();
  const auto domains = FailureDomains(platform);
  json::object data = StepsToJson(item, domains);
  data["changes"] = true;
  data["stored"] = true;
  return command_report{
      "plan " + item.id + ": version " + std::to_string(item.base_version) + " -> " +
          std::to_string(item.result.version) + '\n' + StepsToText(item, domains) +
          "nothing has taken effect; confirm with: siskinctl confirm " + item.id + '\n',
      std::move(data),
      {},
      kExitOk};
}

command_result Confirm(session& platform, const command_input& input) {
  const std::string& plan_id = input.arguments.front();
  if (plan_id.size() != kPlanIdDigits ||
      plan_id.find_first_not_of("0123456789abcdef") != std::string::npos) {
    return BadInput(plan_id, "is not a plan id", "16 hexadecimal digits, as apply prints them");
  }
  BOOST_LEAF_AUTO(item, ReadPlan(platform, plan_id));
  BOOST_LEAF_AUTO(accepted, AcceptPlan(platform, item));
  const auto pushed = PushToNodes(platform, config::ToJson(accepted.head));
  const bool replaced = accepted.head.version != item.result.version;
  std::string text = "confirmed plan " + plan_id + ": version " +
                     std::to_string(item.result.version) +
                     (accepted.earlier ? " was accepted" : " is accepted");
  if (replaced) text += ", version " + std::to_string(accepted.head.version) + " is in force now";
  text += '\n';
  json::array pushed_to;
  for (const std::string& name : pushed) {
    text += "pushed to " + name + '\n';
    pushed_to.push_back(json::value(name));
  }
  command_report report{std::move(text),
                        {{"plan", plan_id},
                         {"version", item.result.version},
                         {"head_version", accepted.head.version},
                         {"accepted_before", accepted.earlier},
                         {"pushed_to", std::move(pushed_to)}},
                        {},
                        kExitOk};
  if (pushed.empty()) {
    report.warnings.emplace_back(
        "no node got the version directly; nodes get it from the platform (see --nodes)");
  }
  return report;
}

command_result Plans(session& platform, const command_input&) {
  BOOST_LEAF_AUTO(head, ReadHead(platform));
  BOOST_LEAF_AUTO(stored, platform.List("plan/", "listing the plans"));
  std::vector<std::vector<std::string>> rows = {{"PLAN", "BASE", "STATE"}};
  json::array list;
  for (const platform::stored_object& object : stored) {
    const std::string id = object.name.substr(object.name.find('/') + 1);
    std::string base = "-";
    const std::string state = PlanState(object.name, object.value, head.config, base);
    rows.push_back({id, base, state});
    list.push_back(json::object{{"id", id}, {"base_version", base}, {"state", state}});
  }
  return command_report{FormatTable(rows),
                        {{"head_version", head.config.version}, {"plans", std::move(list)}},
                        {},
                        kExitOk};
}

}  // namespace siskinrack::control
