#include <algorithm>

#include "record_batch.h"
#include "siskinrack/membership/gossip.h"

namespace siskinrack::membership {
namespace {

constexpr std::size_t kSummaryBytes = sizeof(wire::record_summary);
/// More don't fit into an answer of kMaxRecordBytes.
constexpr std::size_t kMaxWanted = 8;
/// A repair goes on while a round brings at least this many new records, as for a node that joins
/// or returns. Between tables that differ by changes in transit it ends after one round.
constexpr std::size_t kProductiveBytes = kMaxRecordBytes / 2;
constexpr std::size_t kMaxRepairedPairs = 64;

}  // namespace

void gossip::TakeWanted(std::vector<std::uint32_t>& wanted) {
  // Ids that the peer doesn't know come back with their next mention.
  while (!wanted_.empty() && wanted.size() < kMaxWanted) {
    wanted.push_back(*wanted_.begin());
    wanted_.erase(wanted_.begin());
  }
}

template <typename Exchange>
void gossip::AnswerWanted(const std::vector<std::uint32_t>& wanted, Exchange& exchange) const {
  for (const std::uint32_t id_hash : wanted) {
    const auto record = table_.FindByHash(id_hash);
    if (record && !IsGone(*record)) detail::AddRecord(exchange, *record, true);
  }
}
template void gossip::AnswerWanted(const std::vector<std::uint32_t>&, wire::exchange_t&) const;
template void gossip::AnswerWanted(const std::vector<std::uint32_t>&,
                                   wire::exchange_reply_t&) const;

void gossip::CompareBuckets(turn& at, const std::vector<std::uint32_t>& theirs,
                            wire::exchange_reply_t& reply) const {
  if (theirs.size() != kBuckets) return;
  const bucket_digests own = table_.Buckets();
  const std::size_t first = at.random() % kBuckets;
  for (std::size_t i = 0; i < kBuckets; ++i) {
    const std::size_t bucket = (first + i) % kBuckets;
    if (own.at(bucket) == theirs[bucket]) continue;
    auto records = table_.InBucket(bucket);
    std::erase_if(records, IsGone);
    if (theirs[bucket] == 0) {
      for (const auto& record : records) detail::AddRecord(reply, record, true);
      continue;
    }
    const std::size_t used = detail::RecordBytes(reply) + reply.summaries.size() * kSummaryBytes;
    if (used + records.size() * kSummaryBytes > kMaxRecordBytes) continue;
    reply.covered.push_back(static_cast<std::uint8_t>(bucket));
    for (const auto& record : records) {
      reply.summaries.emplace_back(IdHash(record.node_id), StateDigest(record));
    }
  }
}

void gossip::CompareSummaries(turn& at, const wire::exchange_reply_t& reply,
                              wire::exchange_t& next) {
  (void)at;
  std::set<std::uint32_t> theirs;
  for (const wire::record_summary& summary : reply.summaries) {
    theirs.insert(summary.id());
    const auto own = table_.FindByHash(summary.id());
    if (!own) {
      wanted_.insert(summary.id());
    } else if (StateDigest(*own) != summary.digest()) {
      // The peer takes over the own state or answers with its newer one.
      detail::AddRecord(next, *own, false);
    }
  }
  for (const std::uint8_t bucket : reply.covered) {
    if (bucket >= kBuckets) continue;
    for (const auto& record : table_.InBucket(bucket)) {
      const bool missing = theirs.count(IdHash(record.node_id)) == 0 && !IsGone(record);
      if (missing) detail::AddRecord(next, record, true);
    }
  }
}

bool gossip::MayRepair(turn& at, const std::string& peer) {
  if (at.now < next_repair_) return false;
  const auto found = repaired_.find(peer);
  if (found != repaired_.end() && at.now < found->second + kRepairInterval) return false;
  if (repaired_.size() >= kMaxRepairedPairs) {
    std::erase_if(repaired_,
                  [&](const auto& pair) { return at.now >= pair.second + kRepairInterval; });
  }
  repaired_[peer] = at.now;
  next_repair_ = at.now + kRepairInterval;
  return true;
}

void gossip::ContinueRepair(turn& at, const std::string& peer, const std::string& address,
                            const wire::exchange_reply_t& reply) {
  wire::exchange_t next;
  for (const member_record& record : at.corrections) detail::AddRecord(next, record, false);
  AnswerWanted(reply.wanted, next);
  const std::size_t before = detail::RecordBytes(next);
  CompareSummaries(at, reply, next);
  const bool compared = detail::RecordBytes(next) > before;
  if (at.repairing) TakeWanted(next.wanted);
  const bool productive = at.repairing && at.learned_bytes >= kProductiveBytes;
  // A table that lacks much is repaired with other peers too, without waiting.
  if (productive) next_repair_ = at.now;
  const bool goes_on = !at.repairing || (productive && next.wanted.empty());
  const bool repair =
      goes_on && reply.table_digest != table_.Digest() && (at.repairing || MayRepair(at, peer));
  // A node that lacks much asks another peer in each round, so that joining nodes don't load the
  // seeds with the transfer of the whole table.
  if (repair && at.repairing) StartRepairRound(at, peer);
  if (repair && !at.repairing) AddBuckets(next);
  const bool asks = compared || !next.wanted.empty() || !next.buckets.empty();
  if (!asks && detail::RecordBytes(next) == 0) return;
  next.table_digest = asks ? table_.Digest() : 0;
  at.step.messages.push_back({asks ? message_purpose::kRepair : message_purpose::kPush, peer,
                              address, wire::MakeEnvelope(std::move(next)), kReplyTimeout});
}

void gossip::AddBuckets(wire::exchange_t& exchange) const {
  const bucket_digests buckets = table_.Buckets();
  exchange.buckets.assign(buckets.begin(), buckets.end());
}

void gossip::StartRepairRound(turn& at, const std::string& last_peer) {
  auto chosen = peers_.Sample(1, last_peer, at.random);
  if (chosen.empty()) chosen.push_back(last_peer);
  const auto peer = table_.Find(chosen.front());
  if (!peer) return;
  wire::exchange_t exchange;
  AddBuckets(exchange);
  exchange.table_digest = table_.Digest();
  at.step.messages.push_back({message_purpose::kRepair, peer->node_id, peer->peer_address,
                              wire::MakeEnvelope(std::move(exchange)), kReplyTimeout});
}

}  // namespace siskinrack::membership
