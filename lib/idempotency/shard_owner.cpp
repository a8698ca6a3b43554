#include "siskinrack/idempotency/shard_owner.h"

#include <algorithm>
#include <utility>

namespace siskinrack::idempotency {
namespace {

using std::chrono::milliseconds;

/// Time that a result may take from the upstream's deadline to the owner.
constexpr milliseconds kResultMargin{1'000};
/// Pause after losing the shard, so that two nodes with different views don't take it in turns.
constexpr milliseconds kFencedPause{500};
constexpr std::size_t kMaxQueuedClaims = 4096;
/// Bounds the header and the reads of a takeover.
constexpr std::size_t kMaxArchivedSegments = 512;

/// Results wait this long for a batch of claims to share a write with.
constexpr milliseconds kResultDelay{500};
constexpr milliseconds kCheckInterval{1'000};

constexpr std::string_view kDownReason = "platform is unavailable";

std::uint64_t Count(milliseconds time) { return static_cast<std::uint64_t>(time.count()); }

}  // namespace

std::uint64_t shard_owner::LogNow(steady_time now) const {
  const auto passed = std::chrono::duration_cast<milliseconds>(now - log_base_at_);
  return log_base_ms_ + Count(std::max(passed, milliseconds(0)));
}

std::optional<claim_decision> shard_owner::RequestClaim(const claim_request& ask, steady_time now) {
  if (const auto refused = refused_.find(ask.attempt); refused != refused_.end()) {
    claim_decision decision{verdict::kRefused, header_.epoch, std::move(refused->second), {}};
    refused_.erase(refused);
    return decision;
  }
  const std::uint64_t log_ms = LogNow(now);
  if (phase_ == phase::kReady) {
    index_.Expire(log_ms);
    if (auto decision = index_.Decide(ask, log_ms)) {
      // The result may have gone to another node that owns the shard now.
      const bool open =
          decision->outcome == verdict::kInProgress || decision->outcome == verdict::kLost;
      if (open && now - checked_at_ >= kCheckInterval) check_wanted_ = true;
      return decision;
    }
  }
  if (const claim* own = index_.Find(ask.key); own != nullptr) {
    // While the log is being loaded, only the asks of this time are known.
    if (own->attempt == ask.attempt) return std::nullopt;
    return claim_decision{verdict::kInProgress, header_.epoch, "claim is being written", {}};
  }
  if (down_) return claim_decision{verdict::kRefused, header_.epoch, std::string(kDownReason), {}};
  if (phase_ == phase::kClosed && now < retry_at_ && !closed_reason_.empty()) {
    return claim_decision{verdict::kRefused, header_.epoch, closed_reason_, {}};
  }
  if (queued_claims_ >= kMaxQueuedClaims || header_.archived.size() >= kMaxArchivedSegments) {
    return claim_decision{verdict::kRefused, header_.epoch, "claim log is full", {}};
  }
  log_record record{record_kind::kClaim, ask.key, ask.attempt, log_ms, ask.fingerprint, 0, 0, {}};
  record.expires_ms = log_ms + Count(ask.deadline + kResultMargin);
  index_.Insert(ask.key, {ask.fingerprint, ask.attempt, 0, log_ms, record.expires_ms,
                          claim_state::kPending, std::nullopt});
  Queue(std::move(record), now);
  return std::nullopt;
}

void shard_owner::Queue(log_record record, steady_time now) {
  if (queue_.empty()) oldest_queued_at_ = now;
  if (record.kind == record_kind::kClaim) ++queued_claims_;
  queue_.push_back(std::move(record));
}

bool shard_owner::Finish(const std::string& key, std::uint64_t attempt, bool executed,
                         std::optional<stored_answer> answer, steady_time now) {
  refused_.erase(attempt);
  claim* item = index_.Find(key);
  if (item == nullptr || item->attempt != attempt || item->state == claim_state::kFinished) {
    return false;
  }
  if (item->state == claim_state::kPending && !executed) {
    Refuse(key, attempt, "withdrawn");
    refused_.erase(attempt);
    return true;
  }
  if (item->state != claim_state::kGranted) return false;
  if (answer && ContentBytes(*answer) > kMaxStoredAnswerBytes) answer.reset();
  log_record record{executed ? record_kind::kFinish : record_kind::kRelease,
                    key,
                    attempt,
                    LogNow(now),
                    0,
                    0,
                    0,
                    answer};
  Queue(std::move(record), now);
  if (!executed) {
    index_.Erase(key);
    return true;
  }
  item->state = claim_state::kFinished;
  item->answer = std::move(answer);
  return true;
}

void shard_owner::Refuse(const std::string& key, std::uint64_t attempt, const std::string& reason) {
  claim* item = index_.Find(key);
  if (item == nullptr || item->attempt != attempt || item->state != claim_state::kPending) return;
  refused_[attempt] = reason;
  const auto queued = std::find_if(queue_.begin(), queue_.end(), [&](const log_record& record) {
    return record.kind == record_kind::kClaim && record.attempt == attempt;
  });
  if (queued != queue_.end()) {
    queue_.erase(queued);
    --queued_claims_;
    index_.Erase(key);
  } else {
    item->state = claim_state::kAbandoned;
  }
}

void shard_owner::RefuseWaiting(const std::string& reason) {
  std::vector<log_record> waiting(queue_.begin(), queue_.end());
  if (write_) waiting.insert(waiting.end(), write_->added.begin(), write_->added.end());
  for (const log_record& record : waiting) {
    if (record.kind != record_kind::kClaim) continue;
    const claim* item = index_.Find(record.key);
    const bool pending =
        item != nullptr && item->attempt == record.attempt && item->state == claim_state::kPending;
    if (!pending) continue;
    Refuse(record.key, record.attempt, reason);
    events_.push_back({owner_event_kind::kRefused, header_.epoch, record.key, reason});
  }
}

void shard_owner::StepDown(std::string_view reason) {
  RefuseWaiting(std::string(reason));
  index_.Clear();
  queue_.clear();
  queued_claims_ = 0;
  write_.reset();
  open_records_.clear();
  settling_ = false;
  deleting_ = false;
  check_wanted_ = false;
  checking_ = false;
  header_ = {};
  closed_reason_.clear();
  phase_ = phase::kClosed;
}

void shard_owner::Fenced(steady_time now) {
  events_.push_back({owner_event_kind::kFenced, header_.epoch, {}, {}});
  std::vector<log_record> unwritten(queue_.begin(), queue_.end());
  if (write_) unwritten.insert(unwritten.end(), write_->added.begin(), write_->added.end());
  for (log_record& record : unwritten) {
    if (record.kind != record_kind::kClaim) unsaved_.push_back(std::move(record));
  }
  // Waiting asks are not refused: they are repeated, and the log as the other node left it decides.
  write_.reset();
  queue_.clear();
  StepDown("another node owns the shard");
  retry_at_ = now + kFencedPause;
}

std::vector<owner_event> shard_owner::TakeEvents() { return std::exchange(events_, {}); }

std::vector<log_record> shard_owner::TakeUnsavedResults() { return std::exchange(unsaved_, {}); }

bool shard_owner::IsIdle(steady_time now) const {
  const bool loading =
      open_wanted_ || check_wanted_ || (phase_ != phase::kClosed && phase_ != phase::kReady);
  return queue_.empty() && !write_ && !in_call_ && !loading && !CanDelete(LogNow(now));
}

steady_time shard_owner::NextCallAt() const {
  const bool batch = write_ ? write_->kind == write_kind::kBatch : !queue_.empty();
  if (settling_ || check_wanted_ || phase_ != phase::kReady || !batch) return retry_at_;
  steady_time at = std::max(retry_at_, next_batch_at_);
  if (!write_ && queued_claims_ == 0) at = std::max(at, oldest_queued_at_ + kResultDelay);
  return at;
}

}  // namespace siskinrack::idempotency
