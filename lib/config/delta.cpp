#include "siskinrack/config/delta.h"

#include <algorithm>
#include <boost/json.hpp>
#include <stdexcept>

#include "siskinrack/config/canonical_json.h"
#include "siskinrack/config/digest.h"
#include "siskinrack/config/validation.h"

namespace siskinrack::config {
namespace {

namespace json = boost::json;

/// Returns the resource with this name, or null if there is none.
template <typename Resource>
const Resource* FindByName(const std::vector<Resource>& sorted, std::string_view name) {
  const auto found = std::lower_bound(
      sorted.begin(), sorted.end(), name,
      [](const Resource& resource, std::string_view target) { return resource.name < target; });
  return found != sorted.end() && found->name == name ? &*found : nullptr;
}

/// Returns the resources of `next` that are new or differ from `base`.
template <typename Resource>
std::vector<Resource> FindChanged(const std::vector<Resource>& base,
                                  const std::vector<Resource>& next) {
  std::vector<Resource> changed;
  for (const Resource& resource : next) {
    const Resource* old = FindByName(base, resource.name);
    if (old == nullptr || !(*old == resource)) changed.push_back(resource);
  }
  return changed;
}

/// Returns the names of the resources of `base` that are missing in `next`.
template <typename Resource>
json::array FindRemovedNames(const std::vector<Resource>& base, const std::vector<Resource>& next) {
  json::array names;
  for (const Resource& resource : base) {
    if (FindByName(next, resource.name) == nullptr) names.emplace_back(resource.name);
  }
  return names;
}

/// Adds each changed resource to `list`, or replaces the one with the same name. Keeps the order.
template <typename Resource>
void UpsertResources(std::vector<Resource>& list, const std::vector<Resource>& changed) {
  for (const Resource& resource : changed) {
    const auto position =
        std::lower_bound(list.begin(), list.end(), resource.name,
                         [](const Resource& a, const std::string& name) { return a.name < name; });
    if (position != list.end() && position->name == resource.name) {
      *position = resource;
    } else {
      list.insert(position, resource);
    }
  }
}

/// Removes the resources with these names. Throws if `names` isn't an array of strings or has more
/// than kMaxRoutes elements.
template <typename Resource>
void RemoveResources(std::vector<Resource>& list, const json::value& names) {
  // A configuration has at most kMaxRoutes resources of a kind: with more names, the payload is
  // corrupt.
  if (names.as_array().size() > kMaxRoutes) throw std::length_error("too many removed names");
  for (const json::value& name : names.as_array()) {
    const std::string_view removed_name(name.as_string());
    std::erase_if(list, [&](const Resource& resource) { return resource.name == removed_name; });
  }
}

/// Applies a parsed payload to `result`. Adds a finding for each problem in "set". Throws if
/// another member is missing or has the wrong type.
void ApplyPayload(const json::value& payload, mesh_config& result, support::findings& problems) {
  result.plan_id = json::value_to<std::string>(payload.at("plan_id"));
  const auto changed = ResourcesFromJson(json::serialize(payload.at("set")), problems);
  if (!changed) return;
  const json::value& removed = payload.at("remove");
  RemoveResources(result.resources.services, removed.at("services"));
  RemoveResources(result.resources.routes, removed.at("routes"));
  RemoveResources(result.resources.ranks, removed.at("ranks"));
  UpsertResources(result.resources.services, changed->services);
  UpsertResources(result.resources.routes, changed->routes);
  UpsertResources(result.resources.ranks, changed->ranks);
}

}  // namespace

config_delta MakeDelta(const mesh_config& base, const mesh_config& next) {
  const mesh_resources& from = base.resources;
  const mesh_resources& to = next.resources;
  const mesh_resources changed{FindChanged(from.services, to.services),
                               FindChanged(from.routes, to.routes),
                               FindChanged(from.ranks, to.ranks)};
  const json::object payload{
      {"plan_id", next.plan_id},
      {"set", json::parse(ToJson(changed))},
      {"remove", json::object{{"services", FindRemovedNames(from.services, to.services)},
                              {"routes", FindRemovedNames(from.routes, to.routes)},
                              {"ranks", FindRemovedNames(from.ranks, to.ranks)}}}};
  return {base.version, ComputeDigest(base), next.version, ComputeDigest(next),
          json::serialize(payload)};
}

std::optional<mesh_config> ApplyDelta(const mesh_config& base, const config_delta& delta,
                                      support::findings& problems) {
  if (base.version != delta.base_version || ComputeDigest(base) != delta.base_digest) {
    problems.Add("delta.base", "version or digest differs from the base");
    return std::nullopt;
  }
  if (delta.payload.size() > kMaxDeltaBytes) {
    problems.Add("delta.payload", "is too large: " + std::to_string(delta.payload.size()) +
                                      " bytes, expected at most " + std::to_string(kMaxDeltaBytes));
    return std::nullopt;
  }
  mesh_config result = base;
  result.version = delta.version;
  const std::size_t before = problems.size();
  try {
    ApplyPayload(json::parse(delta.payload), result, problems);
  } catch (const std::exception& error) {
    problems.Add("delta.payload", error.what());
  }
  if (problems.size() != before) return std::nullopt;
  if (ComputeDigest(result) != delta.digest) {
    problems.Add("delta.digest", "does not match the result");
    return std::nullopt;
  }
  return result;
}

}  // namespace siskinrack::config
