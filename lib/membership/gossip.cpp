#include "siskinrack/membership/gossip.h"

#include <algorithm>

#include "record_batch.h"

namespace siskinrack::membership {
namespace {

/// Peers that get a drain, a departure or a refutation at once from the member itself.
constexpr std::size_t kOwnPushFanout = 5;
/// Peers that each receiver of an urgent change passes it to. With 2, about 80% of the members
/// learn it within a few hops, and the exchanges of the next two seconds reach the rest.
constexpr std::size_t kForwardFanout = 2;
/// Bytes of a push with one status, counted against the urgent budget.
constexpr std::size_t kPushBytes = 150;
/// Every fifth exchange goes to another failure domain.
constexpr unsigned kOtherDomainPeriod = 5;
constexpr time_ms kIsolatedRejoinInterval{1'000};

}  // namespace

member_record gossip::self() const {
  const std::lock_guard lock(mutex_);
  return self_;
}

gossip_output gossip::Start(member_record self, time_ms now, std::mt19937_64& random) {
  const std::lock_guard lock(mutex_);
  gossip_output step;
  turn at{now, random, step};
  self_ = std::move(self);
  self_.sequence = 1;
  started_ = now;
  last_tick_ = now;
  next_rejoin_ = now;
  // Nodes that start together don't exchange together.
  next_exchange_ = now + time_ms(random() % static_cast<std::uint64_t>(kExchangeInterval.count()));
  PublishSelf(true);
  return step;
}

gossip_output gossip::SetState(wire::upstream_state state, time_ms now, std::mt19937_64& random) {
  const std::lock_guard lock(mutex_);
  gossip_output step;
  turn at{now, random, step};
  if (self_.state == state) return step;
  self_.state = state;
  ++self_.sequence;
  PublishSelf(false);
  if (state == wire::upstream_state::draining || state == wire::upstream_state::left) {
    Push(at, self_, kOwnPushFanout, self_.node_id);
  }
  if (state == wire::upstream_state::draining) {
    step.events.push_back({member_change::kDraining, self_.node_id});
  }
  return step;
}

void gossip::SetServedVersion(std::uint64_t version) {
  const std::lock_guard lock(mutex_);
  if (self_.served_version == version) return;
  self_.served_version = version;
  ++self_.sequence;
  table_.Merge(self_);
  queue_.Add(self_.node_id, false, false);
}

void gossip::PublishSelf(bool whole) {
  table_.Merge(self_);
  queue_.Add(self_.node_id, whole, true);
}

gossip_output gossip::Tick(time_ms now, std::mt19937_64& random) {
  const std::lock_guard lock(mutex_);
  gossip_output step;
  turn at{now, random, step};
  if (WasPaused(now)) ShiftTimersAfterPause(at);
  last_tick_ = now;
  if (now >= next_exchange_) {
    next_exchange_ = std::max(next_exchange_ + kExchangeInterval, now);
    StartExchange(at);
  }
  if (now >= next_rejoin_) StartRejoin(at);
  CheckDelayedProbes(at);
  CheckSuspicions(at);
  CheckRemovals(at);
  return step;
}

void gossip::StartExchange(turn& at) {
  const bool own_domain = ++exchanges_ % kOtherDomainPeriod != 0;
  const auto id = peers_.Next(own_domain, at.random);
  if (!id) return;
  const auto peer = table_.Find(*id);
  if (!peer) return;
  wire::exchange_t exchange;
  FillExchange(at, *id, exchange);
  at.step.messages.push_back({message_purpose::kExchange, *id, peer->peer_address,
                              wire::MakeEnvelope(std::move(exchange)), kReplyTimeout});
}

void gossip::AddSeeds(const std::vector<std::string>& addresses) {
  const std::lock_guard lock(mutex_);
  for (const std::string& address : addresses) {
    if (std::find(seeds_.begin(), seeds_.end(), address) == seeds_.end()) {
      seeds_.push_back(address);
    }
  }
}

void gossip::StartRejoin(turn& at) {
  next_rejoin_ = at.now + (peers_.size() == 0 ? kIsolatedRejoinInterval : kRejoinInterval);
  struct candidate {
    std::string node_id;
    std::string address;
  };
  std::vector<candidate> seeds;
  std::vector<candidate> dead;
  const auto members = table_.All();
  for (const std::string& address : seeds_) {
    const bool known = std::any_of(members.begin(), members.end(), [&](const auto& member) {
      return member.peer_address == address && !IsGone(member);
    });
    if (!known) seeds.push_back({"", address});
  }
  for (const auto& member : members) {
    if (member.health == wire::member_health::dead) {
      dead.push_back({member.node_id, member.peer_address});
    }
  }
  for (const auto& [id, member] : remembered_) dead.push_back({id, member.address});
  if (seeds.empty() && dead.empty()) return;
  const bool use_seed = dead.empty() || (!seeds.empty() && at.random() % 2 == 0);
  const auto& list = use_seed ? seeds : dead;
  const candidate& chosen = list[at.random() % list.size()];
  // The peer may not know this node, or may take it for dead.
  wire::exchange_t exchange;
  detail::AddRecord(exchange, self_, true);
  FillExchange(at, chosen.node_id, exchange);
  at.step.messages.push_back({message_purpose::kRejoin, chosen.node_id, chosen.address,
                              wire::MakeEnvelope(std::move(exchange)), kReplyTimeout});
}

template <typename Exchange>
void gossip::FillExchange(turn& at, const std::string& peer, Exchange& exchange) {
  TakeWanted(exchange.wanted);
  FillFromQueue(at, peer, exchange);
  exchange.table_digest = table_.Digest();
}

template <typename Exchange>
void gossip::FillFromQueue(turn& at, const std::string& peer, Exchange& exchange) {
  const auto known_peer = table_.Find(peer);
  if (known_peer && known_peer->health != wire::member_health::alive) {
    // Lets the peer refute.
    detail::AddRecord(exchange, *known_peer, false);
  }
  const std::size_t limit =
      std::min(kMaxRecordBytes, detail::RecordBytes(exchange) + record_budget_.Available(at.now));
  const unsigned transmissions = TransmissionLimit(table_.size());
  for (const queued_change& change : queue_.Ordered()) {
    if (change.node_id == peer || at.peer_has.count(change.node_id) != 0) continue;
    const auto record = table_.Find(change.node_id);
    if (!record) {
      queue_.Remove(change.node_id);
      continue;
    }
    const std::size_t bytes = detail::AddRecord(exchange, *record, change.whole, limit);
    if (bytes == 0) {
      if (detail::RecordBytes(exchange) + kStatusBytes > limit) break;
      continue;
    }
    record_budget_.Spend(bytes);
    queue_.CountSent(change.node_id, transmissions);
  }
}

gossip_output gossip::OnRequest(const std::string& sender, const wire::messageUnion& message,
                                bool wants_reply, time_ms now, std::mt19937_64& random) {
  const std::lock_guard lock(mutex_);
  gossip_output step;
  turn at{now, random, step};
  if (const auto* exchange = message.Asexchange()) OnExchange(at, sender, *exchange, wants_reply);
  if (const auto* probe = message.Asprobe_request()) {
    wire::probe_reply_t reply;
    reply.target = probe->target;
    reply.reachable = probe->target.empty();
    const auto target = table_.Find(probe->target);
    if (target) step.probe_address = target->peer_address;
    step.reply = wire::MakeEnvelope(std::move(reply));
  }
  return step;
}

void gossip::OnExchange(turn& at, const std::string& sender, const wire::exchange_t& exchange,
                        bool wants_reply) {
  LearnFrom(at, sender, exchange);
  ForwardUrgent(at, sender);
  if (!wants_reply) return;
  wire::exchange_reply_t reply;
  for (const member_record& record : at.corrections) {
    record_budget_.Spend(detail::AddRecord(reply, record, false));
  }
  AnswerWanted(exchange.wanted, reply);
  CompareBuckets(at, exchange.buckets, reply);
  FillExchange(at, sender, reply);
  at.step.reply = wire::MakeEnvelope(std::move(reply));
}

gossip_output gossip::OnReply(const outgoing_message& request, const wire::envelope_t& reply,
                              time_ms now, std::mt19937_64& random) {
  const std::lock_guard lock(mutex_);
  gossip_output step;
  turn at{now, random, step};
  if (const auto* exchange = reply.message.Asexchange_reply()) {
    at.repairing = request.purpose == message_purpose::kRepair;
    LearnFrom(at, reply.sender, *exchange);
    ForwardUrgent(at, reply.sender);
    ContinueRepair(at, reply.sender, request.address, *exchange);
  }
  const auto* probe = request.message.message.Asprobe_request();
  const auto* result = reply.message.Asprobe_reply();
  if (request.purpose == message_purpose::kIndirectProbe && probe != nullptr && result != nullptr) {
    OnIndirectResult(at, probe->target, result->reachable);
  }
  return step;
}

template <typename Exchange>
void gossip::LearnFrom(turn& at, const std::string& sender, const Exchange& exchange) {
  at.peer_has.insert(sender);
  for (const auto& record : exchange.records) Learn(at, *record);
  for (const member_status& status : exchange.statuses) LearnStatus(at, status);
}

void gossip::Push(turn& at, const member_record& record, std::size_t fanout,
                  const std::string& except) {
  for (const std::string& id : peers_.Sample(fanout, except, at.random)) PushTo(at, record, id);
}

void gossip::PushTo(turn& at, const member_record& record, const std::string& node_id) {
  const auto peer = table_.Find(node_id);
  if (!peer) return;
  wire::exchange_t exchange;
  detail::AddRecord(exchange, record, false);
  at.step.messages.push_back({message_purpose::kPush, node_id, peer->peer_address,
                              wire::MakeEnvelope(std::move(exchange)), kReplyTimeout});
}

void gossip::ForwardUrgent(turn& at, const std::string& sender) {
  for (const member_record& record : at.urgent) {
    if (urgent_budget_.Available(at.now) < kForwardFanout * kPushBytes) return;
    urgent_budget_.Spend(kForwardFanout * kPushBytes);
    Push(at, record, kForwardFanout, sender);
  }
}

void gossip::LearnAboutSelf(turn& at, const member_record& record) {
  const bool newer = Supersedes(record, self_);
  const bool older = Supersedes(self_, record);
  // Equal numbers with another address belong to an earlier life under the same unset clock.
  if (older || (!newer && record.peer_address == self_.peer_address)) {
    if (older) at.corrections.push_back(self_);
    return;
  }
  self_.incarnation = std::max(self_.incarnation, record.incarnation) + 1;
  self_.sequence = 1;
  PublishSelf(false);
  Push(at, self_, kOwnPushFanout, self_.node_id);
}

}  // namespace siskinrack::membership
