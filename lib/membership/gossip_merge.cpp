#include <algorithm>

#include "record_batch.h"
#include "siskinrack/membership/gossip.h"

namespace siskinrack::membership {
namespace {

/// Time after its start for which a node counts as joining.
constexpr time_ms kJoinPeriod{10'000};
/// Queue length from which a joining node doesn't queue new records. The burst of the byte budget
/// carries fewer full records than this.
constexpr std::size_t kJoinQueueLimit = 64;

bool IsAlive(const std::optional<member_record>& record) {
  return record && record->health == wire::member_health::alive && !IsGone(*record);
}

bool HasSameFixedFields(const member_record& a, const member_record& b) {
  const auto status = ToStatus(a);
  return status && ApplyStatus(*status, b).has_value();
}

/// Returns true for a refutation, after which nodes may route work to the member again, and for a
/// drain or departure, after which they have to stop.
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

void gossip::MergeStatus(input_context& context, const member_status& status) {
  if (status.id() == IdHash(self_.node_id)) {
    auto record = ApplyStatus(status, self_);
    if (!record) {
      // The status is from an earlier run of this node with other fixed fields. The cleared address
      // makes HandleOwnRecord treat it as a different run.
      record = self_;
      record->incarnation = status.incarnation();
      record->sequence = status.sequence();
      record->peer_address.clear();
    }
    return HandleOwnRecord(context, *record);
  }
  const auto known = table_.FindByHash(status.id());
  const auto record = known ? ApplyStatus(status, *known) : std::nullopt;
  if (record) return MergeRecord(context, *record);
  // MergeRecord would not add the record of a dead or departed member.
  const bool gone =
      status.health() == wire::member_health::dead || status.state() == wire::upstream_state::left;
  if (!gone) missing_ids_.insert(status.id());
}

void gossip::MergeRecord(input_context& context, const member_record& record) {
  if (record.node_id == self_.node_id) return HandleOwnRecord(context, record);
  context.peer_record_ids.insert(record.node_id);
  const auto before = table_.Find(record.node_id);
  // A dead or departed member without a record in this table is not added. Nodes remove such
  // records at slightly different times, so adding one from a node that still has it would keep it
  // in the tables forever.
  if (!before && IsGone(record)) return;
  if (before && !Supersedes(record, *before)) {
    if (Supersedes(*before, record)) {
      context.corrections.push_back(*before);
    } else {
      queue_.CountDuplicate(record.node_id, TransmissionLimit(table_.size()));
    }
    return;
  }
  if (!table_.Merge(record)) return;
  context.new_record_bytes += before ? kStatusBytes : EncodedBytes(record);
  OnRecordChanged(context, before, record);
}

void gossip::OnRecordChanged(input_context& context, const std::optional<member_record>& before,
                             const member_record& after) {
  missing_ids_.erase(IdHash(after.node_id));
  const bool urgent = IsUrgent(before, after);
  // Records received in a repair or while joining are rarely new to the mesh. Forwarding all of
  // them would fill the queues with the records of all members whenever a large group starts.
  const bool joining =
      !before && context.now < started_ + kJoinPeriod && queue_.size() >= kJoinQueueLimit;
  if (!context.repairing && !joining) {
    // A suspicion is sent early too, because it is the first step to the removal of a dead member.
    const bool early = urgent || after.health == wire::member_health::suspect;
    queue_.Add(after.node_id, !before || !HasSameFixedFields(after, *before), early);
  }
  if (urgent) context.urgent.push_back(after);
  auto& events = context.output.events;
  const auto old_health = before ? before->health : wire::member_health::dead;
  if (IsAlive(after) && !IsAlive(before)) events.push_back({member_change::kAlive, after.node_id});
  if (after.health != old_health && after.health == wire::member_health::suspect) {
    events.push_back({member_change::kSuspect, after.node_id});
  }
  if (after.health != old_health && after.health == wire::member_health::dead) {
    events.push_back({member_change::kDead, after.node_id});
  }
  const bool is_draining = after.state == wire::upstream_state::draining;
  if (is_draining && (!before || before->state != after.state)) {
    events.push_back({member_change::kDraining, after.node_id});
  }
  TrackLiveness(context, after);
}

void gossip::TrackLiveness(input_context& context, const member_record& record) {
  const std::string& id = record.node_id;
  if (IsAlive(record)) {
    suspicions_.erase(id);
    gone_since_.erase(id);
    rejoin_candidates_.erase(id);
    peers_.Add(id, record.failure_domain == self_.failure_domain, context.random);
    return;
  }
  peers_.Remove(id);
  if (IsGone(record)) {
    suspicions_.erase(id);
    gone_since_.try_emplace(id, context.now);
  } else {
    gone_since_.erase(id);
    suspicions_.try_emplace(id, suspicion{context.now, context.now, false});
  }
}

}  // namespace siskinrack::membership
