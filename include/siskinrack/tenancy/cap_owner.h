#ifndef SISKINRACK_TENANCY_CAP_OWNER_H_
#define SISKINRACK_TENANCY_CAP_OWNER_H_

#include <algorithm>
#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "siskinrack/support/boot_clock.h"
#include "siskinrack/tenancy/node_history.h"
#include "siskinrack/tenancy/usage_cap.h"

namespace siskinrack::tenancy {

/// Records for which shards of usage caps one node has the right to grant tokens. At most one node
/// has the right at a time, whatever the nodes believe about each other:
///   - The right ends by itself, kMaxProofAge after the request of the last proof that showed this
///     node as the first candidate. For a substitute it ends that long after the last evidence that
///     the candidates before it have no right.
///   - It passes on at once when a candidate that ranks before this one claims it.
///   - It is acquired by a claim to the node that has it, or without one when every right that
///     rests on another list has ended.
/// See cap_node for the exchange between nodes. Deterministic: the times are arguments. Not
/// thread-safe.
class cap_owner {
 public:
  using steady_time = cap_bucket::time_point;
  using boot_time = support::boot_clock::time_point;

  static constexpr std::chrono::milliseconds kMaxProofAge = node_history::kMaxProofAge;
  /// Time without a reply after which a candidate is suspected.
  static constexpr std::chrono::milliseconds kSuspicionTime{1'000};
  /// Time for which evidence that a candidate is out counts. Shorter than the time that it waits
  /// after its start: a refused connection may be reported again by a pool that doesn't dial.
  static constexpr std::chrono::milliseconds kEvidenceTime{2'000};
  /// Time after the last demand for which the tokens that a node granted count.
  static constexpr std::chrono::milliseconds kHoldTime{5'000};

  /// Says what other nodes may have granted before an acquisition.
  enum class past {
    /// No tokens for kHoldTime, so that those of the bucket are unused.
    kIdle,
    /// Possibly all tokens until now.
    kGranted
  };

  /// Creates the state of a node that starts now.
  cap_owner(steady_time steady_now, boot_time now) : started_at_(steady_now), released_at_(now) {}

  /// Gives up all rights, because other nodes may acquire them from now on: after a suspension, or
  /// without a proof.
  void Release(boot_time now) {
    for (auto& [shard, state] : shards_) state.held = false;
    released_at_ = now;
    has_lost_touch_ = has_lost_touch_ || seen_ != 0;
  }

  /// Applies the lists that are new in `nodes`. `is_first(shard, entry)` returns true if this node
  /// is the first candidate of the shard by a list. A right that rests on being first isn't
  /// extended any more once a list shows another node as the first.
  template <typename IsFirst>
  void Follow(const node_history& nodes, boot_time now, IsFirst is_first) {
    const auto& entries = nodes.entries();
    if (entries.empty()) return;
    if (entries.back().generation == seen_ && entries.back().proved_at == followed_proof_) return;
    if (entries.front().generation > seen_ && seen_ != 0) Release(now);
    for (const node_history::entry& entry : entries) {
      if (entry.generation <= seen_) continue;
      for (auto& [shard, state] : shards_) {
        if (state.held && state.as_first && !is_first(shard, entry)) state.as_first = false;
      }
    }
    seen_ = entries.back().generation;
    followed_proof_ = entries.back().proved_at;
    const boot_time end = entries.back().proved_at + kMaxProofAge;
    for (auto& [shard, state] : shards_) {
      if (state.held && state.as_first) state.held_until = std::max(state.held_until, end);
    }
  }

  /// Returns true if this node has the right to grant tokens of the shard.
  [[nodiscard]] bool Holds(const std::string& shard, boot_time now) const {
    const auto found = shards_.find(shard);
    return found != shards_.end() && found->second.held && now < found->second.held_until;
  }

  /// Returns true if this node has granted tokens of the shard recently.
  [[nodiscard]] bool HasGranted(const std::string& shard, steady_time now) const {
    const auto found = shards_.find(shard);
    if (found == shards_.end() || !found->second.bucket) return false;
    const auto last = found->second.bucket->last_demand();
    return last && now - *last < kHoldTime;
  }

  /// Returns the time since which this node has been in touch with the store.
  [[nodiscard]] boot_time in_touch_since() const { return released_at_; }

  /// Returns true if this node has been out of touch after it had been in touch.
  [[nodiscard]] bool has_lost_touch() const { return has_lost_touch_; }

  /// Returns the time since which this node has neither been out of touch nor given up the right.
  [[nodiscard]] boot_time KeptSince(const std::string& shard) const {
    const auto found = shards_.find(shard);
    return found == shards_.end() ? released_at_ : std::max(released_at_, found->second.lost_at);
  }

  /// Returns a number that identifies an acquisition that begins now, see Acquire. Empty if one has
  /// just failed.
  [[nodiscard]] std::optional<std::uint64_t> BeginAcquisition(const std::string& shard,
                                                              steady_time now) {
    const shard_state& state = shards_[shard];
    if (now < state.next_acquisition) return std::nullopt;
    return state.losses;
  }
  void OnAcquisitionFailed(const std::string& shard, steady_time now) {
    shards_[shard].next_acquisition = now + kAcquisitionInterval;
  }

  /// Acquires the right, as the first candidate or as a substitute, until `until`. Returns false if
  /// it was passed on since BeginAcquisition returned `begun`.
  bool Acquire(const std::string& shard, std::uint64_t begun, bool as_first, boot_time until,
               past before, steady_time now) {
    shard_state& state = shards_[shard];
    if (state.losses != begun) return false;
    if (!state.bucket) state.bucket.emplace(started_at_);
    if (before == past::kGranted) state.bucket->Empty(now);
    state.held = true;
    state.as_first = as_first;
    state.held_until = until;
    return true;
  }

  /// Acquires the right of a shard that no other node has had since `exclusive_since`.
  void AcquireExclusive(const std::string& shard, boot_time until, steady_time exclusive_since) {
    shard_state& state = shards_[shard];
    state.bucket.emplace(exclusive_since);
    state.held = true;
    state.as_first = true;
    state.held_until = until;
  }

  /// Makes the right that this node has rest on being the first candidate.
  void Promote(const std::string& shard) { shards_[shard].as_first = true; }

  /// Extends the right of a substitute.
  void Extend(const std::string& shard, boot_time until) {
    shard_state& state = shards_[shard];
    if (!state.as_first) state.held_until = std::max(state.held_until, until);
  }

  /// Passes the right on to `node`.
  void Yield(const std::string& shard, const std::string& node, boot_time now) {
    Lose(shard, now);
    shards_[shard].yielded_to = node;
    shards_[shard].yielded_at = now;
  }

  /// Gives the right up, because a candidate before this one grants the tokens.
  void Lose(const std::string& shard, boot_time now) {
    shard_state& state = shards_[shard];
    state.held = false;
    state.lost_at = now;
    ++state.losses;
  }

  /// Returns the node that may have the right because this one yielded it; empty if there is none.
  /// A list that was requested after that shows the node, if it still may have it.
  [[nodiscard]] std::string FindYieldedTo(const std::string& shard,
                                          std::optional<boot_time> proved_at, boot_time now) const {
    const auto found = shards_.find(shard);
    if (found == shards_.end()) return {};
    const shard_state& state = found->second;
    const bool ended =
        proved_at && *proved_at > state.yielded_at && now - state.yielded_at >= kMaxProofAge;
    return ended ? std::string() : state.yielded_to;
  }

  /// Records that a demand at another candidate had no reply.
  void OnUnreachable(const std::string& candidate, boot_time now) {
    OnFailure(candidate, now, /*out=*/false, /*clear=*/false);
  }
  /// Records that another candidate has no rights: its process doesn't run, or it is out of touch.
  /// `clear` is true if it said that it has not passed its rights on either.
  void OnOut(const std::string& candidate, bool clear, boot_time now) {
    OnFailure(candidate, now, /*out=*/true, clear);
  }
  void OnReached(const std::string& candidate) { failures_.erase(candidate); }

  /// Returns true if the candidate has not replied for a while. It may have rights all the same:
  /// only the store can tell it that it has lost them.
  [[nodiscard]] bool IsSuspected(const std::string& candidate, boot_time now) const {
    const auto found = failures_.find(candidate);
    return found != failures_.end() && !found->second.out &&
           now - found->second.since >= kSuspicionTime;
  }

  /// Returns the time until which this node may act in place of `candidate`, which is out; empty if
  /// it may not. Unless the candidate said that it has passed its rights on to no node, only a list
  /// that was requested after the first failure shows the nodes to which it may have.
  [[nodiscard]] std::optional<boot_time> FindReplacedUntil(const std::string& candidate,
                                                           std::optional<boot_time> proved_at,
                                                           boot_time now) const {
    const auto found = failures_.find(candidate);
    if (found == failures_.end()) return std::nullopt;
    const failure& entry = found->second;
    if (!entry.out) return std::nullopt;
    if (!entry.clear && (!proved_at || *proved_at < entry.since)) return std::nullopt;
    const boot_time until = entry.latest + kEvidenceTime;
    return now < until ? std::optional(until) : std::nullopt;
  }

  /// Takes tokens from the bucket of a shard that this node holds.
  cap_bucket::grant Grant(const std::string& shard, const usage_cap& cap, const cap_plan& plan,
                          std::uint32_t wanted, steady_time now) {
    shard_state& state = shards_[shard];
    if (!state.bucket) state.bucket.emplace(now);
    return state.bucket->Take(cap, plan, wanted, now);
  }

  /// Forgets the shards for which `is_removed` returns true.
  template <typename IsRemoved>
  void Discard(IsRemoved is_removed) {
    std::erase_if(shards_, [&](const auto& entry) { return is_removed(entry.first); });
  }

 private:
  struct shard_state {
    std::optional<cap_bucket> bucket;
    bool held = false;
    /// The right rests on being the first candidate, so that each further proof extends it.
    bool as_first = false;
    boot_time held_until;
    steady_time next_acquisition{};
    /// Number of times that the right was given up, and the last of them.
    std::uint64_t losses = 0;
    boot_time lost_at;
    /// Node that it was last passed on to; empty if there is none.
    std::string yielded_to;
    boot_time yielded_at;
  };
  /// Time after a failed acquisition in which it isn't repeated: it asks several nodes.
  static constexpr std::chrono::milliseconds kAcquisitionInterval{200};
  /// Failures that are further apart don't show that a candidate was unreachable in between.
  static constexpr std::chrono::milliseconds kFailureGap{3'000};

  struct failure {
    boot_time since;
    boot_time latest;
    bool out = false;
    bool clear = false;
  };

  /// Bounds memory, because machines are replaced.
  static constexpr std::size_t kMaxFailures = 1'024;

  void OnFailure(const std::string& candidate, boot_time now, bool out, bool clear) {
    if (failures_.size() >= kMaxFailures) failures_.clear();
    failure& entry = failures_.try_emplace(candidate, failure{now, now, out, clear}).first->second;
    if (entry.out != out || now - entry.latest > kFailureGap) entry.since = now;
    entry.latest = now;
    entry.out = out;
    entry.clear = clear;
  }

  steady_time started_at_;
  /// Last time at which this node had no rights.
  boot_time released_at_;
  bool has_lost_touch_ = false;
  /// Newest generation of the list that was applied, and its proof.
  std::uint64_t seen_ = 0;
  boot_time followed_proof_;
  std::map<std::string, shard_state> shards_;
  /// Candidates that did not reply or are out, by name.
  std::map<std::string, failure> failures_;
};

}  // namespace siskinrack::tenancy

#endif  // SISKINRACK_TENANCY_CAP_OWNER_H_
