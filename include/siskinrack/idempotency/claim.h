#ifndef SISKINRACK_IDEMPOTENCY_CLAIM_H_
#define SISKINRACK_IDEMPOTENCY_CLAIM_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace siskinrack::idempotency {

using steady_time = std::chrono::steady_clock::time_point;

/// Number of shards that idempotency keys are distributed over by hash.
inline constexpr std::size_t kShards = 32;
/// Time after a claim during which its key isn't granted again, unless the claim is released.
inline constexpr std::chrono::milliseconds kRetention{600'000};
/// Minimum time between two batch writes of a shard. Together with kOtherWriteSpacing it limits a
/// shard to 8 + 1 = 9 writes/s and the whole fleet to 288/s, below the several hundred that the
/// platform accepts.
inline constexpr std::chrono::milliseconds kBatchSpacing{125};
/// Minimum time between two writes of other kinds (takeover, archive, deletion) of a shard. It is
/// separate because with one limit for all writes, the 99th percentile of a claim's latency at
/// 1,000 requests/s was 197 ms.
inline constexpr std::chrono::milliseconds kOtherWriteSpacing{1'000};
/// Maximum size of an idempotency key.
inline constexpr std::size_t kMaxKeyBytes = 128;
/// Maximum size of a stored answer, see ContentBytes. A larger answer isn't stored, and a repeat of
/// its key gets the outcome `unknown`.
inline constexpr std::size_t kMaxStoredAnswerBytes = 2048;

/// Represents an upstream's answer as stored in the claim log.
struct stored_answer {
  std::uint16_t status = 0;
  /// Names and values of the header fields.
  std::vector<std::pair<std::string, std::string>> fields;
  std::string body;

  bool operator==(const stored_answer&) const = default;
};

/// Returns the size of the answer's header fields and body in bytes, without the fixed-size parts
/// of its encoding.
std::size_t ContentBytes(const stored_answer& answer);

/// Represents a request for the exclusive right to execute the request that a key identifies.
struct claim_request {
  std::string key;
  /// Digest of the request; a key may be used for one request only.
  std::uint64_t fingerprint = 0;
  /// Random number chosen by the entry node; the same in each repetition of this request and in no
  /// other request.
  std::uint64_t attempt = 0;
  /// Time from sending the request within which the entry node may use a grant.
  std::chrono::milliseconds deadline{0};
};

/// Outcome of a claim request.
enum class verdict {
  kGranted,
  /// The request was executed; `answer` is its stored answer.
  kFinished,
  /// The claim of another attempt is granted and has no result yet, or is being written.
  kInProgress,
  /// The request may have been executed and its answer isn't known.
  kLost,
  /// Not granted; nothing was executed for this attempt.
  kRefused,
  /// The key was used with a different request.
  kMismatch,
};

/// Represents the decision on a claim request.
struct claim_decision {
  verdict outcome = verdict::kRefused;
  /// Epoch of the key's claim in the loaded log, or if there is none, of the log itself.
  std::uint64_t epoch = 0;
  /// Reason for an outcome other than kGranted and kFinished.
  std::string reason;
  /// Set for kFinished only.
  std::optional<stored_answer> answer;
};

/// Returns a hash of `text` that is the same in every process and release.
std::uint64_t StableHash(std::string_view text);

/// Returns the shard of a key, in [0, kShards).
std::size_t ShardForKey(std::string_view key);

/// Returns the member that owns a shard, chosen by rendezvous hash; empty if there are no members.
std::string SelectOwner(std::size_t shard, const std::vector<std::string>& members);

}  // namespace siskinrack::idempotency

#endif  // SISKINRACK_IDEMPOTENCY_CLAIM_H_
