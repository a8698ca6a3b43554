// The platform calls of a shard owner: which one is next, and what its result means.

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

constexpr milliseconds kPlatformRetry{50};
/// A call budget's backoff after one lost answer is shorter than this; asks wait for it. A longer
/// one means that the platform is down.
constexpr milliseconds kMaxBudgetWait{150};
/// An unreadable log needs an operator; it isn't read at the rate of the asks.
constexpr milliseconds kUnreadableRetry{1'000};
/// With the largest batch, header and segment this stays far below the platform's 1 MB per value.
constexpr std::size_t kMaxBatchBytes = 256U << 10U;
/// A segment that grows faster than it can be archived takes no more batches from here on.
constexpr std::size_t kMaxOpenBytes = 512U << 10U;

}  // namespace

std::optional<store_call> shard_owner::NextCall(steady_time now) {
  if (in_call_ || now < retry_at_) return std::nullopt;
  std::optional<store_call> call;
  if (phase_ == phase::kClosed && (!queue_.empty() || open_wanted_)) phase_ = phase::kReadOpen;
  open_wanted_ = false;
  if (settling_) {
    call = store_call{store_call_kind::kGet, write_->call.name, {}, 0};
  } else if (phase_ == phase::kReady && check_wanted_ && !write_) {
    check_wanted_ = false;
    checking_ = true;
    checked_at_ = now;
    call = store_call{store_call_kind::kGet, OpenSegmentName(shard_), {}, 0};
  } else if (phase_ == phase::kReadOpen) {
    call = store_call{store_call_kind::kGet, OpenSegmentName(shard_), {}, 0};
  } else if (phase_ == phase::kReadArchive) {
    const archived_segment& item = header_.archived.at(next_archive_);
    call = store_call{
        store_call_kind::kGet, ArchivedSegmentName(shard_, item.number, item.epoch), {}, 0};
  } else if (phase_ != phase::kClosed) {
    call = WriteCall(now);
  }
  in_call_ = call.has_value();
  return call;
}

std::optional<store_call> shard_owner::WriteCall(steady_time now) {
  if (!write_ && phase_ == phase::kTakeover) write_ = MakeTakeover(now);
  if (!write_) write_ = ChooseWrite(now);
  if (!write_) {
    if (!CanDelete(LogNow(now)) || now < next_other_at_) return std::nullopt;
    return DeleteCall(now);
  }
  const bool batch = write_->kind == write_kind::kBatch;
  steady_time& turn = batch ? next_batch_at_ : next_other_at_;
  if (now < turn) return std::nullopt;
  turn = now + (batch ? kBatchSpacing : kOtherWriteSpacing);
  return write_->call;
}

std::optional<shard_owner::write> shard_owner::ChooseWrite(steady_time now) {
  if (records_.size() >= kMaxSegmentBytes && now >= next_other_at_) return MakeArchive();
  if (!BatchDue(now) || records_.size() >= kMaxOpenBytes) return std::nullopt;
  return MakeBatch(now);
}

store_call shard_owner::DeleteCall(steady_time now) {
  next_other_at_ = now + kOtherWriteSpacing;
  deleting_ = true;
  const archived_segment& oldest = header_.archived.front();
  const std::string name = ArchivedSegmentName(shard_, oldest.number, oldest.epoch);
  return {store_call_kind::kDelete, name, {}, oldest.version};
}

bool shard_owner::BatchDue(steady_time now) const { return !queue_.empty() && now >= NextCallAt(); }

bool shard_owner::CanDelete(std::uint64_t log_ms) const {
  return !header_.archived.empty() &&
         header_.archived.front().newest_ms + static_cast<std::uint64_t>(kRetention.count()) <=
             log_ms;
}

shard_owner::write shard_owner::MakeTakeover(steady_time now) {
  write item{write_kind::kTakeover, {}, header_, records_, newest_ms_, {}};
  ++item.header.epoch;
  // Tells this takeover from that of another process to the same epoch.
  item.header.writer = StableHash(std::to_string(seed_) + '/' + std::to_string(++takeovers_));
  item.header.write_number = 1;
  item.header.log_ms = LogNow(now);
  item.call = {store_call_kind::kPut, OpenSegmentName(shard_), Encode(item.header) + item.records,
               version_};
  return item;
}

shard_owner::write shard_owner::MakeBatch(steady_time now) {
  write item{write_kind::kBatch, {}, header_, records_, newest_ms_, {}};
  ++item.header.write_number;
  item.header.log_ms = LogNow(now);
  std::size_t bytes = 0;
  while (!queue_.empty() && bytes < kMaxBatchBytes) {
    log_record& record = queue_.front();
    if (record.kind == record_kind::kClaim) {
      --queued_claims_;
      record.epoch = header_.epoch;
    }
    const std::string encoded = Encode(record);
    bytes += encoded.size();
    item.records += encoded;
    item.newest_ms = std::max(item.newest_ms, record.log_ms);
    item.added.push_back(std::move(record));
    queue_.pop_front();
  }
  oldest_queued_at_ = now;
  item.call = {store_call_kind::kPut, OpenSegmentName(shard_), Encode(item.header) + item.records,
               version_};
  return item;
}

shard_owner::write shard_owner::MakeArchive() const {
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
  assert(in_call_ && "a result without a call");
  in_call_ = false;
  const auto* error = std::get_if<store_error>(&result);
  if (error != nullptr && error->code == store_errc::kUnavailable &&
      error->retry_after > milliseconds(0) && error->retry_after <= kMaxBudgetWait) {
    return OnBudgetWait(error->retry_after, now);
  }
  const bool answered = error == nullptr || error->code == store_errc::kConflict ||
                        error->code == store_errc::kNotFound;
  if (answered) down_ = false;
  if (std::exchange(deleting_, false)) {
    // An object that is gone or replaced was deleted by a call whose answer was lost.
    if (answered && CanDelete(LogNow(now))) header_.archived.erase(header_.archived.begin());
    if (!answered) OnPlatformFailure(now);
  } else if (std::exchange(checking_, false)) {
    OnChecked(result, now);
  } else if (settling_) {
    OnSettled(std::move(result), now);
  } else if (write_) {
    OnWritten(result, now);
  } else if (phase_ == phase::kReadOpen) {
    OnOpenRead(std::move(result), now);
  } else if (phase_ == phase::kReadArchive) {
    OnArchiveRead(std::move(result), now);
  }
}

void shard_owner::OnBudgetWait(milliseconds wait, steady_time now) {
  // The call was not made, so nothing is in doubt and a write took no turn.
  deleting_ = false;
  checking_ = false;
  retry_at_ = now + wait;
  next_batch_at_ = std::min(next_batch_at_, retry_at_);
  next_other_at_ = std::min(next_other_at_, retry_at_);
}

void shard_owner::OnPlatformFailure(steady_time now) {
  down_ = true;
  retry_at_ = now + kPlatformRetry;
  RefuseWaiting("platform is unavailable");
  if (phase_ != phase::kReady && !write_) phase_ = phase::kClosed;
  if (phase_ != phase::kClosed) return;
  down_ = false;
  closed_reason_ = "platform is unavailable";
}

void shard_owner::OnChecked(const store_call_result& result, steady_time now) {
  const auto* object = std::get_if<stored_object>(&result);
  if (object != nullptr && object->version != version_) Fenced(now);
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
      StepDown("claim log is unreadable");
      closed_reason_ = "claim log is unreadable";
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
  // No time is taken to have passed while the shard had no owner: retention may get longer by
  // that, never shorter.
  log_base_ms_ = std::max(header_.log_ms, newest_ms_);
  log_base_at_ = now;
  phase_ = phase::kTakeover;
}

void shard_owner::OnWritten(const store_call_result& result, steady_time now) {
  const auto* error = std::get_if<store_error>(&result);
  if (error == nullptr) return OnLanded(std::get<stored_object>(result).version, now);
  settling_ = true;
  // A lost answer is usually settled by the next read; other failures say that the platform is
  // down.
  if (error->code != store_errc::kConflict && error->code != store_errc::kOutcomeUnknown) {
    OnPlatformFailure(now);
  }
}

void shard_owner::OnSettled(store_call_result result, steady_time now) {
  const auto* error = std::get_if<store_error>(&result);
  if (error != nullptr && error->code != store_errc::kNotFound) return OnPlatformFailure(now);
  settling_ = false;
  std::uint64_t version = platform::kMustNotExist;
  if (error == nullptr) {
    const auto& object = std::get<stored_object>(result);
    if (object.value == write_->call.value) return OnLanded(object.version, now);
    version = object.version;
  }
  // Not written yet: the same value is written again, so that a first copy that is still on its way
  // does no harm.
  if (version == write_->call.expected_version) return;
  Fenced(now);
}

void shard_owner::OnLanded(std::uint64_t version, steady_time now) {
  write landed = std::move(*write_);
  write_.reset();
  settling_ = false;
  if (landed.kind == write_kind::kArchive) {
    header_.archived.push_back({header_.number, header_.epoch, version, newest_ms_});
    ++header_.number;
    records_.clear();
    newest_ms_ = 0;
    return;
  }
  version_ = version;
  header_ = std::move(landed.header);
  records_ = std::move(landed.records);
  newest_ms_ = landed.newest_ms;
  if (landed.kind == write_kind::kBatch) return OnBatchLanded(landed.added, now);
  events_.push_back({owner_event_kind::kTakeover, header_.epoch, {}, {}});
  loaded_.Clear();
  next_archive_ = 0;
  phase_ = phase::kReadArchive;
  if (header_.archived.empty()) FinishLoading(now);
}

void shard_owner::OnBatchLanded(const std::vector<log_record>& added, steady_time now) {
  for (const log_record& record : added) {
    claim* item = index_.Find(record.key);
    const bool own =
        record.kind == record_kind::kClaim && item != nullptr && item->attempt == record.attempt;
    if (!own) continue;
    if (item->state == claim_state::kAbandoned) {
      index_.Erase(record.key);
      Queue({record_kind::kRelease, record.key, record.attempt, LogNow(now), 0, 0, 0, {}}, now);
    } else if (item->state == claim_state::kPending) {
      item->state = claim_state::kGranted;
      item->epoch = record.epoch;
      events_.push_back({owner_event_kind::kGranted, record.epoch, record.key, {}});
    }
  }
}

void shard_owner::OnArchiveRead(store_call_result result, steady_time now) {
  if (const auto* error = std::get_if<store_error>(&result)) {
    // An archived segment is deleted only after its retention.
    if (error->code != store_errc::kNotFound) return OnPlatformFailure(now);
  } else {
    const auto decoded = DecodeSegment(std::get<stored_object>(result).value);
    if (!decoded) {
      StepDown("claim log is unreadable");
      closed_reason_ = "claim log is unreadable";
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
  // The asks that came in while the log was unknown are decided now.
  std::deque<log_record> waiting = std::exchange(queue_, {});
  queued_claims_ = 0;
  for (log_record& record : waiting) {
    const milliseconds lifetime(record.expires_ms - record.log_ms);
    record.log_ms = LogNow(now);
    record.expires_ms = record.log_ms + static_cast<std::uint64_t>(lifetime.count());
    if (index_.Contains(record.key)) continue;
    index_.Insert(record.key, {record.fingerprint, record.attempt, 0, record.log_ms,
                               record.expires_ms, claim_state::kPending, std::nullopt});
    Queue(std::move(record), now);
  }
}

}  // namespace siskinrack::idempotency
