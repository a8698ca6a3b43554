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

template <typename Resource>
const Resource* FindNamed(const std::vector<Resource>& sorted, std::string_view name) {
  const auto found = std::lower_bound(
      sorted.begin(), sorted.end(), name,
      [](const Resource& item, std::string_view wanted) { return item.name < wanted; });
  return found != sorted.end() && found->name == name ? &*found : nullptr;
}

template <typename Resource>
std::vector<Resource> Changed(const std::vector<Resource>& base,
                              const std::vector<Resource>& next) {
  std::vector<Resource> changed;
  for (const Resource& item : next) {
    const Resource* old = FindNamed(base, item.name);
    if (old == nullptr || !(*old == item)) changed.push_back(item);
  }
  return changed;
}

template <typename Resource>
json::array Removed(const std::vector<Resource>& base, const std::vector<Resource>& next) {
  json::array names;
  for (const Resource& item : base) {
    if (FindNamed(next, item.name) == nullptr) names.emplace_back(item.name);
  }
  return names;
}

template <typename Resource>
void SetResources(std::vector<Resource>& list, const std::vector<Resource>& changed) {
  for (const Resource& item : changed) {
    const auto place =
        std::lower_bound(list.begin(), list.end(), item.name,
                         [](const Resource& a, const std::string& name) { return a.name < name; });
    if (place != list.end() && place->name == item.name) {
      *place = item;
    } else {
      list.insert(place, item);
    }
  }
}

template <typename Resource>
void RemoveResources(std::vector<Resource>& list, const json::value& names) {
  // A configuration holds at most kMaxRoutes resources of a kind; more names are a damaged payload.
  if (names.as_array().size() > kMaxRoutes) throw std::length_error("too many removed names");
  for (const json::value& name : names.as_array()) {
    const std::string_view wanted(name.as_string());
    std::erase_if(list, [&](const Resource& item) { return item.name == wanted; });
  }
}

void ApplyPayload(const json::value& payload, mesh_config& result, support::findings& problems) {
  result.plan_id = json::value_to<std::string>(payload.at("plan_id"));
  const auto changed = ResourcesFromJson(json::serialize(payload.at("set")), problems);
  if (!changed) return;
  const json::value& removed = payload.at("remove");
  RemoveResources(result.resources.services, removed.at("services"));
  RemoveResources(result.resources.routes, removed.at("routes"));
  RemoveResources(result.resources.ranks, removed.at("ranks"));
  SetResources(result.resources.services, changed->services);
  SetResources(result.resources.routes, changed->routes);
  SetResources(result.resources.ranks, changed->ranks);
}

}  // namespace

config_delta MakeDelta(const mesh_config& base, const mesh_config& next) {
  const mesh_resources& from = base.resources;
  const mesh_resources& to = next.resources;
  const mesh_resources changed{Changed(from.services, to.services), Changed(from.routes, to.routes),
                               Changed(from.ranks, to.ranks)};
  const json::object payload{
      {"plan_id", next.plan_id},
      {"set", json::parse(ToJson(changed))},
      {"remove", json::object{{"services", Removed(from.services, to.services)},
                              {"routes", Removed(from.routes, to.routes)},
                              {"ranks", Removed(from.ranks, to.ranks)}}}};
  return {base.version, ComputeDigest(base), next.version, ComputeDigest(next),
          json::serialize(payload)};
}

std::optional<mesh_config> ApplyDelta(const mesh_config& base, const config_delta& delta,
                                      support::findings& problems) {
  if (base.version != delta.base_version || ComputeDigest(base) != delta.base_digest) {
    problems.Add("delta.base", "is another version");
    return std::nullopt;
  }
  if (delta.payload.size() > kMaxDeltaBytes) {
    problems.Add("delta.payload", "is too large");
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
    problems.Add("delta.digest", "doesn't match the result");
    return std::nullopt;
  }
  return result;
}

}  // namespace siskinrack::config
