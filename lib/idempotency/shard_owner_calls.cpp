// The platform calls of a shard owner: selection of the next call and handling of its result.

#include <algorithm>
#include <cassert>
#include <utility>

#include "siskinrack/idempotency/shard_owner.h"

namespace siskinrack::idempotency {
namespace {

using platform::store_errc;
using platform::store_error;
using platform::stored_object;
using std::chrono::milliseconds;

/// Pause after a call that failed because the platform is unavailable.
constexpr milliseconds kPlatformRetry{50};
/// Longest backoff of the call budget that pending requests wait for. The backoff after one lost
/// answer is shorter; a longer one means that the platform is down.
constexpr milliseconds kMaxBudgetBackoff{150};
/// Time between two reads of an undecodable log. Only an operator can repair it, so it isn't read
/// again for every request.
constexpr milliseconds kUnreadableRetry{1'000};
/// Size from which a batch takes no more records. The largest header, open segment (kMaxOpenBytes)
/// and batch together stay below the platform's limit of 1 MB per value.
constexpr std::size_t kMaxBatchBytes = 256U << 10U;
/// Size from which no batch is added to a segment that grows faster than it can be archived.
constexpr std::size_t kMaxOpenBytes = 512U << 10U;

}  // namespace

std::optional<store_call> shard_owner::NextCall(steady_time now) {
  if (call_in_flight_ || now < retry_at_) return std::nullopt;
  std::optional<store_call> call;
  if (phase_ == phase::kClosed && (!queue_.empty() || load_requested_)) phase_ = phase::kReadOpen;
  load_requested_ = false;
  if (resolving_write_) {
    call = store_call{store_call_kind::kGet, write_->call.name, {}, 0};
  } else if (phase_ == phase::kReady && check_requested_ && !write_) {
    check_requested_ = false;
    checking_ = true;
    checked_at_ = now;
    call = store_call{store_call_kind::kGet, OpenSegmentName(shard_), {}, 0};
  } else if (phase_ == phase::kReadOpen) {
    call = store_call{store_call_kind::kGet, OpenSegmentName(shard_), {}, 0};
  } else if (phase_ == phase::kReadArchive) {
    const archived_segment& archive = header_.archived.at(next_archive_);
    call = store_call{
        store_call_kind::kGet, ArchivedSegmentName(shard_, archive.number, archive.epoch), {}, 0};
  } else if (phase_ != phase::kClosed) {
    call = NextWriteCall(now);
  }
  call_in_flight_ = call.has_value();
  return call;
}

std::optional<store_call> shard_owner::NextWriteCall(steady_time now) {
  if (!write_ && phase_ == phase::kTakeover) write_ = MakeTakeoverWrite(now);
  if (!write_) write_ = ChooseWrite(now);
  if (!write_) {
    if (!CanDelete(LogTime(now)) || now < next_other_at_) return std::nullopt;
    return MakeDeleteCall(now);
  }
  const bool batch = write_->kind == write_kind::kBatch;
  steady_time& next_write_at = batch ? next_batch_at_ : next_other_at_;
  if (now < next_write_at) return std::nullopt;
  next_write_at = now + (batch ? kBatchSpacing : kOtherWriteSpacing);
  return write_->call;
}

std::optional<shard_owner::write> shard_owner::ChooseWrite(steady_time now) {
  if (records_.size() >= kMaxSegmentBytes && now >= next_other_at_) return MakeArchiveWrite();
  if (!IsBatchDue(now) || records_.size() >= kMaxOpenBytes) return std::nullopt;
  return MakeBatchWrite(now);
}

store_call shard_owner::MakeDeleteCall(steady_time now) {
  next_other_at_ = now + kOtherWriteSpacing;
  deleting_ = true;
  const archived_segment& oldest = header_.archived.front();
  const std::string name = ArchivedSegmentName(shard_, oldest.number, oldest.epoch);
  return {store_call_kind::kDelete, name, {}, oldest.version};
}

bool shard_owner::IsBatchDue(steady_time now) const {
  return !queue_.empty() && now >= NextCallAt();
}

bool shard_owner::CanDelete(std::uint64_t log_ms) const {
  return !header_.archived.empty() &&
         header_.archived.front().newest_ms + static_cast<std::uint64_t>(kRetention.count()) <=
             log_ms;
}

shard_owner::write shard_owner::MakeTakeoverWrite(steady_time now) {
  write takeover{write_kind::kTakeover, {}, header_, records_, newest_ms_, {}};
  ++takeover.header.epoch;
  // Distinguishes this takeover from that of another process with the same epoch.
  takeover.header.writer = StableHash(std::to_string(seed_) + '/' + std::to_string(++takeovers_));
  takeover.header.write_number = 1;
  takeover.header.log_ms = LogTime(now);
  takeover.call = {store_call_kind::kPut, OpenSegmentName(shard_),
                   Encode(takeover.header) + takeover.records, version_};
  return takeover;
}

shard_owner::write shard_owner::MakeBatchWrite(steady_time now) {
  write batch{write_kind::kBatch, {}, header_, records_, newest_ms_, {}};
  ++batch.header.write_number;
  batch.header.log_ms = LogTime(now);
  std::size_t bytes = 0;
  while (!queue_.empty() && bytes < kMaxBatchBytes) {
    log_record& record = queue_.front();
    if (record.kind == record_kind::kClaim) {
      --queued_claims_;
      record.epoch = header_.epoch;
    }
    const std::string encoded = Encode(record);
    bytes += encoded.size();
    batch.records += encoded;
    batch.newest_ms = std::max(batch.newest_ms, record.log_ms);
    batch.added.push_back(std::move(record));
    queue_.pop_front();
  }
  oldest_queued_at_ = now;
  batch.call = {store_call_kind::kPut, OpenSegmentName(shard_),
                Encode(batch.header) + batch.records, version_};
  return batch;
}

shard_owner::write shard_owner::MakeArchiveWrite() const {
  const std::string name = ArchivedSegmentName(shard_, header_.number, header_.epoch);
  segment_header header = header_;
  header.archived.clear();
  return {write_kind::kArchive,
          {store_call_kind::kPut, name, Encode(header) + records_, platform::kMustNotExist},
          header_,
          {},
          newest_ms_,
          {}};
}

void shard_owner::OnResult(store_call_result result, steady_time now) {
  assert(call_in_flight_ && "result without a call in flight");
  call_in_flight_ = false;
  const auto* error = std::get_if<store_error>(&result);
  if (error != nullptr && error->code == store_errc::kUnavailable &&
      error->retry_after > milliseconds(0) && error->retry_after <= kMaxBudgetBackoff) {
    return OnBudgetBackoff(error->retry_after, now);
  }
  const bool answered = error == nullptr || error->code == store_errc::kConflict ||
                        error->code == store_errc::kNotFound;
  if (answered) platform_down_ = false;
  if (std::exchange(deleting_, false)) {
    // If the object doesn't exist or has another version, an earlier call whose answer was lost has
    // deleted it.
    if (answered && CanDelete(LogTime(now))) header_.archived.erase(header_.archived.begin());
    if (!answered) OnPlatformFailure(now);
  } else if (std::exchange(checking_, false)) {
    OnOwnershipChecked(result, now);
  } else if (resolving_write_) {
    OnOutcomeRead(std::move(result), now);
  } else if (write_) {
    OnWritten(result, now);
  } else if (phase_ == phase::kReadOpen) {
    OnOpenRead(std::move(result), now);
  } else if (phase_ == phase::kReadArchive) {
    OnArchiveRead(std::move(result), now);
  }
}

void shard_owner::OnBudgetBackoff(milliseconds wait, steady_time now) {
  // The call was not made, so no outcome is unknown and the spacing of writes doesn't count it.
  deleting_ = false;
  checking_ = false;
  retry_at_ = now + wait;
  next_batch_at_ = std::min(next_batch_at_, retry_at_);
  next_other_at_ = std::min(next_other_at_, retry_at_);
}

void shard_owner::OnPlatformFailure(steady_time now) {
  platform_down_ = true;
  retry_at_ = now + kPlatformRetry;
  RefusePending("platform is unavailable");
  if (phase_ != phase::kReady && !write_) phase_ = phase::kClosed;
  if (phase_ != phase::kClosed) return;
  platform_down_ = false;
  refusal_reason_ = "platform is unavailable";
}

void shard_owner::OnOwnershipChecked(const store_call_result& result, steady_time now) {
  const auto* object = std::get_if<stored_object>(&result);
  if (object != nullptr && object->version != version_) OnFenced(now);
}

void shard_owner::OnOpenRead(store_call_result result, steady_time now) {
  segment found;
  version_ = platform::kMustNotExist;
  if (auto* error = std::get_if<store_error>(&result)) {
    if (error->code != store_errc::kNotFound) return OnPlatformFailure(now);
  } else {
    const auto& object = std::get<stored_object>(result);
    auto decoded = DecodeSegment(object.value);
    if (!decoded) {
      StepDown("claim log can't be decoded");
      refusal_reason_ = "claim log can't be decoded";
      retry_at_ = now + kUnreadableRetry;
      return;
    }
    version_ = object.version;
    found = std::move(*decoded);
  }
  header_ = std::move(found.header);
  open_records_ = std::move(found.records);
  records_.clear();
  newest_ms_ = 0;
  for (const log_record& record : open_records_) {
    records_ += Encode(record);
    newest_ms_ = std::max(newest_ms_, record.log_ms);
  }
  // Time without an owner isn't counted as log time, which can only lengthen the retention, never
  // shorten it.
  log_base_ms_ = std::max(header_.log_ms, newest_ms_);
  log_base_at_ = now;
  phase_ = phase::kTakeover;
}

void shard_owner::OnWritten(const store_call_result& result, steady_time now) {
  const auto* error = std::get_if<store_error>(&result);
  if (error == nullptr) return OnWriteApplied(std::get<stored_object>(result).version, now);
  resolving_write_ = true;
  // The next read usually resolves a conflict or a lost answer; any other failure counts as an
  // unavailable platform.
  if (error->code != store_errc::kConflict && error->code != store_errc::kOutcomeUnknown) {
    OnPlatformFailure(now);
  }
}

void shard_owner::OnOutcomeRead(store_call_result result, steady_time now) {
  const auto* error = std::get_if<store_error>(&result);
  if (error != nullptr && error->code != store_errc::kNotFound) return OnPlatformFailure(now);
  resolving_write_ = false;
  std::uint64_t version = platform::kMustNotExist;
  if (error == nullptr) {
    const auto& object = std::get<stored_object>(result);
    if (object.value == write_->call.value) return OnWriteApplied(object.version, now);
    version = object.version;
  }
  // The object is unchanged, so the same value is written again. It does no harm if the first write
  // takes effect late, because both have the same value and condition.
  if (version == write_->call.expected_version) return;
  OnFenced(now);
}

void shard_owner::OnWriteApplied(std::uint64_t version, steady_time now) {
  write applied = std::move(*write_);
  write_.reset();
  resolving_write_ = false;
  if (applied.kind == write_kind::kArchive) {
    header_.archived.push_back({header_.number, header_.epoch, version, newest_ms_});
    ++header_.number;
    records_.clear();
    newest_ms_ = 0;
    return;
  }
  version_ = version;
  header_ = std::move(applied.header);
  records_ = std::move(applied.records);
  newest_ms_ = applied.newest_ms;
  if (applied.kind == write_kind::kBatch) return OnBatchApplied(applied.added, now);
  events_.push_back({owner_event_kind::kTakeover, header_.epoch, {}, {}});
  loaded_.Clear();
  next_archive_ = 0;
  phase_ = phase::kReadArchive;
  if (header_.archived.empty()) FinishLoading(now);
}

void shard_owner::OnBatchApplied(const std::vector<log_record>& added, steady_time now) {
  for (const log_record& record : added) {
    claim* existing = index_.Find(record.key);
    const bool is_current = record.kind == record_kind::kClaim && existing != nullptr &&
                            existing->attempt == record.attempt;
    if (!is_current) continue;
    if (existing->state == claim_state::kAbandoned) {
      index_.Erase(record.key);
      Enqueue({record_kind::kRelease, record.key, record.attempt, LogTime(now), 0, 0, 0, {}}, now);
    } else if (existing->state == claim_state::kPending) {
      existing->state = claim_state::kGranted;
      existing->epoch = record.epoch;
      events_.push_back({owner_event_kind::kGranted, record.epoch, record.key, {}});
    }
  }
}

void shard_owner::OnArchiveRead(store_call_result result, steady_time now) {
  if (const auto* error = std::get_if<store_error>(&result)) {
    // A missing segment was deleted after its retention, so all of its claims have expired.
    if (error->code != store_errc::kNotFound) return OnPlatformFailure(now);
  } else {
    const auto decoded = DecodeSegment(std::get<stored_object>(result).value);
    if (!decoded) {
      StepDown("claim log can't be decoded");
      refusal_reason_ = "claim log can't be decoded";
      retry_at_ = now + kUnreadableRetry;
      return;
    }
    for (const log_record& record : decoded->records) loaded_.Apply(record);
  }
  if (++next_archive_ == header_.archived.size()) FinishLoading(now);
}

void shard_owner::FinishLoading(steady_time now) {
  for (const log_record& record : open_records_) loaded_.Apply(record);
  open_records_.clear();
  index_ = std::move(loaded_);
  loaded_.Clear();
  phase_ = phase::kReady;
  // Claims that were requested while the log was being loaded are queued again with the log's time,
  // except those whose key has a claim in the log: they are decided when the request is repeated.
  std::deque<log_record> waiting = std::exchange(queue_, {});
  queued_claims_ = 0;
  for (log_record& record : waiting) {
    const milliseconds lifetime(record.expires_ms - record.log_ms);
    record.log_ms = LogTime(now);
    record.expires_ms = record.log_ms + static_cast<std::uint64_t>(lifetime.count());
    if (index_.Contains(record.key)) continue;
    index_.Insert(record.key, {record.fingerprint, record.attempt, 0, record.log_ms,
                               record.expires_ms, claim_state::kPending, std::nullopt});
    Enqueue(std::move(record), now);
  }
}

}  // namespace siskinrack::idempotency
