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

enum class claim_state {
  /// Queued or being written.
  kPending,
  /// Refused while its write was in doubt; released once the write turns out to have taken effect.
  kAbandoned,
  kGranted,
  kFinished,
};

struct claim {
  std::uint64_t fingerprint = 0;
  std::uint64_t attempt = 0;
  std::uint64_t epoch = 0;
  std::uint64_t claimed_ms = 0;
  std::uint64_t expires_ms = 0;
  claim_state state = claim_state::kPending;
  std::optional<stored_answer> answer;
};

/// The claims of one shard by key. Times are log times in milliseconds.
class claim_index {
 public:
  /// Replays a record of the log.
  void Apply(const log_record& record);

  /// Decides an ask for a known key; nothing if the key is free, or if this attempt is pending.
  [[nodiscard]] std::optional<claim_decision> Decide(const claim_request& ask,
                                                     std::uint64_t log_ms) const;

  claim* Find(const std::string& key);
  [[nodiscard]] bool Contains(const std::string& key) const { return claims_.contains(key); }
  void Insert(const std::string& key, claim item);
  void Erase(const std::string& key) { claims_.erase(key); }
  void Clear();
  /// Forgets the claims whose retention is over.
  void Expire(std::uint64_t log_ms);
  [[nodiscard]] std::size_t size() const { return claims_.size(); }

 private:
  std::unordered_map<std::string, claim> claims_;
  /// Claim times, oldest first, with the attempt that they belong to.
  struct aged_key {
    std::uint64_t claimed_ms;
    std::string key;
    std::uint64_t attempt;
  };
  std::deque<aged_key> by_age_;
};

}  // namespace siskinrack::idempotency

#endif  // SISKINRACK_IDEMPOTENCY_CLAIM_INDEX_H_
