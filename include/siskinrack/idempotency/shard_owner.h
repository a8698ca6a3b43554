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

enum class owner_event_kind { kTakeover, kFenced, kGranted, kRefused };

/// Something for the log.
struct owner_event {
  owner_event_kind kind;
  std::uint64_t epoch = 0;
  std::string key;
  std::string reason;
};

/// Owner of one shard's claim log. A state machine: it says which platform call to make next and
/// takes the result; the calls of one owner are made one after the other. Not thread-safe.
///
/// Every claim goes through conditional updates of one object, the open segment; whoever updates it
/// last owns the shard, and the next write of any other owner conflicts. A full open segment is
/// first copied to an object of its own, then emptied by the next update.
class shard_owner {
 public:
  /// `seed` is a random number of this process.
  shard_owner(std::size_t shard, std::uint64_t seed) : shard_(shard), seed_(seed) {}

  /// Asks for a claim; nothing means that the claim is queued, and the same ask is to be repeated.
  /// An asker that stops asking calls Finish with `executed` false.
  std::optional<claim_decision> RequestClaim(const claim_request& ask, steady_time now);

  /// Ends the claim of `attempt`. `executed` false releases the key: the request did not run and
  /// will not run under this attempt. Returns false if the claim isn't known.
  bool Finish(const std::string& key, std::uint64_t attempt, bool executed,
              std::optional<stored_answer> answer, steady_time now);

  /// The platform call to make now, if any. Its result goes to OnResult before the next call.
  std::optional<store_call> NextCall(steady_time now);
  void OnResult(store_call_result result, steady_time now);

  /// Earliest time at which NextCall may have a call, unless another ask or result comes before.
  [[nodiscard]] steady_time NextCallAt() const;

  /// Loads the log without an ask, so that results of earlier owners' grants can be recorded.
  void RequestLoad() { open_wanted_ = phase_ == phase::kClosed; }

  /// Gives the shard up, for example because another node is its owner now.
  void StepDown(std::string_view reason);

  std::vector<owner_event> TakeEvents();
  /// Results that a fenced owner had accepted and not written; they go to the new owner.
  std::vector<log_record> TakeUnsavedResults();
  /// Nothing queued, nothing in doubt, nothing to delete.
  [[nodiscard]] bool IsIdle(steady_time now) const;
  /// The log is loaded: every claim of the retention period is known.
  [[nodiscard]] bool ready() const { return phase_ == phase::kReady; }
  [[nodiscard]] std::uint64_t epoch() const { return header_.epoch; }
  [[nodiscard]] std::size_t claims() const { return index_.size(); }

 private:
  enum class phase { kClosed, kReadOpen, kTakeover, kReadArchive, kReady };
  enum class write_kind { kTakeover, kBatch, kArchive };
  struct write {
    write_kind kind;
    store_call call;
    segment_header header;
    /// Encoded records of the segment after the write.
    std::string records;
    std::uint64_t newest_ms = 0;
    std::vector<log_record> added;
  };

  [[nodiscard]] std::uint64_t LogNow(steady_time now) const;
  std::optional<store_call> WriteCall(steady_time now);
  /// Chooses the next write of an owner that has loaded its log.
  std::optional<write> ChooseWrite(steady_time now);
  store_call DeleteCall(steady_time now);
  [[nodiscard]] bool BatchDue(steady_time now) const;
  write MakeTakeover(steady_time now);
  write MakeBatch(steady_time now);
  write MakeArchive() const;
  [[nodiscard]] bool CanDelete(std::uint64_t log_ms) const;

  void OnChecked(const store_call_result& result, steady_time now);
  void OnOpenRead(store_call_result result, steady_time now);
  void OnArchiveRead(store_call_result result, steady_time now);
  void OnWritten(const store_call_result& result, steady_time now);
  void OnSettled(store_call_result result, steady_time now);
  void OnLanded(std::uint64_t version, steady_time now);
  void OnBatchLanded(const std::vector<log_record>& added, steady_time now);
  void OnBudgetWait(std::chrono::milliseconds wait, steady_time now);
  void OnPlatformFailure(steady_time now);
  void FinishLoading(steady_time now);
  void Fenced(steady_time now);
  /// Refuses every ask that is waiting.
  void RefuseWaiting(const std::string& reason);
  void Refuse(const std::string& key, std::uint64_t attempt, const std::string& reason);
  void Queue(log_record record, steady_time now);

  std::size_t shard_;
  std::uint64_t seed_;
  std::uint64_t takeovers_ = 0;
  phase phase_ = phase::kClosed;

  // The open segment as last read or written.
  segment_header header_;
  std::string records_;
  std::uint64_t newest_ms_ = 0;
  std::uint64_t version_ = 0;
  std::uint64_t log_base_ms_ = 0;
  steady_time log_base_at_{};

  // Loading after a takeover.
  std::vector<log_record> open_records_;
  claim_index loaded_;
  std::size_t next_archive_ = 0;

  // The write in progress and what is known of it.
  std::optional<write> write_;
  bool in_call_ = false;
  bool open_wanted_ = false;
  bool settling_ = false;
  bool deleting_ = false;
  // Reading the open segment to learn whether another node has taken the shard over.
  bool check_wanted_ = false;
  bool checking_ = false;
  steady_time checked_at_{};
  /// Why asks are refused until retry_at_; empty if they are queued.
  std::string closed_reason_;
  bool down_ = false;
  steady_time retry_at_{};
  steady_time next_batch_at_{};
  steady_time next_other_at_{};

  claim_index index_;
  std::deque<log_record> queue_;
  std::size_t queued_claims_ = 0;
  steady_time oldest_queued_at_{};
  /// Refusals that their asker has not seen yet.
  std::unordered_map<std::uint64_t, std::string> refused_;
  std::vector<owner_event> events_;
  std::vector<log_record> unsaved_;
};

}  // namespace siskinrack::idempotency

#endif  // SISKINRACK_IDEMPOTENCY_SHARD_OWNER_H_
