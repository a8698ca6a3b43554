#include "siskinrack/membership/gossip.h"

#include <algorithm>

#include "record_batch.h"

namespace siskinrack::membership {
namespace {

/// Peers to which a member pushes its own drain, departure or refutation at once.
constexpr std::size_t kOwnPushFanout = 5;
/// Peers to which each receiver of an urgent change forwards it. With 2, about 80% of the members
/// receive it within a few hops, and the exchanges of the next two seconds reach the rest.
constexpr std::size_t kForwardFanout = 2;
/// Bytes of a push with one status, charged to the urgent budget.
constexpr std::size_t kPushBytes = 150;
/// One exchange in this many goes to another failure domain.
constexpr unsigned kOtherDomainPeriod = 5;
/// Interval between the rejoin attempts of a node without live peers.
constexpr time_ms kIsolatedRejoinInterval{1'000};

}  // namespace

member_record gossip::self() const {
  const std::lock_guard lock(mutex_);
  return self_;
}

gossip_output gossip::Start(member_record self, time_ms now, std::mt19937_64& random) {
  const std::lock_guard lock(mutex_);
  gossip_output output;
  input_context context{now, random, output};
  self_ = std::move(self);
  self_.sequence = 1;
  started_ = now;
  last_tick_ = now;
  next_rejoin_ = now;
  // A random phase keeps nodes that start together from exchanging at the same time.
  next_exchange_ = now + time_ms(random() % static_cast<std::uint64_t>(kExchangeInterval.count()));
  PublishSelf(true);
  return output;
}

gossip_output gossip::SetState(wire::upstream_state state, time_ms now, std::mt19937_64& random) {
  const std::lock_guard lock(mutex_);
  gossip_output output;
  input_context context{now, random, output};
  if (self_.state == state) return output;
  self_.state = state;
  ++self_.sequence;
  PublishSelf(false);
  if (state == wire::upstream_state::draining || state == wire::upstream_state::left) {
    PushToRandomPeers(context, self_, kOwnPushFanout, self_.node_id);
  }
  if (state == wire::upstream_state::draining) {
    output.events.push_back({member_change::kDraining, self_.node_id});
  }
  return output;
}

void gossip::SetServedVersion(std::uint64_t version) {
  const std::lock_guard lock(mutex_);
  if (self_.served_version == version) return;
  self_.served_version = version;
  ++self_.sequence;
  table_.Merge(self_);
  queue_.Add(self_.node_id, false, false);
}

void gossip::PublishSelf(bool full_record) {
  table_.Merge(self_);
  queue_.Add(self_.node_id, full_record, true);
}

gossip_output gossip::Tick(time_ms now, std::mt19937_64& random) {
  const std::lock_guard lock(mutex_);
  gossip_output output;
  input_context context{now, random, output};
  if (WasPaused(now)) ShiftTimersAfterPause(context);
  last_tick_ = now;
  if (now >= next_exchange_) {
    next_exchange_ = std::max(next_exchange_ + kExchangeInterval, now);
    StartExchange(context);
  }
  if (now >= next_rejoin_) StartRejoin(context);
  SendDueProbes(context);
  UpdateSuspicions(context);
  RemoveExpiredMembers(context);
  return output;
}

void gossip::StartExchange(input_context& context) {
  const bool own_domain = ++exchanges_ % kOtherDomainPeriod != 0;
  const auto id = peers_.Next(own_domain, context.random);
  if (!id) return;
  const auto peer = table_.Find(*id);
  if (!peer) return;
  wire::exchange_t exchange;
  FillExchange(context, *id, exchange);
  context.output.messages.push_back({message_purpose::kExchange, *id, peer->peer_address,
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

void gossip::StartRejoin(input_context& context) {
  next_rejoin_ = context.now + (peers_.size() == 0 ? kIsolatedRejoinInterval : kRejoinInterval);
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
  for (const auto& [id, member] : rejoin_candidates_) dead.push_back({id, member.address});
  if (seeds.empty() && dead.empty()) return;
  const bool use_seed = dead.empty() || (!seeds.empty() && context.random() % 2 == 0);
  const auto& list = use_seed ? seeds : dead;
  const candidate& chosen = list[context.random() % list.size()];
  // The peer may lack the record of this node or list it as dead.
  wire::exchange_t exchange;
  detail::AddRecord(exchange, self_, true);
  FillExchange(context, chosen.node_id, exchange);
  context.output.messages.push_back({message_purpose::kRejoin, chosen.node_id, chosen.address,
                                     wire::MakeEnvelope(std::move(exchange)), kReplyTimeout});
}

template <typename Exchange>
void gossip::FillExchange(input_context& context, const std::string& peer, Exchange& exchange) {
  RequestMissingRecords(exchange.wanted);
  FillFromQueue(context, peer, exchange);
  exchange.table_digest = table_.Digest();
}

template <typename Exchange>
void gossip::FillFromQueue(input_context& context, const std::string& peer, Exchange& exchange) {
  const auto known_peer = table_.Find(peer);
  if (known_peer && known_peer->health != wire::member_health::alive) {
    // Allows the peer to refute its suspicion or death.
    detail::AddRecord(exchange, *known_peer, false);
  }
  const std::size_t limit = std::min(
      kMaxRecordBytes, detail::RecordBytes(exchange) + record_budget_.Available(context.now));
  const unsigned transmissions = TransmissionLimit(table_.size());
  for (const queued_change& change : queue_.InSendOrder()) {
    if (change.node_id == peer || context.peer_record_ids.count(change.node_id) != 0) continue;
    const auto record = table_.Find(change.node_id);
    if (!record) {
      queue_.Remove(change.node_id);
      continue;
    }
    const std::size_t bytes = detail::AddRecord(exchange, *record, change.full_record, limit);
    if (bytes == 0) {
      // A status of a later change may fit although a full record doesn't.
      if (detail::RecordBytes(exchange) + kStatusBytes > limit) break;
      continue;
    }
    record_budget_.Spend(bytes);
    queue_.CountSent(change.node_id, transmissions);
  }
}

gossip_output gossip::OnRequest(const std::string& sender, const wire::messageUnion& message,
                                bool expects_reply, time_ms now, std::mt19937_64& random) {
  const std::lock_guard lock(mutex_);
  gossip_output output;
  input_context context{now, random, output};
  if (const auto* exchange = message.Asexchange())
    OnExchange(context, sender, *exchange, expects_reply);
  if (const auto* probe = message.Asprobe_request()) {
    wire::probe_reply_t reply;
    reply.target = probe->target;
    // An empty target stands for this node.
    reply.reachable = probe->target.empty();
    const auto target = table_.Find(probe->target);
    if (target) output.probe_address = target->peer_address;
    output.reply = wire::MakeEnvelope(std::move(reply));
  }
  return output;
}

void gossip::OnExchange(input_context& context, const std::string& sender,
                        const wire::exchange_t& exchange, bool expects_reply) {
  MergeExchange(context, sender, exchange);
  ForwardUrgent(context, sender);
  if (!expects_reply) return;
  wire::exchange_reply_t reply;
  for (const member_record& record : context.corrections) {
    record_budget_.Spend(detail::AddRecord(reply, record, false));
  }
  AddRequestedRecords(exchange.wanted, reply);
  CompareBuckets(context, exchange.buckets, reply);
  FillExchange(context, sender, reply);
  context.output.reply = wire::MakeEnvelope(std::move(reply));
}

gossip_output gossip::OnReply(const outgoing_message& request, const wire::envelope_t& reply,
                              time_ms now, std::mt19937_64& random) {
  const std::lock_guard lock(mutex_);
  gossip_output output;
  input_context context{now, random, output};
  if (const auto* exchange = reply.message.Asexchange_reply()) {
    context.repairing = request.purpose == message_purpose::kRepair;
    MergeExchange(context, reply.sender, *exchange);
    ForwardUrgent(context, reply.sender);
    ContinueRepair(context, reply.sender, request.address, *exchange);
  }
  const auto* probe = request.message.message.Asprobe_request();
  const auto* result = reply.message.Asprobe_reply();
  if (request.purpose == message_purpose::kIndirectProbe && probe != nullptr && result != nullptr) {
    OnIndirectResult(context, probe->target, result->reachable);
  }
  return output;
}

template <typename Exchange>
void gossip::MergeExchange(input_context& context, const std::string& sender,
                           const Exchange& exchange) {
  context.peer_record_ids.insert(sender);
  for (const auto& record : exchange.records) MergeRecord(context, *record);
  for (const member_status& status : exchange.statuses) MergeStatus(context, status);
}

void gossip::PushToRandomPeers(input_context& context, const member_record& record,
                               std::size_t fanout, const std::string& except) {
  for (const std::string& id : peers_.Sample(fanout, except, context.random))
    PushTo(context, record, id);
}

void gossip::PushTo(input_context& context, const member_record& record,
                    const std::string& node_id) {
  const auto peer = table_.Find(node_id);
  if (!peer) return;
  wire::exchange_t exchange;
  detail::AddRecord(exchange, record, false);
  context.output.messages.push_back({message_purpose::kPush, node_id, peer->peer_address,
                                     wire::MakeEnvelope(std::move(exchange)), kReplyTimeout});
}

void gossip::ForwardUrgent(input_context& context, const std::string& sender) {
  for (const member_record& record : context.urgent) {
    if (urgent_budget_.Available(context.now) < kForwardFanout * kPushBytes) return;
    urgent_budget_.Spend(kForwardFanout * kPushBytes);
    PushToRandomPeers(context, record, kForwardFanout, sender);
  }
}

void gossip::HandleOwnRecord(input_context& context, const member_record& record) {
  const bool newer = Supersedes(record, self_);
  const bool older = Supersedes(self_, record);
  // A record with the same incarnation and sequence but another address is from an earlier run of
  // this node that started with the same unset clock.
  if (older || (!newer && record.peer_address == self_.peer_address)) {
    if (older) context.corrections.push_back(self_);
    return;
  }
  // The new incarnation refutes a suspicion or death and supersedes the records of earlier runs.
  self_.incarnation = std::max(self_.incarnation, record.incarnation) + 1;
  self_.sequence = 1;
  PublishSelf(false);
  PushToRandomPeers(context, self_, kOwnPushFanout, self_.node_id);
}

}  // namespace siskinrack::membership
