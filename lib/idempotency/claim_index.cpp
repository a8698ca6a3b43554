#include "siskinrack/idempotency/claim_index.h"

namespace siskinrack::idempotency {

void claim_index::Insert(const std::string& key, claim new_claim) {
  by_age_.push_back({new_claim.claimed_ms, key, new_claim.attempt});
  claims_[key] = std::move(new_claim);
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
    const claim_time& oldest = by_age_.front();
    const claim* existing = Find(oldest.key);
    if (existing != nullptr && existing->attempt == oldest.attempt) claims_.erase(oldest.key);
    by_age_.pop_front();
  }
}

void claim_index::Apply(const log_record& record) {
  if (record.kind == record_kind::kClaim) {
    Insert(record.key, {record.fingerprint, record.attempt, record.epoch, record.log_ms,
                        record.expires_ms, claim_state::kGranted, std::nullopt});
    return;
  }
  claim* existing = Find(record.key);
  if (existing == nullptr || existing->attempt != record.attempt) return;
  if (record.kind == record_kind::kRelease) {
    Erase(record.key);
    return;
  }
  existing->state = claim_state::kFinished;
  existing->answer = record.answer;
}

std::optional<claim_decision> claim_index::Decide(const claim_request& request,
                                                  std::uint64_t log_ms) const {
  const auto found = claims_.find(request.key);
  if (found == claims_.end()) return std::nullopt;
  const claim& existing = found->second;
  if (existing.fingerprint != request.fingerprint) {
    return claim_decision{verdict::kMismatch,
                          existing.epoch,
                          "idempotency key was used with a different request",
                          {}};
  }
  switch (existing.state) {
    case claim_state::kPending:
      if (existing.attempt == request.attempt) return std::nullopt;
      return claim_decision{verdict::kInProgress, existing.epoch, "claim is being written", {}};
    case claim_state::kAbandoned:
      return claim_decision{
          verdict::kRefused, existing.epoch, "outcome of the claim's write is unknown", {}};
    case claim_state::kFinished:
      if (!existing.answer) {
        return claim_decision{
            verdict::kLost, existing.epoch, "answer of the first execution isn't known", {}};
      }
      return claim_decision{verdict::kFinished, existing.epoch, {}, existing.answer};
    case claim_state::kGranted:
      break;
  }
  if (existing.attempt == request.attempt)
    return claim_decision{verdict::kGranted, existing.epoch, {}, {}};
  if (log_ms >= existing.expires_ms) {
    return claim_decision{
        verdict::kLost, existing.epoch, "first execution reported no result in time", {}};
  }
  return claim_decision{verdict::kInProgress, existing.epoch, "first execution is in progress", {}};
}

}  // namespace siskinrack::idempotency
