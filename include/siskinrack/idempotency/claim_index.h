#ifndef SISKINRACK_IDEMPOTENCY_CLAIM_INDEX_H_
#define SISKINRACK_IDEMPOTENCY_CLAIM_INDEX_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>

#include "siskinrack/idempotency/claim.h"
#include "siskinrack/idempotency/segment.h"

namespace siskinrack::idempotency {

/// Life-cycle state of a claim.
enum class claim_state {
  /// Its record is queued or being written.
  kPending,
  /// Refused while its write was in progress or had an unknown outcome; released once the write is
  /// known to have taken effect.
  kAbandoned,
  kGranted,
  kFinished,
};

/// Represents the claim of one key. Times are log times in milliseconds.
struct claim {
  std::uint64_t fingerprint = 0;
  std::uint64_t attempt = 0;
  /// Epoch of the owner that wrote the claim; 0 while it is pending.
  std::uint64_t epoch = 0;
  std::uint64_t claimed_ms = 0;
  /// Time from which a claim without a result counts as lost.
  std::uint64_t expires_ms = 0;
  claim_state state = claim_state::kPending;
  std::optional<stored_answer> answer;
};

/// Stores the claims of one shard by key. Times are log times in milliseconds. Not thread-safe.
class claim_index {
 public:
  /// Applies one record of the log.
  void Apply(const log_record& record);

  /// Decides a request for a key that has a claim. Returns std::nullopt if the key has none, or if
  /// the claim of this attempt is pending.
  [[nodiscard]] std::optional<claim_decision> Decide(const claim_request& request,
                                                     std::uint64_t log_ms) const;

  /// Returns the claim of a key, or null.
  claim* Find(const std::string& key);
  [[nodiscard]] bool Contains(const std::string& key) const { return claims_.contains(key); }
  /// Adds the claim of a key, replacing any earlier one. Claims must be added in the order of
  /// `claimed_ms`, which Expire relies on.
  void Insert(const std::string& key, claim new_claim);
  void Erase(const std::string& key) { claims_.erase(key); }
  void Clear();
  /// Removes the claims whose retention is over at `log_ms`.
  void Expire(std::uint64_t log_ms);
  [[nodiscard]] std::size_t size() const { return claims_.size(); }

 private:
  std::unordered_map<std::string, claim> claims_;
  /// Represents when an attempt claimed a key.
  struct claim_time {
    std::uint64_t claimed_ms;
    std::string key;
    std::uint64_t attempt;
  };
  /// Oldest first. Includes claims that were erased or replaced since.
  std::deque<claim_time> by_age_;
};

}  // namespace siskinrack::idempotency

#endif  // SISKINRACK_IDEMPOTENCY_CLAIM_INDEX_H_
