#include "siskinrack/idempotency/claim_index.h"

namespace siskinrack::idempotency {

void claim_index::Insert(const std::string& key, claim item) {
  by_age_.push_back({item.claimed_ms, key, item.attempt});
  claims_[key] = std::move(item);
}

void claim_index::Clear() {
  claims_.clear();
  by_age_.clear();
}

claim* claim_index::Find(const std::string& key) {
  const auto found = claims_.find(key);
  return found == claims_.end() ? nullptr : &found->second;
}

void claim_index::Expire(std::uint64_t log_ms) {
  const std::uint64_t retention = kRetention.count();
  while (!by_age_.empty() && by_age_.front().claimed_ms + retention <= log_ms) {
    const aged_key& oldest = by_age_.front();
    const claim* item = Find(oldest.key);
    if (item != nullptr && item->attempt == oldest.attempt) claims_.erase(oldest.key);
    by_age_.pop_front();
  }
}

void claim_index::Apply(const log_record& record) {
  if (record.kind == record_kind::kClaim) {
    Insert(record.key, {record.fingerprint, record.attempt, record.epoch, record.log_ms,
                        record.expires_ms, claim_state::kGranted, std::nullopt});
    return;
  }
  claim* item = Find(record.key);
  if (item == nullptr || item->attempt != record.attempt) return;
  if (record.kind == record_kind::kRelease) {
    Erase(record.key);
    return;
  }
  item->state = claim_state::kFinished;
  item->answer = record.answer;
}

std::optional<claim_decision> claim_index::Decide(const claim_request& ask,
                                                  std::uint64_t log_ms) const {
  const auto found = claims_.find(ask.key);
  if (found == claims_.end()) return std::nullopt;
  const claim& item = found->second;
  if (item.fingerprint != ask.fingerprint) {
    return claim_decision{verdict::kMismatch, item.epoch, "key was used with another request", {}};
  }
  switch (item.state) {
    case claim_state::kPending:
      if (item.attempt == ask.attempt) return std::nullopt;
      return claim_decision{verdict::kInProgress, item.epoch, "claim is being written", {}};
    case claim_state::kAbandoned:
      return claim_decision{verdict::kRefused, item.epoch, "claim write is in doubt", {}};
    case claim_state::kFinished:
      if (!item.answer) {
        return claim_decision{
            verdict::kLost, item.epoch, "answer of the first run isn't known", {}};
      }
      return claim_decision{verdict::kFinished, item.epoch, {}, item.answer};
    case claim_state::kGranted:
      break;
  }
  if (item.attempt == ask.attempt) return claim_decision{verdict::kGranted, item.epoch, {}, {}};
  if (log_ms >= item.expires_ms) {
    return claim_decision{verdict::kLost, item.epoch, "first run gave no result", {}};
  }
  return claim_decision{verdict::kInProgress, item.epoch, "first run is in progress", {}};
}

}  // namespace siskinrack::idempotency
