#include "siskinrack/config/model.h"

#include <algorithm>

namespace siskinrack::config {
namespace {

template <typename Resource>
const Resource* FindByName(const std::vector<Resource>& sorted, std::string_view name) {
  const auto found = std::lower_bound(
      sorted.begin(), sorted.end(), name,
      [](const Resource& resource, std::string_view target) { return resource.name < target; });
  return found != sorted.end() && found->name == name ? &*found : nullptr;
}

template <typename Resource>
void SortResources(std::vector<Resource>& list) {
  std::sort(list.begin(), list.end(),
            [](const Resource& a, const Resource& b) { return a.name < b.name; });
}

/// Returns true if `prefix` matches `path` in whole segments: "/tray" matches "/tray/7" and
/// "/tray?x", but not "/trays".
bool PrefixMatches(std::string_view prefix, std::string_view path) {
  if (!path.starts_with(prefix)) return false;
  if (prefix.ends_with('/') || path.size() == prefix.size()) return true;
  return path[prefix.size()] == '/' || path[prefix.size()] == '?';
}

}  // namespace

const service* mesh_resources::FindService(std::string_view name) const {
  return FindByName(services, name);
}

const rank_policy* mesh_resources::FindRank(std::string_view name) const {
  return FindByName(ranks, name);
}

const route* mesh_resources::MatchRoute(std::string_view path) const {
  const route* best = nullptr;
  for (const route& candidate : routes) {
    if (!PrefixMatches(candidate.prefix, path)) continue;
    if (best == nullptr || candidate.prefix.size() > best->prefix.size()) best = &candidate;
  }
  return best;
}

void mesh_resources::SortByName() {
  SortResources(services);
  SortResources(routes);
  SortResources(ranks);
}

}  // namespace siskinrack::config
