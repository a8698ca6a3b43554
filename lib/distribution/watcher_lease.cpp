#include "siskinrack/distribution/watcher_lease.h"

#include <algorithm>
#include <boost/json.hpp>

namespace siskinrack::distribution {
namespace {

namespace json = boost::json;

constexpr milliseconds kDelayPerRank{200};
constexpr milliseconds kMaxJitter{100};
constexpr milliseconds kRetryBase{1'000};
/// Number of ranks whose delays increase in steps of kDelayPerRank; from there on the delay doubles
/// with each rank.
constexpr std::size_t kLinearRanks = 8;
constexpr std::size_t kMaxDoublings = 10;
/// Approximate time in which a report reaches all nodes of a domain of 55 nodes, at one exchange a
/// second.
constexpr milliseconds kPropagationDelay{4'000};

}  // namespace

std::string ToJson(const lease_record& record) {
  return json::serialize(json::object{{"holder", record.holder},
                                      {"epoch", record.epoch},
                                      {"token", record.token},
                                      {"renewal", record.renewal}});
}

std::optional<lease_record> LeaseFromJson(std::string_view text) {
  try {
    const json::value value = json::parse({text.data(), text.size()});
    return lease_record{json::value_to<std::string>(value.at("holder")),
                        value.at("epoch").to_number<std::uint64_t>(),
                        json::value_to<std::string>(value.at("token")),
                        value.at("renewal").to_number<std::uint64_t>()};
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

milliseconds watcher_lease::AttemptDelay(std::size_t rank) {
  const std::size_t doublings = rank - std::min(rank, kLinearRanks);
  const milliseconds propagation_delay =
      rank < kInformedRanks ? milliseconds(0) : kPropagationDelay;
  return (propagation_delay + kDelayPerRank * std::min(rank, kLinearRanks)) *
         (1U << std::min(doublings, kMaxDoublings));
}

milliseconds watcher_lease::RetryDelay(std::size_t rank) {
  return kRetryBase * (1U << std::min(rank, kMaxDoublings));
}

watcher_lease::call watcher_lease::NextCall(time_point now, std::size_t rank, double random) {
  if (call_pending_ || now < retry_at_) return {};
  if (must_read_) return Issue({call_kind::kRead, 0, {}});
  return IsHolder(now) ? NextAsHolder(now) : NextAsCandidate(now, rank, random);
}

watcher_lease::call watcher_lease::NextAsHolder(time_point now) {
  return now < renew_at_ ? call{} : MakeWrite(now, attempted_.epoch);
}

watcher_lease::call watcher_lease::NextAsCandidate(time_point now, std::size_t rank,
                                                   double random) {
  if (now - last_renewal_ < kRenewalTimeout) {
    attempt_at_.reset();
    return {};
  }
  if (!attempt_at_) {
    read_in_attempt_ = false;
    const auto jitter = milliseconds(static_cast<std::int64_t>(random * kMaxJitter.count()));
    attempt_at_ = now + AttemptDelay(rank) + jitter;
  }
  if (now < *attempt_at_) return {};
  if (!read_in_attempt_) return Issue({call_kind::kRead, 0, {}});
  // A lease that doesn't exist or names this node isn't renewed by any other node.
  const bool available = *version_ == 0 || is_own_record_;
  const bool expired =
      now - last_renewal_ >= kDuration && now - version_observed_at_ >= kConfirmTime;
  return available || expired ? MakeWrite(now, observed_epoch_ + 1) : call{};
}

watcher_lease::call watcher_lease::MakeWrite(time_point now, std::uint64_t epoch) {
  attempted_ = {node_id_, epoch, token_, attempted_.renewal + 1};
  attempted_sent_ = now;
  return Issue({call_kind::kWrite, *version_, attempted_});
}

watcher_lease::call watcher_lease::Issue(call next) {
  call_pending_ = true;
  return next;
}

void watcher_lease::ObserveVersion(time_point now, std::uint64_t version) {
  if (version_ != version) version_observed_at_ = now;
  version_ = version;
}

void watcher_lease::RecordOwnWrite(time_point now, std::uint64_t version) {
  ObserveVersion(now, version);
  is_own_record_ = true;
  observed_epoch_ = attempted_.epoch;
  held_until_ = attempted_sent_ + kDuration;
  renew_at_ = attempted_sent_ + kRenewInterval;
  last_renewal_ = std::max(last_renewal_, attempted_sent_);
  last_holder_ = node_id_;
  attempt_at_.reset();
}

void watcher_lease::OnRead(time_point now, std::uint64_t version,
                           const std::optional<lease_record>& record) {
  call_pending_ = false;
  read_in_attempt_ = true;
  const bool resolves_write = must_read_;
  must_read_ = false;
  if (resolves_write && record && *record == attempted_) return RecordOwnWrite(now, version);
  ObserveVersion(now, version);
  is_own_record_ = record && record->holder == node_id_;
  observed_epoch_ = std::max(observed_epoch_, record ? record->epoch : 0);
  if (is_own_record_ || !record) return;
  held_until_ = std::min(held_until_, now);
  if (!resolves_write) return;
  // The object changed between this attempt's read and write, so its holder renews it.
  last_renewal_ = now;
  last_holder_ = record->holder;
  attempt_at_.reset();
}

void watcher_lease::OnWritten(time_point now, std::uint64_t version) {
  call_pending_ = false;
  RecordOwnWrite(now, version);
}

void watcher_lease::OnConflict(time_point /*now*/) {
  call_pending_ = false;
  must_read_ = true;
}

void watcher_lease::OnOutcomeUnknown(time_point /*now*/) {
  call_pending_ = false;
  must_read_ = true;
}

void watcher_lease::OnFailure(time_point now, std::size_t rank) {
  call_pending_ = false;
  retry_at_ = now + (IsHolder(now) ? kRetryBase / 2 : RetryDelay(rank));
}

void watcher_lease::OnPeerReport(time_point now, const holder_report& report) {
  if (report.holder.empty() || report.holder == node_id_) return;
  const time_point renewal = now - report.age;
  if (renewal <= last_renewal_) return;
  last_renewal_ = renewal;
  last_holder_ = report.holder;
}

watcher_lease::holder_report watcher_lease::MakeReport(time_point now) const {
  if (last_holder_.empty()) return {};
  return {last_holder_, std::chrono::duration_cast<milliseconds>(now - last_renewal_)};
}

}  // namespace siskinrack::distribution
