#include "siskinrack/config/validation.h"

#include <algorithm>
#include <set>
#include <string>

namespace siskinrack::config {
namespace {

/// Returns true if `name` is safe in logs, object names and metrics.
bool IsValidName(std::string_view name) {
  constexpr std::string_view kAllowedCharacters = "abcdefghijklmnopqrstuvwxyz0123456789-_.";
  return !name.empty() && name.size() <= kMaxNameBytes &&
         name.find_first_not_of(kAllowedCharacters) == std::string_view::npos;
}

/// Returns true if `prefix` starts with '/' and consists of at most kMaxPrefixBytes printable ASCII
/// bytes. Other bytes aren't allowed in a request target, and text that isn't UTF-8 can't be parsed
/// back from its JSON form.
bool IsPathPrefix(std::string_view prefix) {
  return prefix.starts_with('/') && prefix.size() <= kMaxPrefixBytes &&
         std::all_of(prefix.begin(), prefix.end(), [](char c) { return c > ' ' && c < 0x7f; });
}

/// Returns the place of a resource in findings, for example "routes[tray]".
std::string Place(std::string_view kind, std::string_view name) {
  return std::string(kind) + '[' + std::string(name) + ']';
}

/// Checks the size of `list`, and that its names are valid and unique.
template <typename Resource>
void CheckSizeAndNames(std::string_view kind, const std::vector<Resource>& list, std::size_t max,
                       support::findings& problems) {
  if (list.size() > max) {
    problems.Add(std::string(kind), "has more than " + std::to_string(max) + " entries");
  }
  std::set<std::string_view> seen;
  for (const Resource& entry : list) {
    if (!IsValidName(entry.name)) {
      problems.Add(Place(kind, entry.name), "name is not valid",
                   "1 to 63 of a-z, 0-9, '-', '_' and '.'");
    }
    if (!seen.insert(entry.name).second) problems.Add(Place(kind, entry.name), "duplicate name");
  }
}

void CheckService(const service& item, support::findings& problems) {
  if (item.slots == 0 || item.slots > kMaxSlots) {
    problems.Add(Place("services", item.name) + ".slots", "is out of range",
                 "1 to " + std::to_string(kMaxSlots));
  }
}

void CheckRank(const rank_policy& policy, support::findings& problems) {
  const std::string place = Place("ranks", policy.name);
  if (policy.target_ms == 0 || policy.target_ms > kMaxTargetMs) {
    problems.Add(place + ".target_ms", "is out of range",
                 "1 to " + std::to_string(kMaxTargetMs) + " ms");
  }
  if (policy.worth == 0) problems.Add(place + ".worth", "is out of range", "at least 1");
  if (policy.floor_percent > 100) {
    problems.Add(place + ".floor_percent", "is out of range", "0 to 100 percent");
  }
}

void CheckRoute(const route& item, const mesh_resources& resources, support::findings& problems) {
  const std::string place = Place("routes", item.name);
  if (!IsPathPrefix(item.prefix)) {
    problems.Add(place + ".prefix", "is not a path prefix",
                 "starts with '/', at most 512 printable ASCII bytes");
  }
  const service* target = resources.FindService(item.service);
  if (target == nullptr) {
    problems.Add(place + ".service", "service '" + item.service + "' does not exist");
  } else if (target->state != service_state::kActive) {
    problems.Add(place + ".service", "service '" + item.service + "' is retiring");
  }
  if (resources.FindRank(item.rank) == nullptr) {
    problems.Add(place + ".rank", "rank '" + item.rank + "' does not exist");
  }
}

}  // namespace

void Validate(const mesh_resources& resources, support::findings& problems) {
  CheckSizeAndNames("services", resources.services, kMaxServices, problems);
  CheckSizeAndNames("routes", resources.routes, kMaxRoutes, problems);
  CheckSizeAndNames("ranks", resources.ranks, kMaxRanks, problems);
  for (const service& item : resources.services) CheckService(item, problems);
  std::uint64_t floor_sum = 0;
  for (const rank_policy& policy : resources.ranks) {
    CheckRank(policy, problems);
    floor_sum += policy.floor_percent;
  }
  if (floor_sum > 100) problems.Add("ranks", "floors sum to more than 100 percent");
  std::set<std::string_view> prefixes;
  for (const route& item : resources.routes) {
    CheckRoute(item, resources, problems);
    if (!prefixes.insert(item.prefix).second) {
      problems.Add(Place("routes", item.name) + ".prefix", "is used by another route");
    }
  }
}

}  // namespace siskinrack::config
