#include <algorithm>

#include "siskinrack/membership/gossip.h"

namespace siskinrack::membership {
namespace {

/// Number of relays that probe a member which did not reply to this node.
constexpr std::size_t kIndirectProbes = 2;
/// Maximum number of members of a suspect's failure domain to probe, and the number of random peers
/// among which they are searched.
constexpr std::size_t kSameDomainProbes = 2;
constexpr std::size_t kSameDomainSample = 16;
/// Maximum random delay of a probe after a broken link. The links of a member that dies break at
/// many nodes at once, and the delay spreads their probes.
constexpr time_ms kLinkProbeSpread{300};
/// Interval between notices to a suspect, since a notice may be lost.
constexpr time_ms kNoticeInterval{1'000};
/// Gap between ticks above which this process counts as paused.
constexpr time_ms kPauseThreshold{2'000};
/// Time after a pause in which missing replies are ignored.
constexpr time_ms kIgnoreAfterPause{1'000};
/// Time for which removed dead members are contacted again; region partitions last about an hour.
constexpr time_ms kRejoinCandidatePeriod{4 * 3'600'000};
constexpr std::size_t kMaxRejoinCandidates = 1'024;

bool IsAlive(const std::optional<member_record>& record) {
  return record && record->health == wire::member_health::alive && !IsGone(*record);
}

}  // namespace

bool gossip::WasPaused(time_ms now) const { return now - last_tick_ > kPauseThreshold; }

void gossip::ShiftTimersAfterPause(input_context& context) {
  // This node could not receive refutations during the pause, so the pause doesn't count toward the
  // suspicion period and the removal delay.
  const time_ms gap = context.now - last_tick_;
  for (auto& [id, entry] : suspicions_) entry.started += gap;
  for (auto& [id, since] : gone_since_) since += gap;
  indirect_probes_.clear();
  delayed_probes_.clear();
  ignore_failures_until_ = context.now + kIgnoreAfterPause;
}

gossip_output gossip::OnNoReply(const outgoing_message& request, time_ms now,
                                std::mt19937_64& random) {
  const std::lock_guard lock(mutex_);
  gossip_output output;
  input_context context{now, random, output};
  if (WasPaused(now) || now < ignore_failures_until_) return output;
  if (request.purpose == message_purpose::kExchange || request.purpose == message_purpose::kProbe) {
    ProbeIndirectly(context, request.node_id);
  }
  const auto* probe = request.message.message.Asprobe_request();
  if (request.purpose == message_purpose::kIndirectProbe && probe != nullptr) {
    OnIndirectResult(context, probe->target, false);
  }
  return output;
}

void gossip::OnLinkBroken(const std::string& node_id, time_ms now, std::mt19937_64& random) {
  const std::lock_guard lock(mutex_);
  const auto spread = static_cast<std::uint64_t>(kLinkProbeSpread.count());
  delayed_probes_.try_emplace(node_id, now + time_ms(random() % spread));
}

void gossip::SendDueProbes(input_context& context) {
  for (auto it = delayed_probes_.begin(); it != delayed_probes_.end();) {
    if (context.now < it->second) {
      ++it;
      continue;
    }
    Probe(context, it->first);
    it = delayed_probes_.erase(it);
  }
}

void gossip::Probe(input_context& context, const std::string& node_id) {
  const auto member = table_.Find(node_id);
  if (!IsAlive(member)) return;
  context.output.messages.push_back({message_purpose::kProbe, node_id, member->peer_address,
                                     wire::MakeEnvelope(wire::probe_request_t{}), kReplyTimeout});
}

void gossip::ProbeIndirectly(input_context& context, const std::string& node_id) {
  if (!IsAlive(table_.Find(node_id)) || indirect_probes_.count(node_id) != 0) return;
  const auto relays = peers_.Sample(kIndirectProbes, node_id, context.random);
  unsigned sent = 0;
  for (const std::string& relay : relays) {
    const auto record = table_.Find(relay);
    if (!record) continue;
    wire::probe_request_t probe;
    probe.target = node_id;
    context.output.messages.push_back({message_purpose::kIndirectProbe, relay, record->peer_address,
                                       wire::MakeEnvelope(std::move(probe)), kIndirectTimeout});
    ++sent;
  }
  if (sent == 0) return MarkSuspect(context, node_id);
  indirect_probes_[node_id] = {sent, false};
}

void gossip::OnIndirectResult(input_context& context, const std::string& node_id, bool reached) {
  const auto found = indirect_probes_.find(node_id);
  if (found == indirect_probes_.end()) return;
  found->second.reached = found->second.reached || reached;
  if (--found->second.pending > 0) return;
  const bool any_reached = found->second.reached;
  indirect_probes_.erase(found);
  if (!any_reached) MarkSuspect(context, node_id);
}

void gossip::MarkSuspect(input_context& context, const std::string& node_id) {
  const auto before = table_.Find(node_id);
  if (!IsAlive(before)) return;
  member_record suspect = *before;
  suspect.health = wire::member_health::suspect;
  if (!table_.Merge(suspect)) return;
  OnRecordChanged(context, before, suspect);
  suspicions_[node_id].is_local = true;
  ProbeSameDomain(context, suspect);
}

void gossip::ProbeSameDomain(input_context& context, const member_record& suspect) {
  // Members of a failure domain often fail together, and exchanges with other failure domains are
  // rare.
  std::size_t chosen = 0;
  for (const std::string& id : peers_.Sample(kSameDomainSample, suspect.node_id, context.random)) {
    const auto record = table_.Find(id);
    if (!record || record->failure_domain != suspect.failure_domain) continue;
    delayed_probes_.try_emplace(id, context.now);
    if (++chosen == kSameDomainProbes) return;
  }
}

void gossip::UpdateSuspicions(input_context& context) {
  std::vector<std::string> expired;
  for (auto& [id, entry] : suspicions_) {
    if (context.now >= entry.started + kSuspicionPeriod) expired.push_back(id);
    if (!entry.is_local || context.now < entry.next_notice) continue;
    // Gossip alone may take longer than the suspicion period to reach one particular member of 550.
    entry.next_notice = context.now + kNoticeInterval;
    if (const auto record = table_.Find(id)) PushTo(context, *record, id);
  }
  for (const std::string& id : expired) {
    const auto before = table_.Find(id);
    suspicions_.erase(id);
    if (!before || before->health != wire::member_health::suspect) continue;
    member_record dead = *before;
    dead.health = wire::member_health::dead;
    if (table_.Merge(dead)) OnRecordChanged(context, before, dead);
  }
}

void gossip::RemoveExpiredMembers(input_context& context) {
  for (auto it = gone_since_.begin(); it != gone_since_.end();) {
    if (context.now < it->second + kRemovalDelay) {
      ++it;
      continue;
    }
    const auto record = table_.Find(it->first);
    const bool dead = record && record->health == wire::member_health::dead;
    if (dead && rejoin_candidates_.size() < kMaxRejoinCandidates) {
      rejoin_candidates_[it->first] = {record->peer_address, context.now};
    }
    table_.Remove(it->first);
    queue_.Remove(it->first);
    it = gone_since_.erase(it);
  }
  std::erase_if(rejoin_candidates_, [&](const auto& entry) {
    return context.now >= entry.second.since + kRejoinCandidatePeriod;
  });
}

}  // namespace siskinrack::membership
