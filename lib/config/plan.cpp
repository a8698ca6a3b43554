#include "siskinrack/config/plan.h"

#include <algorithm>
#include <boost/json.hpp>

#include "siskinrack/config/canonical_json.h"
#include "siskinrack/config/digest.h"

namespace siskinrack::config {
namespace {

constexpr std::size_t kPlanIdDigits = 16;

// The texts of Describe and the titles of the steps are part of a stored plan: with other texts,
// PlanFromJson rejects the plans that were stored before.
std::string Describe(const service& item) {
  std::string text =
      "slots=" + std::to_string(item.slots) + " ramp_ms=" + std::to_string(item.ramp_ms);
  if (item.state == service_state::kRetiring) text += " retiring";
  return text;
}

std::string Describe(const route& item) {
  return "prefix=" + item.prefix + " service=" + item.service + " rank=" + item.rank +
         (item.non_repeatable ? " non_repeatable" : "");
}

std::string Describe(const rank_policy& policy) {
  return "target_ms=" + std::to_string(policy.target_ms) +
         " worth=" + std::to_string(policy.worth) +
         " floor_percent=" + std::to_string(policy.floor_percent);
}

/// Appends the changes of one kind of resource to `changes`. Both lists must be sorted by name.
template <typename Resource>
void CompareLists(const std::string& kind, const std::vector<Resource>& before,
                  const std::vector<Resource>& after, std::vector<resource_change>& changes) {
  auto old_item = before.begin();
  auto new_item = after.begin();
  while (old_item != before.end() || new_item != after.end()) {
    if (new_item == after.end() || (old_item != before.end() && old_item->name < new_item->name)) {
      changes.push_back({change_action::kRemove, kind, old_item->name, Describe(*old_item)});
      ++old_item;
    } else if (old_item == before.end() || new_item->name < old_item->name) {
      changes.push_back({change_action::kAdd, kind, new_item->name, Describe(*new_item)});
      ++new_item;
    } else {
      if (!(*old_item == *new_item)) {
        changes.push_back({change_action::kChange, kind, new_item->name,
                           Describe(*old_item) + " -> " + Describe(*new_item)});
      }
      ++old_item;
      ++new_item;
    }
  }
}

/// Returns `desired` plus the services that it removes from `base`, marked as retiring. Nodes that
/// still have the old version can then forward their requests to nodes with the new one.
mesh_resources KeepRemovedAsRetiring(const mesh_resources& base, mesh_resources desired) {
  for (service removed : base.services) {
    if (desired.FindService(removed.name) != nullptr) continue;
    removed.state = service_state::kRetiring;
    desired.services.push_back(std::move(removed));
    desired.SortByName();
  }
  return desired;
}

/// Appends a step to `result` unless `changes` is empty.
void AddStep(plan& result, std::uint64_t version, std::string title,
             std::vector<resource_change> changes) {
  if (changes.empty()) return;
  const auto order = static_cast<std::uint32_t>(result.steps.size() + 1);
  result.steps.push_back({order, version, std::move(title), std::move(changes)});
}

/// Returns the changes for which `predicate` is true.
template <typename Predicate>
std::vector<resource_change> Select(const std::vector<resource_change>& changes,
                                    Predicate predicate) {
  std::vector<resource_change> selected;
  std::copy_if(changes.begin(), changes.end(), std::back_inserter(selected), predicate);
  return selected;
}

std::string_view ActionName(change_action action) {
  switch (action) {
    case change_action::kAdd:
      return "add";
    case change_action::kChange:
      return "change";
    case change_action::kRemove:
      break;
  }
  return "remove";
}

}  // namespace

std::vector<resource_change> DiffResources(const mesh_resources& before,
                                           const mesh_resources& after) {
  std::vector<resource_change> changes;
  CompareLists("service", before.services, after.services, changes);
  CompareLists("rank", before.ranks, after.ranks, changes);
  CompareLists("route", before.routes, after.routes, changes);
  return changes;
}

mesh_resources RemoveRetiringServices(mesh_resources resources) {
  std::erase_if(resources.services,
                [](const service& item) { return item.state == service_state::kRetiring; });
  return resources;
}

plan MakePlan(const mesh_config& base, const mesh_resources& desired) {
  plan result;
  result.base_version = base.version;
  result.base_digest = ComputeDigest(base);
  result.base = base;
  result.result.version = base.version + 1;
  result.result.resources = KeepRemovedAsRetiring(base.resources, desired);
  result.id =
      Sha256Hex(result.base_digest + ToJson(result.result.resources)).substr(0, kPlanIdDigits);
  result.result.plan_id = result.id;

  // If the result equals the base, at most services that are already retiring differ from the
  // intent, and an earlier plan covers their removal.
  if (result.result.resources == base.resources) return result;
  const std::uint64_t version = result.result.version;
  const auto changes = DiffResources(base.resources, desired);
  const auto is_removal = [](const resource_change& c) {
    return c.action == change_action::kRemove;
  };
  const auto is_kind = [](const resource_change& c, std::string_view kind) {
    return c.kind == kind;
  };
  AddStep(result, version, "add or change services and ranks",
          Select(changes, [&](const auto& c) { return !is_removal(c) && !is_kind(c, "route"); }));
  AddStep(result, version, "add or change routes",
          Select(changes, [&](const auto& c) { return !is_removal(c) && is_kind(c, "route"); }));
  AddStep(result, version, "remove routes and ranks",
          Select(changes, [&](const auto& c) { return is_removal(c) && !is_kind(c, "service"); }));
  AddStep(result, version + 1, "remove services once every node holds the version before",
          Select(changes, [&](const auto& c) { return is_removal(c) && is_kind(c, "service"); }));
  return result;
}

std::string ToJson(const plan& source) {
  namespace json = boost::json;
  json::array steps;
  for (const plan_step& step : source.steps) {
    json::array changes;
    for (const resource_change& change : step.changes) {
      changes.push_back(json::object{{"action", ActionName(change.action)},
                                     {"kind", change.kind},
                                     {"name", change.name},
                                     {"detail", change.detail}});
    }
    steps.push_back(json::object{{"order", step.order},
                                 {"version", step.version},
                                 {"title", step.title},
                                 {"changes", std::move(changes)}});
  }
  return json::serialize(json::object{{"id", source.id},
                                      {"base_version", source.base_version},
                                      {"base_digest", source.base_digest},
                                      {"base", json::parse(ToJson(source.base))},
                                      {"result", json::parse(ToJson(source.result))},
                                      {"steps", std::move(steps)}});
}

std::optional<plan> PlanFromJson(std::string_view text, support::findings& problems) {
  namespace json = boost::json;
  json::error_code error;
  const json::value value = json::parse({text.data(), text.size()}, error);
  const json::object* members = error ? nullptr : value.if_object();
  const json::value* base_json = members ? members->if_contains("base") : nullptr;
  const json::value* result_json = members ? members->if_contains("result") : nullptr;
  if (base_json == nullptr || result_json == nullptr) {
    problems.Add("plan", "is not a stored plan");
    return std::nullopt;
  }
  const auto base = ConfigFromJson(json::serialize(*base_json), problems);
  const auto result = ConfigFromJson(json::serialize(*result_json), problems);
  if (!base || !result) return std::nullopt;
  plan recomputed = MakePlan(*base, RemoveRetiringServices(result->resources));
  // Parsing and serializing only normalizes the formatting, so any other difference is an
  // alteration.
  if (ToJson(recomputed) != json::serialize(value)) {
    problems.Add("plan", "was altered after it was stored", "apply the intent again");
    return std::nullopt;
  }
  return recomputed;
}

std::string ToText(const resource_change& change) {
  return std::string(ActionName(change.action)) + ' ' + change.kind + ' ' + change.name + " (" +
         change.detail + ')';
}

}  // namespace siskinrack::config
