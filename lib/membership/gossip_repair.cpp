#include <algorithm>

#include "record_batch.h"
#include "siskinrack/membership/gossip.h"

namespace siskinrack::membership {
namespace {

constexpr std::size_t kSummaryBytes = sizeof(wire::record_summary);
/// More records don't fit into a reply of kMaxRecordBytes.
constexpr std::size_t kMaxRequestedRecords = 8;
/// A repair continues while each round yields at least this many bytes of new records, as it does
/// for a node that joins or returns. If tables differ only by changes in transit, it ends after one
/// round.
constexpr std::size_t kProductiveBytes = kMaxRecordBytes / 2;
/// Number of recorded repair starts from which the expired ones are removed.
constexpr std::size_t kMaxRepairEntries = 64;

}  // namespace

void gossip::RequestMissingRecords(std::vector<std::uint32_t>& requested_ids) {
  // An id whose record the peer lacks is added again when a message next refers to it.
  while (!missing_ids_.empty() && requested_ids.size() < kMaxRequestedRecords) {
    requested_ids.push_back(*missing_ids_.begin());
    missing_ids_.erase(missing_ids_.begin());
  }
}

template <typename Exchange>
void gossip::AddRequestedRecords(const std::vector<std::uint32_t>& requested_ids,
                                 Exchange& exchange) const {
  for (const std::uint32_t id_hash : requested_ids) {
    const auto record = table_.FindByHash(id_hash);
    if (record && !IsGone(*record)) detail::AddRecord(exchange, *record, true);
  }
}
template void gossip::AddRequestedRecords(const std::vector<std::uint32_t>&,
                                          wire::exchange_t&) const;
template void gossip::AddRequestedRecords(const std::vector<std::uint32_t>&,
                                          wire::exchange_reply_t&) const;

void gossip::CompareBuckets(input_context& context, const std::vector<std::uint32_t>& theirs,
                            wire::exchange_reply_t& reply) const {
  if (theirs.size() != kBuckets) return;
  const bucket_digests own = table_.Buckets();
  // One reply may not have room for all differences, so each begins at a random bucket.
  const std::size_t first = context.random() % kBuckets;
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

void gossip::CompareSummaries(input_context& context, const wire::exchange_reply_t& reply,
                              wire::exchange_t& next) {
  (void)context;
  std::set<std::uint32_t> theirs;
  for (const wire::record_summary& summary : reply.summaries) {
    theirs.insert(summary.id());
    const auto own = table_.FindByHash(summary.id());
    if (!own) {
      missing_ids_.insert(summary.id());
    } else if (StateDigest(*own) != summary.digest()) {
      // The peer stores this record or replies with the one that supersedes it.
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

bool gossip::TryBeginRepair(input_context& context, const std::string& peer) {
  if (context.now < next_repair_) return false;
  const auto found = last_repair_starts_.find(peer);
  if (found != last_repair_starts_.end() && context.now < found->second + kRepairInterval)
    return false;
  if (last_repair_starts_.size() >= kMaxRepairEntries) {
    std::erase_if(last_repair_starts_,
                  [&](const auto& pair) { return context.now >= pair.second + kRepairInterval; });
  }
  last_repair_starts_[peer] = context.now;
  next_repair_ = context.now + kRepairInterval;
  return true;
}

void gossip::ContinueRepair(input_context& context, const std::string& peer,
                            const std::string& address, const wire::exchange_reply_t& reply) {
  wire::exchange_t next;
  for (const member_record& record : context.corrections) detail::AddRecord(next, record, false);
  AddRequestedRecords(reply.wanted, next);
  const std::size_t before = detail::RecordBytes(next);
  CompareSummaries(context, reply, next);
  const bool has_differences = detail::RecordBytes(next) > before;
  if (context.repairing) RequestMissingRecords(next.wanted);
  const bool productive = context.repairing && context.new_record_bytes >= kProductiveBytes;
  // A table that lacks many records is repaired with other peers too, without delay.
  if (productive) next_repair_ = context.now;
  // The reply to any other message may begin a repair. The reply within a repair continues it if it
  // was productive and `next` doesn't request further records.
  const bool may_repair = !context.repairing || (productive && next.wanted.empty());
  const bool should_repair = may_repair && reply.table_digest != table_.Digest() &&
                             (context.repairing || TryBeginRepair(context, peer));
  // Each round uses another peer, so that joining nodes don't load the seeds with the transfer of
  // the whole table.
  if (should_repair && context.repairing) StartRepairRound(context, peer);
  if (should_repair && !context.repairing) AddBucketDigests(next);
  const bool expects_reply = has_differences || !next.wanted.empty() || !next.buckets.empty();
  if (!expects_reply && detail::RecordBytes(next) == 0) return;
  next.table_digest = expects_reply ? table_.Digest() : 0;
  context.output.messages.push_back(
      {expects_reply ? message_purpose::kRepair : message_purpose::kPush, peer, address,
       wire::MakeEnvelope(std::move(next)), kReplyTimeout});
}

void gossip::AddBucketDigests(wire::exchange_t& exchange) const {
  const bucket_digests buckets = table_.Buckets();
  exchange.buckets.assign(buckets.begin(), buckets.end());
}

void gossip::StartRepairRound(input_context& context, const std::string& last_peer) {
  auto chosen = peers_.Sample(1, last_peer, context.random);
  if (chosen.empty()) chosen.push_back(last_peer);
  const auto peer = table_.Find(chosen.front());
  if (!peer) return;
  wire::exchange_t exchange;
  AddBucketDigests(exchange);
  exchange.table_digest = table_.Digest();
  context.output.messages.push_back({message_purpose::kRepair, peer->node_id, peer->peer_address,
                                     wire::MakeEnvelope(std::move(exchange)), kReplyTimeout});
}

}  // namespace siskinrack::membership
