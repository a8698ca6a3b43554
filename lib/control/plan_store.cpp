#include "plan_store.h"

#include <boost/leaf/handle_errors.hpp>

#include "siskinrack/config/canonical_json.h"
#include "siskinrack/config/digest.h"

namespace siskinrack::control {
namespace {

using platform::store_errc;
using platform::store_error;

constexpr std::string_view kHeadObject = "config/head";
/// Accepted plans followed back from the head to find an earlier acceptance; about a day of
/// changes.
constexpr int kMaxHistory = 512;

std::string PlanObject(const std::string& plan_id) { return "plan/" + plan_id; }

leaf::error_id AlteredPlan(const std::string& plan_id, support::findings problems) {
  return leaf::new_error(command_error{support::kExitFindings,
                                       "plan " + plan_id + " is not what was stored",
                                       std::move(problems),
                                       {}});
}

leaf::error_id Conflict(const config::plan& item, const config::mesh_config& head) {
  command_error error{kExitConflict,
                      "conflict: plan " + item.id + " is for version " +
                          std::to_string(item.base_version) + ", the configuration is at version " +
                          std::to_string(head.version) + " (plan " + head.plan_id +
                          "); changed since the plan's base:",
                      {},
                      {}};
  for (const auto& change : config::DiffResources(item.base.resources, head.resources)) {
    error.details.push_back(config::ToText(change));
  }
  if (error.details.empty()) error.details.push_back("only the version, no resource");
  return leaf::new_error(std::move(error));
}

leaf::error_id OutcomeUnknown(const std::string& plan_id) {
  return leaf::new_error(command_error{kExitUnknown,
                                       "outcome unknown: the platform may have accepted plan " +
                                           plan_id + "; run confirm again, which is safe",
                                       {},
                                       {}});
}

/// The stored plan, or nothing if it doesn't exist or was altered.
leaf::result<std::optional<config::plan>> FindPlan(session& platform, const std::string& plan_id) {
  BOOST_LEAF_AUTO(stored, platform.Find(PlanObject(plan_id), "reading plan " + plan_id));
  support::findings ignored;
  if (!stored) return std::optional<config::plan>();
  return config::PlanFromJson(stored->value, ignored);
}

/// Follows the accepted plans back from the head: each names the plan in force at its base.
leaf::result<bool> WasAccepted(session& platform, const config::plan& item,
                               const config::mesh_config& head) {
  std::string plan_id = head.plan_id;
  for (int i = 0; i < kMaxHistory; ++i) {
    if (plan_id == item.id) return true;
    if (plan_id.empty()) return false;
    BOOST_LEAF_AUTO(later, FindPlan(platform, plan_id));
    if (!later || later->base_version <= item.base_version) return false;
    plan_id = later->base.plan_id;
  }
  return false;
}

}  // namespace

leaf::result<head_state> ReadHead(session& platform) {
  BOOST_LEAF_AUTO(object, platform.Find(std::string(kHeadObject), "reading the configuration"));
  if (!object) return head_state{};
  support::findings problems;
  auto config = config::ConfigFromJson(object->value, problems);
  if (!config) {
    return leaf::new_error(command_error{
        kExitFailed, "platform: the configuration can't be read", std::move(problems), {}});
  }
  return head_state{object->version, std::move(*config)};
}

leaf::result<config::plan> ReadPlan(session& platform, const std::string& plan_id) {
  BOOST_LEAF_AUTO(stored, platform.Find(PlanObject(plan_id), "reading plan " + plan_id));
  if (!stored) return BadInput(plan_id, "no such plan", "siskinctl plans lists them");
  support::findings problems;
  auto item = config::PlanFromJson(stored->value, problems);
  if (!item) return AlteredPlan(plan_id, std::move(problems));
  if (item->id != plan_id) {
    problems.Add("plan", "was altered after it was stored: its content has the id " + item->id);
    return AlteredPlan(plan_id, std::move(problems));
  }
  return std::move(*item);
}

leaf::result<void> StorePlan(session& platform, const config::plan& item) {
  const std::string text = config::ToJson(item);
  while (true) {
    const auto written = platform.Put(PlanObject(item.id), text, platform::kMustNotExist);
    if (std::holds_alternative<std::uint64_t>(written)) return {};
    const auto& error = std::get<store_error>(written);
    if (error.code == store_errc::kConflict) {
      if (auto result = ReadPlan(platform, item.id); !result) return result.error();
      return {};
    }
    const bool permanent =
        error.code == store_errc::kBadAnswer || error.code == store_errc::kNotFound;
    if (permanent || !platform.PauseAfter(error)) return PlatformError("storing the plan", error);
  }
}

leaf::result<acceptance> AcceptPlan(session& platform, const config::plan& item) {
  bool write_sent = false;
  while (true) {
    auto head = ReadHead(platform);
    if (!head) return write_sent ? OutcomeUnknown(item.id) : head.error();
    if (head->config.plan_id == item.id) return acceptance{head->config, !write_sent};
    if (head->config.version != item.base_version ||
        config::ComputeDigest(head->config) != item.base_digest) {
      const auto accepted = WasAccepted(platform, item, head->config);
      if (!accepted) return OutcomeUnknown(item.id);
      if (!*accepted) return Conflict(item, head->config);
      return acceptance{head->config, true};
    }
    const auto written =
        platform.Put(std::string(kHeadObject), config::ToJson(item.result), head->object_version);
    if (std::holds_alternative<std::uint64_t>(written)) return acceptance{item.result, false};
    const auto& error = std::get<store_error>(written);
    write_sent = write_sent || error.code == store_errc::kOutcomeUnknown;
    const bool permanent = error.code == store_errc::kBadAnswer;
    if (!permanent && platform.PauseAfter(error)) continue;
    return write_sent ? OutcomeUnknown(item.id) : PlatformError("confirming", error);
  }
}

}  // namespace siskinrack::control
