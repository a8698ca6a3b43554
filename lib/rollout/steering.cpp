#include "siskinrack/rollout/steering.h"

#include <algorithm>
#include <vector>

namespace siskinrack::rollout {
namespace {

/// Time for which the focus stays on the same upstreams: long enough that their queues fill, short
/// enough that an order sees several groups.
constexpr std::chrono::milliseconds kFocusTurn{2'000};
/// One in this many selected requests goes to any upstream of the version: 1 - kFocusedFraction.
constexpr std::uint64_t kSpreadInterval = 4;

bool HasTarget(const order_entry& entry, const routing::endpoint& endpoint) {
  return endpoint.software_version == entry.ordered.target_version;
}

}  // namespace

steering::trial& steering::GetTrial(const order_entry& entry) {
  const auto found = trials_.find(entry.ordered.service);
  if (found != trials_.end() && found->second.order_revision == entry.ordered.revision)
    return found->second;
  return trials_
      .insert_or_assign(entry.ordered.service,
                        trial{entry.ordered.revision, share_splitter(share_), {}, 0, 0})
      .first->second;
}

void steering::UpdateFocus(trial& state, const order_entry& entry, double share,
                           std::span<const routing::endpoint> endpoints, time_point now) {
  const auto turn = static_cast<std::uint64_t>((now - entry.known_since) / kFocusTurn) + 1;
  const bool complete =
      std::all_of(state.focus.begin(), state.focus.end(), [&](const std::string& id) {
        return std::any_of(endpoints.begin(), endpoints.end(), [&](const routing::endpoint& each) {
          return each.life.instance_id == id;
        });
      });
  if (turn == state.focus_turn && complete && !state.focus.empty()) return;
  std::vector<std::string> ids;
  std::size_t others = 0;
  for (const routing::endpoint& endpoint : endpoints) {
    if (HasTarget(entry, endpoint)) {
      ids.push_back(endpoint.life.instance_id);
    } else {
      ++others;
    }
  }
  state.focus_turn = turn;
  state.focus.clear();
  for (const std::size_t index :
       ChooseFocus(ids, ComputeFocusSize(others, share), entry.ordered.revision, turn)) {
    state.focus.insert(ids[index]);
  }
}

assignment steering::Assign(const order_entry* entry, std::span<const routing::endpoint> endpoints,
                            std::uint64_t route, time_point now, std::uint64_t random) {
  if (entry == nullptr) return {};
  assignment assigned{track::kOthers, {}, route, entry->ordered.revision};
  if (entry->current == phase::kCutOver || entry->current == phase::kDone) {
    assigned.assigned = track::kTarget;
    return assigned;
  }
  if (entry->current == phase::kRolledBack) return assigned;
  trial& state = GetTrial(*entry);
  const auto targets = std::count_if(
      endpoints.begin(), endpoints.end(),
      [entry](const routing::endpoint& endpoint) { return HasTarget(*entry, endpoint); });
  if (targets == 0 || !state.splitter.Take(route)) return assigned;
  if (state.selected++ % kSpreadInterval != 0) {
    UpdateFocus(state, *entry, share_, endpoints, now);
    assigned.assigned = track::kFocus;
    return assigned;
  }
  auto skip = static_cast<std::ptrdiff_t>(random % static_cast<std::uint64_t>(targets));
  for (const routing::endpoint& endpoint : endpoints) {
    if (!HasTarget(*entry, endpoint) || skip-- > 0) continue;
    assigned.assigned = track::kSingle;
    assigned.instance_id = endpoint.life.instance_id;
    break;
  }
  return assigned;
}

bool steering::Allows(const order_entry* entry, const assignment& assigned,
                      const routing::endpoint& target) const {
  if (entry == nullptr) return true;
  const bool has_target = HasTarget(*entry, target);
  // The phase may have changed since the assignment.
  const bool blocked = entry->current == phase::kRolledBack && !entry->withdrawn;
  if (has_target && blocked) return false;
  switch (assigned.assigned) {
    case track::kOthers:
      return !has_target;
    case track::kFocus: {
      const auto state = trials_.find(entry->ordered.service);
      return has_target && state != trials_.end() &&
             state->second.focus.contains(target.life.instance_id);
    }
    case track::kSingle:
      return has_target && target.life.instance_id == assigned.instance_id;
    case track::kTarget:
      return has_target;
    default:
      // The order was not known when the request was assigned.
      return !has_target || entry->current == phase::kDone || entry->current == phase::kCutOver;
  }
}

bool steering::Redirect(const order_entry* entry, assignment& assigned) {
  if (entry == nullptr) return false;
  switch (assigned.assigned) {
    case track::kFocus:
    case track::kSingle:
      OnAttempt(entry, assigned, /*arrived=*/false);
      // The phase or the order may have changed since the assignment.
      assigned.assigned = track::kOthers;
      return true;
    case track::kTarget:
      if (entry->withdrawn) return false;
      assigned.assigned = track::kOthers;
      return true;
    case track::kOthers:
      // Nothing else is left, and nothing is known against the version of a withdrawn order.
      if (!entry->withdrawn) return false;
      assigned.assigned = track::kTarget;
      return true;
    default:
      return false;
  }
}

void steering::OnAttempt(const order_entry* entry, assignment& assigned, bool arrived) {
  if (entry == nullptr || entry->ordered.revision != assigned.order_revision) return;
  if (entry->current != phase::kTrial) return;
  trial& state = GetTrial(*entry);
  if (arrived) {
    state.splitter.OnArrival(assigned.route);
  } else if (assigned.assigned == track::kFocus || assigned.assigned == track::kSingle) {
    state.splitter.Return(assigned.route);
  }
  assigned.assigned = track::kOthers;
}

}  // namespace siskinrack::rollout
