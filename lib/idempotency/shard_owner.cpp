#include "siskinrack/idempotency/shard_owner.h"

#include <algorithm>
#include <utility>

namespace siskinrack::idempotency {
namespace {

using std::chrono::milliseconds;

/// Time after the upstream's deadline within which a result must reach the owner.
constexpr milliseconds kResultMargin{1'000};
/// Pause after another node took over the shard, so that two nodes with different views of the
/// members don't take it over in turns without a pause.
constexpr milliseconds kFencedPause{500};
constexpr std::size_t kMaxQueuedClaims = 4096;
/// Limits the size of the header and the number of reads of a takeover.
constexpr std::size_t kMaxArchivedSegments = 512;

/// Time that results wait for a batch of claims, to be written together with it.
constexpr milliseconds kResultDelay{500};
/// Minimum time between two checks whether another node has taken over the shard.
constexpr milliseconds kCheckInterval{1'000};

constexpr std::string_view kPlatformUnavailable = "platform is unavailable";

std::uint64_t ToMilliseconds(milliseconds time) { return static_cast<std::uint64_t>(time.count()); }

}  // namespace

std::uint64_t shard_owner::LogTime(steady_time now) const {
  const auto passed = std::chrono::duration_cast<milliseconds>(now - log_base_at_);
  return log_base_ms_ + ToMilliseconds(std::max(passed, milliseconds(0)));
}

std::optional<claim_decision> shard_owner::RequestClaim(const claim_request& request,
                                                        steady_time now) {
  if (const auto refused = refusals_.find(request.attempt); refused != refusals_.end()) {
    claim_decision decision{verdict::kRefused, header_.epoch, std::move(refused->second), {}};
    refusals_.erase(refused);
    return decision;
  }
  const std::uint64_t log_ms = LogTime(now);
  if (phase_ == phase::kReady) {
    index_.Expire(log_ms);
    if (auto decision = index_.Decide(request, log_ms)) {
      // The result may have been sent to another node that owns the shard now.
      const bool open =
          decision->outcome == verdict::kInProgress || decision->outcome == verdict::kLost;
      if (open && now - checked_at_ >= kCheckInterval) check_requested_ = true;
      return decision;
    }
  }
  if (const claim* pending = index_.Find(request.key); pending != nullptr) {
    // Until the log is loaded, the index holds only the claims requested meanwhile.
    if (pending->attempt == request.attempt) return std::nullopt;
    return claim_decision{verdict::kInProgress, header_.epoch, "claim is being written", {}};
  }
  if (platform_down_)
    return claim_decision{verdict::kRefused, header_.epoch, std::string(kPlatformUnavailable), {}};
  if (phase_ == phase::kClosed && now < retry_at_ && !refusal_reason_.empty()) {
    return claim_decision{verdict::kRefused, header_.epoch, refusal_reason_, {}};
  }
  if (queued_claims_ >= kMaxQueuedClaims || header_.archived.size() >= kMaxArchivedSegments) {
    return claim_decision{verdict::kRefused, header_.epoch, "claim log of the shard is full", {}};
  }
  log_record record{
      record_kind::kClaim, request.key, request.attempt, log_ms, request.fingerprint, 0, 0, {}};
  record.expires_ms = log_ms + ToMilliseconds(request.deadline + kResultMargin);
  index_.Insert(request.key, {request.fingerprint, request.attempt, 0, log_ms, record.expires_ms,
                              claim_state::kPending, std::nullopt});
  Enqueue(std::move(record), now);
  return std::nullopt;
}

void shard_owner::Enqueue(log_record record, steady_time now) {
  if (queue_.empty()) oldest_queued_at_ = now;
  if (record.kind == record_kind::kClaim) ++queued_claims_;
  queue_.push_back(std::move(record));
}

bool shard_owner::RecordResult(const std::string& key, std::uint64_t attempt, bool executed,
                               std::optional<stored_answer> answer, steady_time now) {
  refusals_.erase(attempt);
  claim* existing = index_.Find(key);
  if (existing == nullptr || existing->attempt != attempt ||
      existing->state == claim_state::kFinished) {
    return false;
  }
  if (existing->state == claim_state::kPending && !executed) {
    Refuse(key, attempt, "withdrawn");
    refusals_.erase(attempt);
    return true;
  }
  if (existing->state != claim_state::kGranted) return false;
  if (answer && ContentBytes(*answer) > kMaxStoredAnswerBytes) answer.reset();
  log_record record{executed ? record_kind::kFinish : record_kind::kRelease,
                    key,
                    attempt,
                    LogTime(now),
                    0,
                    0,
                    0,
                    answer};
  Enqueue(std::move(record), now);
  if (!executed) {
    index_.Erase(key);
    return true;
  }
  existing->state = claim_state::kFinished;
  existing->answer = std::move(answer);
  return true;
}

void shard_owner::Refuse(const std::string& key, std::uint64_t attempt, const std::string& reason) {
  claim* existing = index_.Find(key);
  if (existing == nullptr || existing->attempt != attempt ||
      existing->state != claim_state::kPending)
    return;
  refusals_[attempt] = reason;
  const auto queued = std::find_if(queue_.begin(), queue_.end(), [&](const log_record& record) {
    return record.kind == record_kind::kClaim && record.attempt == attempt;
  });
  if (queued != queue_.end()) {
    queue_.erase(queued);
    --queued_claims_;
    index_.Erase(key);
  } else {
    existing->state = claim_state::kAbandoned;
  }
}

void shard_owner::RefusePending(const std::string& reason) {
  std::vector<log_record> waiting(queue_.begin(), queue_.end());
  if (write_) waiting.insert(waiting.end(), write_->added.begin(), write_->added.end());
  for (const log_record& record : waiting) {
    if (record.kind != record_kind::kClaim) continue;
    const claim* existing = index_.Find(record.key);
    const bool pending = existing != nullptr && existing->attempt == record.attempt &&
                         existing->state == claim_state::kPending;
    if (!pending) continue;
    Refuse(record.key, record.attempt, reason);
    events_.push_back({owner_event_kind::kRefused, header_.epoch, record.key, reason});
  }
}

void shard_owner::StepDown(std::string_view reason) {
  RefusePending(std::string(reason));
  index_.Clear();
  queue_.clear();
  queued_claims_ = 0;
  write_.reset();
  open_records_.clear();
  resolving_write_ = false;
  deleting_ = false;
  check_requested_ = false;
  checking_ = false;
  header_ = {};
  refusal_reason_.clear();
  phase_ = phase::kClosed;
}

void shard_owner::OnFenced(steady_time now) {
  events_.push_back({owner_event_kind::kFenced, header_.epoch, {}, {}});
  std::vector<log_record> unwritten(queue_.begin(), queue_.end());
  if (write_) unwritten.insert(unwritten.end(), write_->added.begin(), write_->added.end());
  for (log_record& record : unwritten) {
    if (record.kind != record_kind::kClaim) unsaved_.push_back(std::move(record));
  }
  // Pending requests are not refused: they are repeated, and then decided from the log as the other
  // node left it.
  write_.reset();
  queue_.clear();
  StepDown("another node owns the shard");
  retry_at_ = now + kFencedPause;
}

std::vector<owner_event> shard_owner::TakeEvents() { return std::exchange(events_, {}); }

std::vector<log_record> shard_owner::TakeUnsavedResults() { return std::exchange(unsaved_, {}); }

bool shard_owner::IsIdle(steady_time now) const {
  const bool loading =
      load_requested_ || check_requested_ || (phase_ != phase::kClosed && phase_ != phase::kReady);
  return queue_.empty() && !write_ && !call_in_flight_ && !loading && !CanDelete(LogTime(now));
}

steady_time shard_owner::NextCallAt() const {
  const bool batch = write_ ? write_->kind == write_kind::kBatch : !queue_.empty();
  if (resolving_write_ || check_requested_ || phase_ != phase::kReady || !batch) return retry_at_;
  steady_time at = std::max(retry_at_, next_batch_at_);
  if (!write_ && queued_claims_ == 0) at = std::max(at, oldest_queued_at_ + kResultDelay);
  return at;
}

}  // namespace siskinrack::idempotency
