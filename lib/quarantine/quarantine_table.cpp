#include "siskinrack/quarantine/quarantine_table.h"

#include <algorithm>
#include <iterator>

namespace siskinrack::quarantine {
namespace {

using std::chrono::milliseconds;

/// Crashes after which a suspect is a candidate for the quarantine. The only candidate of a crash
/// is quarantined at once.
constexpr std::size_t kMinCrashesSoleCandidate = 2;
/// Crashes after which a candidate is quarantined if a crash has several of them.
constexpr std::size_t kMinCrashesMultipleCandidates = 3;

}  // namespace

bool quarantine_table::CompletedSince(std::uint64_t fingerprint, steady_time time) const {
  const auto found = completed_.find(fingerprint);
  return found != completed_.end() && found->second >= time;
}

void quarantine_table::AddEvidence(std::uint64_t fingerprint, const crash& evidence) {
  const auto released = released_.find(fingerprint);
  if (released != released_.end() && evidence.at <= released->second) return;
  if (!suspects_.contains(fingerprint) && suspects_.size() >= kMaxFingerprints) return;
  auto& crashes = suspects_[fingerprint].crashes;
  const bool known = std::any_of(crashes.begin(), crashes.end(), [&](const crash_reference& other) {
    return other.node_id == evidence.node_id && other.crash_id == evidence.crash_id;
  });
  if (!known) crashes.push_back({evidence.node_id, evidence.crash_id, evidence.at});
}

std::vector<std::uint64_t> quarantine_table::QuarantineCandidates(const std::string& node_id,
                                                                  std::uint64_t crash_id,
                                                                  steady_time now) {
  std::vector<std::pair<std::uint64_t, suspect*>> candidates;
  for (auto& [fingerprint, entry] : suspects_) {
    const bool in_crash =
        std::any_of(entry.crashes.begin(), entry.crashes.end(), [&](const crash_reference& other) {
          return other.node_id == node_id && other.crash_id == crash_id;
        });
    if (in_crash && entry.crashes.size() >= kMinCrashesSoleCandidate)
      candidates.emplace_back(fingerprint, &entry);
  }
  const std::size_t needed =
      candidates.size() == 1 ? kMinCrashesSoleCandidate : kMinCrashesMultipleCandidates;
  std::vector<std::uint64_t> quarantined;
  for (const auto& [fingerprint, entry] : candidates) {
    if (entry->crashes.size() < needed) continue;
    if (now >= entry->quarantined_until) quarantined.push_back(fingerprint);
    for (const crash_reference& reference : entry->crashes) {
      entry->quarantined_until =
          std::max(entry->quarantined_until, reference.at + kQuarantineDuration);
    }
  }
  return quarantined;
}

quarantine_change quarantine_table::AddCrash(const crash& evidence, steady_time now) {
  Expire(now);
  quarantine_change change;
  if (evidence.at + kEvidenceWindow <= now) return change;
  const std::size_t count = std::min(evidence.suspects.size(), kMaxSuspects);
  for (std::size_t i = 0; i < count; ++i) {
    if (CompletedSince(evidence.suspects[i], evidence.at - kEvidenceWindow)) {
      change.cleared.push_back(evidence.suspects[i]);
    } else {
      AddEvidence(evidence.suspects[i], evidence);
    }
  }
  change.quarantined = QuarantineCandidates(evidence.node_id, evidence.crash_id, now);
  return change;
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
  quarantine_change change;
  const auto found = suspects_.find(fingerprint);
  if (found == suspects_.end()) return change;
  change.cleared.push_back(fingerprint);
  const std::vector<crash_reference> crashes = std::move(found->second.crashes);
  suspects_.erase(found);
  for (const crash_reference& reference : crashes) {
    const auto quarantined = QuarantineCandidates(reference.node_id, reference.crash_id, now);
    change.quarantined.insert(change.quarantined.end(), quarantined.begin(), quarantined.end());
  }
  return change;
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
  return found != suspects_.end() && now < found->second.quarantined_until;
}

std::vector<quarantined_fingerprint> quarantine_table::QuarantinedFingerprints(
    steady_time now) const {
  std::vector<quarantined_fingerprint> list;
  for (const auto& [fingerprint, entry] : suspects_) {
    if (now >= entry.quarantined_until) continue;
    quarantined_fingerprint quarantined;
    quarantined.fingerprint = fingerprint;
    quarantined.crashes = entry.crashes.size();
    for (const crash_reference& reference : entry.crashes)
      quarantined.nodes.push_back(reference.node_id);
    quarantined.remaining = std::chrono::duration_cast<milliseconds>(entry.quarantined_until - now);
    list.push_back(std::move(quarantined));
  }
  return list;
}

std::vector<crash> quarantine_table::Crashes() const {
  std::map<std::pair<std::string, std::uint64_t>, crash> crashes;
  for (const auto& [fingerprint, entry] : suspects_) {
    for (const crash_reference& reference : entry.crashes) {
      crash& found = crashes[{reference.node_id, reference.crash_id}];
      found.node_id = reference.node_id;
      found.crash_id = reference.crash_id;
      found.at = reference.at;
      found.suspects.push_back(fingerprint);
    }
  }
  std::vector<crash> list;
  list.reserve(crashes.size());
  for (auto& [id, found] : crashes) list.push_back(std::move(found));
  return list;
}

void quarantine_table::Expire(steady_time now) {
  for (auto entry = suspects_.begin(); entry != suspects_.end();) {
    auto& crashes = entry->second.crashes;
    std::erase_if(crashes, [&](const crash_reference& reference) {
      return reference.at + kEvidenceWindow <= now;
    });
    const bool expired = crashes.empty() && now >= entry->second.quarantined_until;
    entry = expired ? suspects_.erase(entry) : std::next(entry);
  }
  // Evidence older than the window no longer counts, so its release is no longer needed.
  std::erase_if(released_,
                [&](const auto& entry) { return entry.second + kEvidenceWindow <= now; });
}

}  // namespace siskinrack::quarantine
