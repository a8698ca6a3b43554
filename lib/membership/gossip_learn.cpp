#include <algorithm>

#include "record_batch.h"
#include "siskinrack/membership/gossip.h"

namespace siskinrack::membership {
namespace {

/// Time in which a node that starts learns of the others.
constexpr time_ms kJoinPeriod{10'000};
/// About the number of whole records that the burst of the byte budget carries.
constexpr std::size_t kJoinQueue = 64;

bool IsLive(const std::optional<member_record>& record) {
  return record && record->health == wire::member_health::alive && !IsGone(*record);
}

bool SameFixedFields(const member_record& a, const member_record& b) {
  const auto status = ToStatus(a);
  return status && ApplyStatus(*status, b).has_value();
}

/// Changes that make nodes stop or resume giving work to a member.
bool IsUrgent(const std::optional<member_record>& before, const member_record& after) {
  if (!before) return false;
  const bool refuted =
      before->health != wire::member_health::alive && after.health == wire::member_health::alive;
  const bool leaving =
      after.state != before->state &&
      (after.state == wire::upstream_state::draining || after.state == wire::upstream_state::left);
  return refuted || leaving;
}

}  // namespace

void gossip::LearnStatus(turn& at, const member_status& status) {
  if (status.id() == IdHash(self_.node_id)) {
    auto record = ApplyStatus(status, self_);
    if (!record) {
      // An earlier life with other fields, which can't be told apart by its address.
      record = self_;
      record->incarnation = status.incarnation();
      record->sequence = status.sequence();
      record->peer_address.clear();
    }
    return LearnAboutSelf(at, *record);
  }
  const auto known = table_.FindByHash(status.id());
  const auto record = known ? ApplyStatus(status, *known) : std::nullopt;
  if (record) return Learn(at, *record);
  const bool gone =
      status.health() == wire::member_health::dead || status.state() == wire::upstream_state::left;
  if (!gone) wanted_.insert(status.id());
}

void gossip::Learn(turn& at, const member_record& record) {
  if (record.node_id == self_.node_id) return LearnAboutSelf(at, record);
  at.peer_has.insert(record.node_id);
  const auto before = table_.Find(record.node_id);
  // A member that died before this node heard of it is of no use, and taking it over from a peer
  // that removes it a little later would keep it in the tables for ever.
  if (!before && IsGone(record)) return;
  if (before && !Supersedes(record, *before)) {
    if (Supersedes(*before, record)) {
      at.corrections.push_back(*before);
    } else {
      queue_.CountDuplicate(record.node_id, TransmissionLimit(table_.size()));
    }
    return;
  }
  if (!table_.Merge(record)) return;
  at.learned_bytes += before ? kStatusBytes : EncodedBytes(record);
  OnChanged(at, before, record);
}

void gossip::OnChanged(turn& at, const std::optional<member_record>& before,
                       const member_record& after) {
  wanted_.erase(IdHash(after.node_id));
  const bool urgent = IsUrgent(before, after);
  // What a repair or a joining node learns is seldom new to the mesh. Passing all of it on would
  // fill the queues with the records of all members whenever a large group starts.
  const bool joining = !before && at.now < started_ + kJoinPeriod && queue_.size() >= kJoinQueue;
  if (!at.repairing && !joining) {
    // A suspicion is sent early too, because the removal of a dead member starts with it.
    const bool early = urgent || after.health == wire::member_health::suspect;
    queue_.Add(after.node_id, !before || !SameFixedFields(after, *before), early);
  }
  if (urgent) at.urgent.push_back(after);
  auto& events = at.step.events;
  const auto health = before ? before->health : wire::member_health::dead;
  if (IsLive(after) && !IsLive(before)) events.push_back({member_change::kAlive, after.node_id});
  if (after.health != health && after.health == wire::member_health::suspect) {
    events.push_back({member_change::kSuspect, after.node_id});
  }
  if (after.health != health && after.health == wire::member_health::dead) {
    events.push_back({member_change::kDead, after.node_id});
  }
  const bool drains = after.state == wire::upstream_state::draining;
  if (drains && (!before || before->state != after.state)) {
    events.push_back({member_change::kDraining, after.node_id});
  }
  TrackLiveness(at, after);
}

void gossip::TrackLiveness(turn& at, const member_record& record) {
  const std::string& id = record.node_id;
  if (IsLive(record)) {
    suspicions_.erase(id);
    gone_since_.erase(id);
    remembered_.erase(id);
    peers_.Add(id, record.failure_domain == self_.failure_domain, at.random);
    return;
  }
  peers_.Remove(id);
  if (IsGone(record)) {
    suspicions_.erase(id);
    gone_since_.try_emplace(id, at.now);
  } else {
    gone_since_.erase(id);
    suspicions_.try_emplace(id, suspicion{at.now, at.now, false});
  }
}

}  // namespace siskinrack::membership
