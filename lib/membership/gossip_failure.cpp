#include <algorithm>

#include "siskinrack/membership/gossip.h"

namespace siskinrack::membership {
namespace {

constexpr std::size_t kIndirectProbes = 2;
constexpr std::size_t kNeighbourProbes = 2;
constexpr std::size_t kNeighbourSample = 16;
/// A member that dies breaks its links at many nodes at once; their probes are spread over this.
constexpr time_ms kLinkProbeSpread{300};
/// Between notices to a suspect, in case one is lost.
constexpr time_ms kNoticeInterval{1'000};
/// Longer gaps between ticks mean that this process was paused.
constexpr time_ms kPauseThreshold{2'000};
constexpr time_ms kIgnoreAfterPause{1'000};
/// Region partitions last about an hour.
constexpr time_ms kRememberPeriod{4 * 3'600'000};
constexpr std::size_t kMaxRemembered = 1'024;

bool IsAlive(const std::optional<member_record>& record) {
  return record && record->health == wire::member_health::alive && !IsGone(*record);
}

}  // namespace

bool gossip::WasPaused(time_ms now) const { return now - last_tick_ > kPauseThreshold; }

void gossip::ShiftTimersAfterPause(turn& at) {
  const time_ms gap = at.now - last_tick_;
  for (auto& [id, entry] : suspicions_) entry.started += gap;
  for (auto& [id, since] : gone_since_) since += gap;
  indirect_probes_.clear();
  delayed_probes_.clear();
  ignore_failures_until_ = at.now + kIgnoreAfterPause;
}

gossip_output gossip::OnNoReply(const outgoing_message& request, time_ms now,
                                std::mt19937_64& random) {
  const std::lock_guard lock(mutex_);
  gossip_output step;
  turn at{now, random, step};
  if (WasPaused(now) || now < ignore_failures_until_) return step;
  if (request.purpose == message_purpose::kExchange || request.purpose == message_purpose::kProbe) {
    ProbeIndirectly(at, request.node_id);
  }
  const auto* probe = request.message.message.Asprobe_request();
  if (request.purpose == message_purpose::kIndirectProbe && probe != nullptr) {
    OnIndirectResult(at, probe->target, false);
  }
  return step;
}

void gossip::OnLinkBroken(const std::string& node_id, time_ms now, std::mt19937_64& random) {
  const std::lock_guard lock(mutex_);
  const auto spread = static_cast<std::uint64_t>(kLinkProbeSpread.count());
  delayed_probes_.try_emplace(node_id, now + time_ms(random() % spread));
}

void gossip::CheckDelayedProbes(turn& at) {
  for (auto it = delayed_probes_.begin(); it != delayed_probes_.end();) {
    if (at.now < it->second) {
      ++it;
      continue;
    }
    Probe(at, it->first);
    it = delayed_probes_.erase(it);
  }
}

void gossip::Probe(turn& at, const std::string& node_id) {
  const auto member = table_.Find(node_id);
  if (!IsAlive(member)) return;
  at.step.messages.push_back({message_purpose::kProbe, node_id, member->peer_address,
                              wire::MakeEnvelope(wire::probe_request_t{}), kReplyTimeout});
}

void gossip::ProbeIndirectly(turn& at, const std::string& node_id) {
  if (!IsAlive(table_.Find(node_id)) || indirect_probes_.count(node_id) != 0) return;
  const auto helpers = peers_.Sample(kIndirectProbes, node_id, at.random);
  unsigned sent = 0;
  for (const std::string& helper : helpers) {
    const auto record = table_.Find(helper);
    if (!record) continue;
    wire::probe_request_t probe;
    probe.target = node_id;
    at.step.messages.push_back({message_purpose::kIndirectProbe, helper, record->peer_address,
                                wire::MakeEnvelope(std::move(probe)), kIndirectTimeout});
    ++sent;
  }
  if (sent == 0) return Suspect(at, node_id);
  indirect_probes_[node_id] = {sent, false};
}

void gossip::OnIndirectResult(turn& at, const std::string& node_id, bool reached) {
  const auto found = indirect_probes_.find(node_id);
  if (found == indirect_probes_.end()) return;
  found->second.reached = found->second.reached || reached;
  if (--found->second.pending > 0) return;
  const bool any_reached = found->second.reached;
  indirect_probes_.erase(found);
  if (!any_reached) Suspect(at, node_id);
}

void gossip::Suspect(turn& at, const std::string& node_id) {
  const auto before = table_.Find(node_id);
  if (!IsAlive(before)) return;
  member_record suspect = *before;
  suspect.health = wire::member_health::suspect;
  if (!table_.Merge(suspect)) return;
  OnChanged(at, before, suspect);
  suspicions_[node_id].own = true;
  ProbeNeighbours(at, suspect);
}

void gossip::ProbeNeighbours(turn& at, const member_record& suspect) {
  // Members of a failure domain often fail together, and those elsewhere are visited seldom.
  std::size_t chosen = 0;
  for (const std::string& id : peers_.Sample(kNeighbourSample, suspect.node_id, at.random)) {
    const auto record = table_.Find(id);
    if (!record || record->failure_domain != suspect.failure_domain) continue;
    delayed_probes_.try_emplace(id, at.now);
    if (++chosen == kNeighbourProbes) return;
  }
}

void gossip::CheckSuspicions(turn& at) {
  std::vector<std::string> expired;
  for (auto& [id, entry] : suspicions_) {
    if (at.now >= entry.started + kSuspicionPeriod) expired.push_back(id);
    if (!entry.own || at.now < entry.next_notice) continue;
    // Gossip takes longer than the suspicion period to reach one member of 550 for certain.
    entry.next_notice = at.now + kNoticeInterval;
    if (const auto record = table_.Find(id)) PushTo(at, *record, id);
  }
  for (const std::string& id : expired) {
    const auto before = table_.Find(id);
    suspicions_.erase(id);
    if (!before || before->health != wire::member_health::suspect) continue;
    member_record dead = *before;
    dead.health = wire::member_health::dead;
    if (table_.Merge(dead)) OnChanged(at, before, dead);
  }
}

void gossip::CheckRemovals(turn& at) {
  for (auto it = gone_since_.begin(); it != gone_since_.end();) {
    if (at.now < it->second + kRemovalDelay) {
      ++it;
      continue;
    }
    const auto record = table_.Find(it->first);
    const bool dead = record && record->health == wire::member_health::dead;
    if (dead && remembered_.size() < kMaxRemembered) {
      remembered_[it->first] = {record->peer_address, at.now};
    }
    table_.Remove(it->first);
    queue_.Remove(it->first);
    it = gone_since_.erase(it);
  }
  std::erase_if(remembered_,
                [&](const auto& entry) { return at.now >= entry.second.since + kRememberPeriod; });
}

}  // namespace siskinrack::membership
