#ifndef SISKINRACK_IDEMPOTENCY_SHARD_OWNER_H_
#define SISKINRACK_IDEMPOTENCY_SHARD_OWNER_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "siskinrack/idempotency/claim.h"
#include "siskinrack/idempotency/claim_index.h"
#include "siskinrack/idempotency/segment.h"
#include "siskinrack/idempotency/store_call.h"

namespace siskinrack::idempotency {

/// Kind of an owner_event.
enum class owner_event_kind {
  /// This node took over the shard.
  kTakeover,
  /// Another node took over the shard, so this node no longer owns it.
  kFenced,
  kGranted,
  kRefused
};

/// Represents an event that the node logs.
struct owner_event {
  owner_event_kind kind;
  std::uint64_t epoch = 0;
  /// Set for kGranted and kRefused only.
  std::string key;
  /// Set for kRefused only.
  std::string reason;
};

/// Owns the claim log of one shard. A state machine without I/O: NextCall returns the platform call
/// to make, and OnResult receives its result; one call is made at a time. Not thread-safe.
///
/// Every claim is written by a conditional update of one object, the open segment. The node that
/// updated it last owns the shard, and the next write of any other node conflicts. A full open
/// segment is first copied to an object of its own, then emptied by the next update.
class shard_owner {
 public:
  /// Creates an owner that hasn't loaded the log. `seed` is a random number of this process.
  shard_owner(std::size_t shard, std::uint64_t seed) : shard_(shard), seed_(seed) {}

  /// Requests a claim. Returns std::nullopt while the claim is queued or being written; the same
  /// request must then be repeated until it's decided, or withdrawn by RecordResult with `executed`
  /// false.
  std::optional<claim_decision> RequestClaim(const claim_request& request, steady_time now);

  /// Ends the claim of `attempt` and queues its result to be written. If `executed` is false, a
  /// pending claim is withdrawn and a granted one released: the request wasn't executed and won't
  /// be under this attempt. An answer larger than kMaxStoredAnswerBytes isn't stored. Returns false
  /// if there is no such open claim, or if the claim is pending and `executed` is true.
  bool RecordResult(const std::string& key, std::uint64_t attempt, bool executed,
                    std::optional<stored_answer> answer, steady_time now);

  /// Returns the platform call to make now, if any. Its result must be passed to OnResult before
  /// the next call of this function.
  std::optional<store_call> NextCall(steady_time now);
  /// Processes the result of the call that NextCall returned.
  void OnResult(store_call_result result, steady_time now);

  /// Returns the earliest time at which NextCall may return a call, unless another request or
  /// result arrives before.
  [[nodiscard]] steady_time NextCallAt() const;

  /// Requests that the log is loaded although no claim is queued, so that results of grants by
  /// earlier owners can be recorded.
  void RequestLoad() { load_requested_ = phase_ == phase::kClosed; }

  /// Refuses the pending claims and discards unwritten results and the loaded log, for example
  /// because another node owns the shard now.
  void StepDown(std::string_view reason);

  /// Returns and removes the events since the last call.
  std::vector<owner_event> TakeEvents();
  /// Returns and removes the results that this owner had accepted but not written when it was
  /// fenced. They must be sent to the new owner.
  std::vector<log_record> TakeUnsavedResults();
  /// Returns true if nothing is queued, no load or check is requested or in progress, no call or
  /// write is unresolved, and no archived segment is to be deleted at `now`.
  [[nodiscard]] bool IsIdle(steady_time now) const;
  /// Returns true if the log is loaded, so that every claim of the retention period is known.
  [[nodiscard]] bool is_ready() const { return phase_ == phase::kReady; }
  /// Returns the epoch of the open segment as last read or written; 0 before it is read.
  [[nodiscard]] std::uint64_t epoch() const { return header_.epoch; }
  /// Returns the number of claims in memory, including pending ones.
  [[nodiscard]] std::size_t claims() const { return index_.size(); }

 private:
  /// Steps of loading the log: reading the open segment, taking over the shard by a write to it,
  /// and reading the archived segments.
  enum class phase { kClosed, kReadOpen, kTakeover, kReadArchive, kReady };
  enum class write_kind { kTakeover, kBatch, kArchive };
  struct write {
    write_kind kind;
    store_call call;
    // The open segment after a takeover or batch; not used for an archive.
    segment_header header;
    /// Encoded records.
    std::string records;
    std::uint64_t newest_ms = 0;
    /// Records that a batch adds.
    std::vector<log_record> added;
  };

  /// Returns the log time at `now`, in milliseconds.
  [[nodiscard]] std::uint64_t LogTime(steady_time now) const;
  std::optional<store_call> NextWriteCall(steady_time now);
  /// Returns the next write of an owner that has loaded its log, if one is due.
  std::optional<write> ChooseWrite(steady_time now);
  store_call MakeDeleteCall(steady_time now);
  [[nodiscard]] bool IsBatchDue(steady_time now) const;
  write MakeTakeoverWrite(steady_time now);
  write MakeBatchWrite(steady_time now);
  write MakeArchiveWrite() const;
  /// Returns true if the retention of the oldest archived segment is over.
  [[nodiscard]] bool CanDelete(std::uint64_t log_ms) const;

  void OnOwnershipChecked(const store_call_result& result, steady_time now);
  void OnOpenRead(store_call_result result, steady_time now);
  void OnArchiveRead(store_call_result result, steady_time now);
  void OnWritten(const store_call_result& result, steady_time now);
  void OnOutcomeRead(store_call_result result, steady_time now);
  void OnWriteApplied(std::uint64_t version, steady_time now);
  void OnBatchApplied(const std::vector<log_record>& added, steady_time now);
  void OnBudgetBackoff(std::chrono::milliseconds wait, steady_time now);
  void OnPlatformFailure(steady_time now);
  void FinishLoading(steady_time now);
  void OnFenced(steady_time now);
  /// Refuses every claim that is queued or being written.
  void RefusePending(const std::string& reason);
  void Refuse(const std::string& key, std::uint64_t attempt, const std::string& reason);
  void Enqueue(log_record record, steady_time now);

  std::size_t shard_;
  std::uint64_t seed_;
  std::uint64_t takeovers_ = 0;
  phase phase_ = phase::kClosed;

  // The open segment as last read or written, with the archives and deletions that its next write
  // stores.
  segment_header header_;
  /// Encoded records of the open segment.
  std::string records_;
  /// Log time of the newest record of the open segment.
  std::uint64_t newest_ms_ = 0;
  /// Version of the platform object.
  std::uint64_t version_ = 0;
  /// Log time at `log_base_at_`, when the log was read.
  std::uint64_t log_base_ms_ = 0;
  steady_time log_base_at_{};

  // State of loading the log after a takeover.
  /// Records of the open segment, applied after those of the archived segments.
  std::vector<log_record> open_records_;
  claim_index loaded_;
  std::size_t next_archive_ = 0;

  // The write in progress and the state of the current call.
  std::optional<write> write_;
  bool call_in_flight_ = false;
  bool load_requested_ = false;
  /// True while it is unknown whether `write_` took effect, which a read determines.
  bool resolving_write_ = false;
  bool deleting_ = false;
  // State of the read that checks whether another node has taken over the shard.
  bool check_requested_ = false;
  bool checking_ = false;
  steady_time checked_at_{};
  /// Reason of refusals until retry_at_; empty if requests are queued instead.
  std::string refusal_reason_;
  bool platform_down_ = false;
  steady_time retry_at_{};
  steady_time next_batch_at_{};
  steady_time next_other_at_{};

  claim_index index_;
  std::deque<log_record> queue_;
  std::size_t queued_claims_ = 0;
  steady_time oldest_queued_at_{};
  /// Reasons of refusals that haven't been returned yet, by attempt.
  std::unordered_map<std::uint64_t, std::string> refusals_;
  std::vector<owner_event> events_;
  std::vector<log_record> unsaved_;
};

}  // namespace siskinrack::idempotency

#endif  // SISKINRACK_IDEMPOTENCY_SHARD_OWNER_H_
