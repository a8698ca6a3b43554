#include "siskinrack/config/plan.h"

#include <algorithm>
#include <boost/json.hpp>

#include "siskinrack/config/canonical_json.h"
#include "siskinrack/config/digest.h"

namespace siskinrack::config {
namespace {

constexpr std::size_t kPlanIdDigits = 16;

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

std::string Describe(const rank_policy& item) {
  return "target_ms=" + std::to_string(item.target_ms) + " worth=" + std::to_string(item.worth) +
         " floor_percent=" + std::to_string(item.floor_percent);
}

/// Both lists are sorted by name.
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

/// Adds the services that `wanted` drops as retiring, so that nodes still on the old version can
/// forward to nodes on the new one.
mesh_resources KeepRemovedAsRetiring(const mesh_resources& base, mesh_resources wanted) {
  for (service item : base.services) {
    if (wanted.FindService(item.name) != nullptr) continue;
    item.state = service_state::kRetiring;
    wanted.services.push_back(std::move(item));
    wanted.SortByName();
  }
  return wanted;
}

void AddStep(plan& result, std::uint64_t version, std::string title,
             std::vector<resource_change> changes) {
  if (changes.empty()) return;
  const auto order = static_cast<std::uint32_t>(result.steps.size() + 1);
  result.steps.push_back({order, version, std::move(title), std::move(changes)});
}

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

plan MakePlan(const mesh_config& base, const mesh_resources& wanted) {
  plan result;
  result.base_version = base.version;
  result.base_digest = ComputeDigest(base);
  result.base = base;
  result.result.version = base.version + 1;
  result.result.resources = KeepRemovedAsRetiring(base.resources, wanted);
  result.id =
      Sha256Hex(result.base_digest + ToJson(result.result.resources)).substr(0, kPlanIdDigits);
  result.result.plan_id = result.id;

  // Only services that are being removed already differ: an earlier plan covers their removal.
  if (result.result.resources == base.resources) return result;
  const std::uint64_t version = result.result.version;
  const auto changes = DiffResources(base.resources, wanted);
  const auto removes = [](const resource_change& c) { return c.action == change_action::kRemove; };
  const auto is = [](const resource_change& c, std::string_view kind) { return c.kind == kind; };
  AddStep(result, version, "add or change services and ranks",
          Select(changes, [&](const auto& c) { return !removes(c) && !is(c, "route"); }));
  AddStep(result, version, "add or change routes",
          Select(changes, [&](const auto& c) { return !removes(c) && is(c, "route"); }));
  AddStep(result, version, "remove routes and ranks",
          Select(changes, [&](const auto& c) { return removes(c) && !is(c, "service"); }));
  AddStep(result, version + 1, "remove services once every node holds the version before",
          Select(changes, [&](const auto& c) { return removes(c) && is(c, "service"); }));
  return result;
}

std::string ToJson(const plan& item) {
  namespace json = boost::json;
  json::array steps;
  for (const plan_step& step : item.steps) {
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
  return json::serialize(json::object{{"id", item.id},
                                      {"base_version", item.base_version},
                                      {"base_digest", item.base_digest},
                                      {"base", json::parse(ToJson(item.base))},
                                      {"result", json::parse(ToJson(item.result))},
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
  plan item = MakePlan(*base, RemoveRetiringServices(result->resources));
  // Parsing and serializing drops white space and keeps everything that has a meaning.
  if (ToJson(item) != json::serialize(value)) {
    problems.Add("plan", "was altered after it was stored", "apply the intent again");
    return std::nullopt;
  }
  return item;
}

std::string ToText(const resource_change& change) {
  return std::string(ActionName(change.action)) + ' ' + change.kind + ' ' + change.name + " (" +
         change.detail + ')';
}

}  // namespace siskinrack::config
