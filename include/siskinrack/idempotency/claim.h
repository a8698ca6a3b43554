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

/// Keys hash to this number of shards.
inline constexpr std::size_t kShards = 32;
/// A key is never granted twice within this time.
inline constexpr std::chrono::milliseconds kRetention{600'000};
/// Time between two batches of a shard, and between two writes of other kinds (takeover, archive,
/// deletion). Gives at most 8 + 1 = 9 writes/s per shard, hence 288/s for the whole fleet, below
/// the several hundred that the platform accepts. Other writes don't take the turn of a batch: with
/// one turn for both, the 99th percentile of a claim's latency at 1,000 requests/s was 197 ms.
inline constexpr std::chrono::milliseconds kBatchSpacing{125};
inline constexpr std::chrono::milliseconds kOtherWriteSpacing{1'000};
inline constexpr std::size_t kMaxKeyBytes = 128;
/// Larger answers are not kept; a repeat of their key gets `unknown`.
inline constexpr std::size_t kMaxStoredAnswerBytes = 2048;

/// An upstream's answer as kept in the claim log.
struct stored_answer {
  std::uint16_t status = 0;
  std::vector<std::pair<std::string, std::string>> fields;
  std::string body;

  bool operator==(const stored_answer&) const = default;
};

/// Size of an answer in the claim log, in bytes, without fixed-size parts.
std::size_t ContentBytes(const stored_answer& answer);

/// A request for the right to run a key.
struct claim_request {
  std::string key;
  /// Digest of the request; a key stands for one request only.
  std::uint64_t fingerprint = 0;
  /// Random number of the entry node, which tells this grant from any other of the same key.
  std::uint64_t attempt = 0;
  /// Time until which the asker will use a grant.
  std::chrono::milliseconds deadline{0};
};

enum class verdict {
  kGranted,
  /// The key has run; `answer` is its response.
  kFinished,
  kInProgress,
  /// The key may have run and its answer isn't known.
  kLost,
  /// Not granted; nothing ran on behalf of this ask.
  kRefused,
  /// The key was used with another request.
  kMismatch,
};

struct claim_decision {
  verdict outcome = verdict::kRefused;
  std::uint64_t epoch = 0;
  std::string reason;
  std::optional<stored_answer> answer;
};

/// Hash that is the same in every process and release.
std::uint64_t StableHash(std::string_view text);

std::size_t ShardForKey(std::string_view key);

/// The first of `members` by rendezvous hash for a shard; empty if there are none.
std::string SelectOwner(std::size_t shard, const std::vector<std::string>& members);

}  // namespace siskinrack::idempotency

#endif  // SISKINRACK_IDEMPOTENCY_CLAIM_H_
