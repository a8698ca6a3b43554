#include <algorithm>
#include <boost/json.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <fstream>
#include <set>
#include <sstream>

#include "command.h"
#include "control_client.h"
#include "plan_store.h"
#include "siskinrack/config/canonical_json.h"
#include "siskinrack/config/intent_reader.h"
#include "siskinrack/config/validation.h"

namespace siskinrack::control {
namespace {

constexpr unsigned kHttpOk = 200;
/// Maximum number of nodes that receive an accepted version directly, so that it propagates even if
/// the platform fails right after accepting it.
constexpr std::size_t kMaxDirectPushes = 3;
/// Bounds the time that a confirmation spends on unresponsive nodes, each of which takes 2 s to
/// time out.
constexpr std::size_t kMaxPushAttempts = 6;
constexpr std::size_t kPlanIdDigits = 16;
/// Size limit of a platform object's value.
constexpr std::size_t kMaxObjectBytes = 1U << 20U;

leaf::result<config::mesh_resources> ReadIntentFile(const std::string& file) {
  std::ifstream in(file, std::ios::binary);
  std::ostringstream text;
  if (in) text << in.rdbuf();
  // Opening a directory succeeds; reading it fails.
  if (!in || text.fail()) return MakeInputError(file, "can't be read");
  support::findings problems;
  auto intent = config::ReadIntent(file, text.str(), problems);
  if (!intent) {
    return leaf::new_error(
        command_error{support::kExitFindings, "the intent is not valid", std::move(problems), {}});
  }
  return std::move(*intent);
}

/// Makes the plan for `intent` on the head and validates its result. Services that are being
/// removed count against the limits too.
leaf::result<config::plan> MakePlanOnHead(control_client& client,
                                          const config::mesh_resources& intent) {
  BOOST_LEAF_AUTO(head, ReadHead(client));
  config::plan plan = config::MakePlan(head.config, intent);
  support::findings problems;
  config::Validate(plan.result.resources, problems);
  if (config::ToJson(plan).size() > kMaxObjectBytes) {
    problems.Add("plan", "exceeds the size limit of a platform object", "at most 1 MiB");
  }
  if (problems.empty()) return plan;
  return leaf::new_error(
      command_error{support::kExitFindings,
                    "the intent does not fit on version " + std::to_string(head.config.version),
                    std::move(problems),
                    {}});
}

std::set<std::string> CollectFailureDomains(control_client& client) {
  std::set<std::string> domains;
  for (const node_info& node : client.DiscoverNodes()) {
    if (!node.failure_domain.empty()) domains.insert(node.failure_domain);
  }
  return domains;
}

json::object StepsToJson(const config::plan& plan, const std::set<std::string>& domains) {
  json::value stored = json::parse(config::ToJson(plan));
  json::array domain_list;
  for (const std::string& domain : domains) domain_list.push_back(json::value(domain));
  return {{"id", plan.id},
          {"base_version", plan.base_version},
          {"version", plan.result.version},
          {"failure_domains", std::move(domain_list)},
          {"steps", std::move(stored.at("steps"))}};
}

std::string StepsToText(const config::plan& plan, const std::set<std::string>& domains) {
  std::string text;
  for (const config::plan_step& step : plan.steps) {
    text += "  step " + std::to_string(step.order) + " (version " + std::to_string(step.version) +
            "): " + step.title + '\n';
    for (const auto& change : step.changes) text += "    " + config::ToText(change) + '\n';
  }
  text += "  scope: every node, one atomic switch per version";
  std::string names;
  for (const std::string& domain : domains) names += (names.empty() ? "" : ", ") + domain;
  return text + (names.empty() ? "" : "; failure domains: " + names) + '\n';
}

command_report MakeNoChangeReport(const config::plan& plan) {
  return {"nothing to change\n", {{"changes", false}, {"base_version", plan.base_version}}, {}, 0};
}

/// Orders nodes for pushing: the first node of each failure domain, then the second of each, and so
/// on.
std::vector<node_info> OrderForPush(std::vector<node_info> nodes) {
  std::map<std::string, std::size_t> seen;
  std::vector<std::pair<std::size_t, node_info>> indexed;
  for (node_info& node : nodes) {
    const std::size_t index_in_domain = seen[node.failure_domain]++;
    indexed.emplace_back(index_in_domain, std::move(node));
  }
  std::stable_sort(indexed.begin(), indexed.end(),
                   [](const auto& a, const auto& b) { return a.first < b.first; });
  std::vector<node_info> order;
  order.reserve(indexed.size());
  for (auto& [index, node] : indexed) order.push_back(std::move(node));
  return order;
}

/// Pushes a version to nodes, first to one of each failure domain, until kMaxDirectPushes of them
/// accepted it or kMaxPushAttempts were tried. Returns the names of the nodes that accepted it.
std::vector<std::string> PushToNodes(control_client& client, const std::string& config_json) {
  std::vector<std::string> pushed;
  std::size_t attempts = 0;
  for (const node_info& node : OrderForPush(client.DiscoverNodes())) {
    if (pushed.size() == kMaxDirectPushes || ++attempts > kMaxPushAttempts) break;
    const auto result = client.SendToNode(node.admin_address, {"PUT", "/config", {}, config_json});
    if (result.stage != net::exchange_stage::kAnswered || result.response.status != kHttpOk) {
      continue;
    }
    pushed.push_back(node.node_id.empty() ? node.admin_address.ToText()
                                          : node.node_id + " (" + node.failure_domain + ')');
  }
  return pushed;
}

/// Returns the state of a stored plan relative to the head: "altered"; "in force"; "open" if the
/// plan can be confirmed; otherwise "replaced", whether or not the plan was ever accepted. Sets
/// `base` to its base version unless it is altered.
std::string DeterminePlanState(const std::string& stored_name, const std::string& text,
                               const config::mesh_config& head, std::string& base) {
  support::findings ignored;
  const auto plan = config::PlanFromJson(text, ignored);
  if (!plan || "plan/" + plan->id != stored_name) return "altered";
  base = std::to_string(plan->base_version);
  if (plan->id == head.plan_id) return "in force";
  return plan->base_version == head.version ? "open" : "replaced";
}

}  // namespace

command_result Validate(control_client&, const command_input& input) {
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

command_result Diff(control_client& client, const command_input& input) {
  BOOST_LEAF_AUTO(intent, ReadIntentFile(input.arguments.front()));
  BOOST_LEAF_AUTO(plan, MakePlanOnHead(client, intent));
  if (plan.empty()) return MakeNoChangeReport(plan);
  const auto domains = CollectFailureDomains(client);
  json::object data = StepsToJson(plan, domains);
  data["changes"] = true;
  data["stored"] = false;
  return command_report{"version " + std::to_string(plan.base_version) + " -> " +
                            std::to_string(plan.result.version) + ", no plan is stored\n" +
                            StepsToText(plan, domains),
                        std::move(data),
                        {},
                        kExitOk};
}

command_result Apply(control_client& client, const command_input& input) {
  BOOST_LEAF_AUTO(intent, ReadIntentFile(input.arguments.front()));
  BOOST_LEAF_AUTO(plan, MakePlanOnHead(client, intent));
  if (plan.empty()) return MakeNoChangeReport(plan);
  if (auto result = StorePlan(client, plan); !result) return result.error();
  const auto domains = CollectFailureDomains(client);
  json::object data = StepsToJson(plan, domains);
  data["changes"] = true;
  data["stored"] = true;
  return command_report{
      "plan " + plan.id + ": version " + std::to_string(plan.base_version) + " -> " +
          std::to_string(plan.result.version) + '\n' + StepsToText(plan, domains) +
          "nothing has taken effect; confirm with: siskinctl confirm " + plan.id + '\n',
      std::move(data),
      {},
      kExitOk};
}

command_result Confirm(control_client& client, const command_input& input) {
  const std::string& plan_id = input.arguments.front();
  if (plan_id.size() != kPlanIdDigits ||
      plan_id.find_first_not_of("0123456789abcdef") != std::string::npos) {
    return MakeInputError(plan_id, "is not a plan id",
                          "16 hexadecimal digits, as apply prints them");
  }
  BOOST_LEAF_AUTO(plan, ReadPlan(client, plan_id));
  BOOST_LEAF_AUTO(accepted, AcceptPlan(client, plan));
  const auto pushed = PushToNodes(client, config::ToJson(accepted.head));
  const bool replaced = accepted.head.version != plan.result.version;
  std::string text = "confirmed plan " + plan_id + ": version " +
                     std::to_string(plan.result.version) +
                     (accepted.accepted_before ? " was accepted" : " is accepted");
  if (replaced) text += ", version " + std::to_string(accepted.head.version) + " is in force now";
  text += '\n';
  json::array pushed_to;
  for (const std::string& name : pushed) {
    text += "pushed to " + name + '\n';
    pushed_to.push_back(json::value(name));
  }
  command_report report{std::move(text),
                        {{"plan", plan_id},
                         {"version", plan.result.version},
                         {"head_version", accepted.head.version},
                         {"accepted_before", accepted.accepted_before},
                         {"pushed_to", std::move(pushed_to)}},
                        {},
                        kExitOk};
  if (pushed.empty()) {
    report.warnings.emplace_back(
        "the version was not pushed to any node; nodes will read it from the platform (see "
        "--nodes)");
  }
  return report;
}

command_result ListPlans(control_client& client, const command_input&) {
  BOOST_LEAF_AUTO(head, ReadHead(client));
  BOOST_LEAF_AUTO(stored, client.ListObjects("plan/", "listing the plans"));
  std::vector<std::vector<std::string>> rows = {{"PLAN", "BASE", "STATE"}};
  json::array list;
  for (const platform::stored_object& object : stored) {
    const std::string id = object.name.substr(object.name.find('/') + 1);
    std::string base = "-";
    const std::string state = DeterminePlanState(object.name, object.value, head.config, base);
    rows.push_back({id, base, state});
    list.push_back(json::object{{"id", id}, {"base_version", base}, {"state", state}});
  }
  return command_report{FormatTable(rows),
                        {{"head_version", head.config.version}, {"plans", std::move(list)}},
                        {},
                        kExitOk};
}

}  // namespace siskinrack::control
