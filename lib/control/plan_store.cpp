#include "plan_store.h"

#include <boost/leaf/handle_errors.hpp>

#include "siskinrack/config/canonical_json.h"
#include "siskinrack/config/digest.h"

namespace siskinrack::control {
namespace {

using platform::store_errc;
using platform::store_error;

constexpr std::string_view kHeadObject = "config/head";
/// Maximum number of accepted plans to search back from the head for an earlier acceptance; covers
/// about a day of changes.
constexpr int kMaxPlanHistory = 512;

std::string PlanObjectName(const std::string& plan_id) { return "plan/" + plan_id; }

leaf::error_id MakeAlteredPlanError(const std::string& plan_id, support::findings problems) {
  return leaf::new_error(command_error{support::kExitFindings,
                                       "plan " + plan_id + " fails its integrity check",
                                       std::move(problems),
                                       {}});
}

leaf::error_id MakeConflictError(const config::plan& plan, const config::mesh_config& head) {
  command_error error{kExitConflict,
                      "conflict: plan " + plan.id + " is for version " +
                          std::to_string(plan.base_version) + ", the configuration is at version " +
                          std::to_string(head.version) + " (plan " + head.plan_id +
                          "); changed since the plan's base:",
                      {},
                      {}};
  for (const auto& change : config::DiffResources(plan.base.resources, head.resources)) {
    error.details.push_back(config::ToText(change));
  }
  if (error.details.empty()) error.details.push_back("only the version changed, no resource");
  return leaf::new_error(std::move(error));
}

leaf::error_id MakeOutcomeUnknownError(const std::string& plan_id) {
  return leaf::new_error(command_error{kExitOutcomeUnknown,
                                       "outcome unknown: the platform may have accepted plan " +
                                           plan_id + "; it is safe to run confirm again",
                                       {},
                                       {}});
}

/// Reads a stored plan. Returns std::nullopt if it doesn't exist or isn't a valid plan.
leaf::result<std::optional<config::plan>> FindPlan(control_client& client,
                                                   const std::string& plan_id) {
  BOOST_LEAF_AUTO(stored, client.FindObject(PlanObjectName(plan_id), "reading plan " + plan_id));
  support::findings ignored;
  if (!stored) return std::optional<config::plan>();
  return config::PlanFromJson(stored->value, ignored);
}

/// Returns true if the plan was accepted before. Searches back from the head: the base of each
/// accepted plan contains the id of the plan accepted before it. Returns false if the search
/// reaches kMaxPlanHistory, or a plan that is missing or altered.
leaf::result<bool> WasAccepted(control_client& client, const config::plan& plan,
                               const config::mesh_config& head) {
  std::string plan_id = head.plan_id;
  for (int i = 0; i < kMaxPlanHistory; ++i) {
    if (plan_id == plan.id) return true;
    if (plan_id.empty()) return false;
    BOOST_LEAF_AUTO(accepted, FindPlan(client, plan_id));
    if (!accepted || accepted->base_version <= plan.base_version) return false;
    plan_id = accepted->base.plan_id;
  }
  return false;
}

}  // namespace

leaf::result<head_state> ReadHead(control_client& client) {
  BOOST_LEAF_AUTO(object, client.FindObject(std::string(kHeadObject), "reading the configuration"));
  if (!object) return head_state{};
  support::findings problems;
  auto config = config::ConfigFromJson(object->value, problems);
  if (!config) {
    return leaf::new_error(command_error{
        kExitFailed, "platform: the configuration can't be read", std::move(problems), {}});
  }
  return head_state{object->version, std::move(*config)};
}

leaf::result<config::plan> ReadPlan(control_client& client, const std::string& plan_id) {
  BOOST_LEAF_AUTO(stored, client.FindObject(PlanObjectName(plan_id), "reading plan " + plan_id));
  if (!stored) return MakeInputError(plan_id, "no such plan", "siskinctl plans lists them");
  support::findings problems;
  auto plan = config::PlanFromJson(stored->value, problems);
  if (!plan) return MakeAlteredPlanError(plan_id, std::move(problems));
  if (plan->id != plan_id) {
    problems.Add("plan", "was altered after it was stored: its content has the id " + plan->id);
    return MakeAlteredPlanError(plan_id, std::move(problems));
  }
  return std::move(*plan);
}

leaf::result<void> StorePlan(control_client& client, const config::plan& plan) {
  const std::string text = config::ToJson(plan);
  while (true) {
    const auto written = client.PutObject(PlanObjectName(plan.id), text, platform::kMustNotExist);
    if (std::holds_alternative<std::uint64_t>(written)) return {};
    const auto& error = std::get<store_error>(written);
    if (error.code == store_errc::kConflict) {
      if (auto result = ReadPlan(client, plan.id); !result) return result.error();
      return {};
    }
    const bool permanent =
        error.code == store_errc::kBadAnswer || error.code == store_errc::kNotFound;
    if (permanent || !client.WaitBeforeRetry(error))
      return MakePlatformError("storing the plan", error);
  }
}

leaf::result<plan_acceptance> AcceptPlan(control_client& client, const config::plan& plan) {
  bool write_sent = false;
  while (true) {
    auto head = ReadHead(client);
    if (!head) return write_sent ? MakeOutcomeUnknownError(plan.id) : head.error();
    if (head->config.plan_id == plan.id) return plan_acceptance{head->config, !write_sent};
    if (head->config.version != plan.base_version ||
        config::ComputeDigest(head->config) != plan.base_digest) {
      const auto accepted = WasAccepted(client, plan, head->config);
      if (!accepted) return MakeOutcomeUnknownError(plan.id);
      if (!*accepted) return MakeConflictError(plan, head->config);
      return plan_acceptance{head->config, true};
    }
    const auto written = client.PutObject(std::string(kHeadObject), config::ToJson(plan.result),
                                          head->object_version);
    if (std::holds_alternative<std::uint64_t>(written)) return plan_acceptance{plan.result, false};
    const auto& error = std::get<store_error>(written);
    write_sent = write_sent || error.code == store_errc::kOutcomeUnknown;
    const bool permanent = error.code == store_errc::kBadAnswer;
    if (!permanent && client.WaitBeforeRetry(error)) continue;
    return write_sent ? MakeOutcomeUnknownError(plan.id) : MakePlatformError("confirming", error);
  }
}

}  // namespace siskinrack::control
