#include "siskinrack/quarantine/quarantine_table.h"

#include <algorithm>
#include <iterator>

namespace siskinrack::quarantine {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kCrashesAlone = 2;
constexpr std::size_t kCrashesBesideOthers = 3;

}  // namespace

bool quarantine_table::CompletedSince(std::uint64_t fingerprint, steady_time time) const {
  const auto found = completed_.find(fingerprint);
  return found != completed_.end() && found->second >= time;
}

void quarantine_table::AddSighting(std::uint64_t fingerprint, const crash& item) {
  const auto released = released_.find(fingerprint);
  if (released != released_.end() && item.at <= released->second) return;
  if (!suspects_.contains(fingerprint) && suspects_.size() >= kMaxFingerprints) return;
  auto& sightings = suspects_[fingerprint].sightings;
  const bool known = std::any_of(sightings.begin(), sightings.end(), [&](const sighting& other) {
    return other.node_id == item.node_id && other.crash_id == item.crash_id;
  });
  if (!known) sightings.push_back({item.node_id, item.crash_id, item.at});
}

std::vector<std::uint64_t> quarantine_table::HoldCandidates(const std::string& node_id,
                                                            std::uint64_t crash_id,
                                                            steady_time now) {
  std::vector<std::pair<std::uint64_t, suspect*>> candidates;
  for (auto& [fingerprint, item] : suspects_) {
    const bool seen =
        std::any_of(item.sightings.begin(), item.sightings.end(), [&](const sighting& other) {
          return other.node_id == node_id && other.crash_id == crash_id;
        });
    if (seen && item.sightings.size() >= kCrashesAlone) candidates.emplace_back(fingerprint, &item);
  }
  const std::size_t needed = candidates.size() == 1 ? kCrashesAlone : kCrashesBesideOthers;
  std::vector<std::uint64_t> held;
  for (const auto& [fingerprint, item] : candidates) {
    if (item->sightings.size() < needed) continue;
    if (now >= item->held_until) held.push_back(fingerprint);
    for (const sighting& seen : item->sightings) {
      item->held_until = std::max(item->held_until, seen.at + kHoldTime);
    }
  }
  return held;
}

quarantine_change quarantine_table::AddCrash(const crash& item, steady_time now) {
  Expire(now);
  quarantine_change verdict;
  if (item.at + kWindow <= now) return verdict;
  const std::size_t count = std::min(item.suspects.size(), kMaxSuspects);
  for (std::size_t i = 0; i < count; ++i) {
    if (CompletedSince(item.suspects[i], item.at - kWindow)) {
      verdict.cleared.push_back(item.suspects[i]);
    } else {
      AddSighting(item.suspects[i], item);
    }
  }
  verdict.quarantined = HoldCandidates(item.node_id, item.crash_id, now);
  return verdict;
}

quarantine_change quarantine_table::Complete(std::uint64_t fingerprint, steady_time now) {
  completed_[fingerprint] = now;
  completed_order_.emplace_back(now, fingerprint);
  while (completed_order_.size() > kMaxCompleted) {
    const auto [time, oldest] = completed_order_.front();
    const auto found = completed_.find(oldest);
    if (found != completed_.end() && found->second == time) completed_.erase(found);
    completed_order_.pop_front();
  }
  quarantine_change verdict;
  const auto found = suspects_.find(fingerprint);
  if (found == suspects_.end()) return verdict;
  verdict.cleared.push_back(fingerprint);
  const std::vector<sighting> sightings = std::move(found->second.sightings);
  suspects_.erase(found);
  for (const sighting& seen : sightings) {
    const auto held = HoldCandidates(seen.node_id, seen.crash_id, now);
    verdict.quarantined.insert(verdict.quarantined.end(), held.begin(), held.end());
  }
  return verdict;
}

bool quarantine_table::Release(std::uint64_t fingerprint, steady_time now) {
  const auto [found, inserted] = released_.try_emplace(fingerprint, now);
  const bool known = suspects_.erase(fingerprint) > 0;
  if (!inserted && !known) return false;
  found->second = now;
  return true;
}

bool quarantine_table::IsQuarantined(std::uint64_t fingerprint, steady_time now) const {
  const auto found = suspects_.find(fingerprint);
  return found != suspects_.end() && now < found->second.held_until;
}

std::vector<quarantined_fingerprint> quarantine_table::QuarantinedFingerprints(
    steady_time now) const {
  std::vector<quarantined_fingerprint> list;
  for (const auto& [fingerprint, item] : suspects_) {
    if (now >= item.held_until) continue;
    quarantined_fingerprint held;
    held.fingerprint = fingerprint;
    held.crashes = item.sightings.size();
    for (const sighting& seen : item.sightings) held.nodes.push_back(seen.node_id);
    held.remaining = std::chrono::duration_cast<milliseconds>(item.held_until - now);
    list.push_back(std::move(held));
  }
  return list;
}

void quarantine_table::Expire(steady_time now) {
  for (auto item = suspects_.begin(); item != suspects_.end();) {
    auto& sightings = item->second.sightings;
    std::erase_if(sightings, [&](const sighting& seen) { return seen.at + kWindow <= now; });
    const bool over = sightings.empty() && now >= item->second.held_until;
    item = over ? suspects_.erase(item) : std::next(item);
  }
  // Evidence older than the window counts no more, so neither does a release of it.
  std::erase_if(released_, [&](const auto& entry) { return entry.second + kWindow <= now; });
}

}  // namespace siskinrack::quarantine
