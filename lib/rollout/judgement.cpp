#include "siskinrack/rollout/judgement.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

namespace siskinrack::rollout {
namespace {

/// Evidence at which a version is bad: a likelihood ratio of e^12 = 160,000. An order of some ten
/// thousand answers restarts its tests some thousand times, so a false alarm is rare.
constexpr double kAlarm = 12;
/// Number of upstreams that have to contribute to an alarm if the version has as many: one upstream
/// that is slow, failing or crashing by itself says nothing about its version.
constexpr std::size_t kMinUpstreams = 3;
/// Keeps rounding errors from stopping the sum of the largest contributions short of an alarm.
constexpr double kRounding = 0.01;
/// Evidence at which a version is good enough on a route: a likelihood ratio of 1,000.
constexpr double kAcceptance = 6.9;
/// Evidence in favour beyond this is dropped, so that only recent answers count: a version may turn
/// bad at any time.
constexpr double kAcceptanceMemory = 2 * kAcceptance;
/// Evidence against the version at which it is not accepted: more than one upstream can contribute.
constexpr double kDoubt = kAlarm / 2;

/// Failure rate that a good version may have beside twice that of the others: single failures occur
/// in any version.
constexpr double kGoodFailureRate = 0.02;
/// Least difference to the rate of a bad version.
constexpr double kFailureRateStep = 0.1;
/// Rate of slow answers that a good version may have beside three times that of the others.
constexpr double kGoodSlowRate = 0.08;
constexpr double kSlowRateStep = 0.25;
constexpr double kMaxGoodRate = 0.5;
constexpr double kMaxBadRate = 0.9;
/// An answer is slow if it takes longer than twice the time that at most this fraction of the
/// other versions' answers exceeds. Upstreams of one version differ in speed by up to a factor of 2
/// from their mean.
constexpr double kUsualFraction = 0.95;
/// Number of buckets that correspond to a factor of 2.
constexpr std::size_t kBucketsPerDouble = 2;

/// Time constant with which answers of the other versions lose their weight; a few reports long.
constexpr double kMemoryMs = 3'000;
/// Answers of the other versions below which they don't lose weight: after the cut-over hardly any
/// new ones arrive.
constexpr double kMinOtherAnswers = 200;
/// Answers assumed without a failure, for a route with few answers.
constexpr double kPriorAnswers = 25;

/// Length of the intervals in which answers of the versions are compared: that of the reports.
constexpr std::chrono::milliseconds kInterval{500};
/// Number of intervals that are kept.
constexpr std::int64_t kIntervals = 6;

std::int64_t ToInterval(time_point now) { return now.time_since_epoch() / kInterval; }

}  // namespace

std::size_t ToServiceBucket(std::chrono::milliseconds took) {
  if (took.count() <= 1) return 0;
  const double bucket = std::log2(static_cast<double>(took.count())) * kBucketsPerDouble;
  return std::min(kServiceBuckets - 1, static_cast<std::size_t>(bucket));
}

route_counts Subtract(const route_counts& now, const route_counts& before) {
  bool restarted = now.answered < before.answered || now.failed < before.failed;
  for (std::size_t i = 0; i < kServiceBuckets; ++i) {
    restarted = restarted || now.service.at(i) < before.service.at(i);
  }
  if (restarted) return now;
  route_counts added{now.answered - before.answered, now.failed - before.failed, {}};
  for (std::size_t i = 0; i < kServiceBuckets; ++i) {
    added.service.at(i) = now.service.at(i) - before.service.at(i);
  }
  return added;
}

std::string_view ToText(measure measured) {
  return measured == measure::kFailures ? "failures" : "slow_answers";
}

void judgement::AddOther(std::uint64_t route, const route_counts& added, time_point now) {
  other_answers& recent = others_[route];
  const auto since = std::chrono::duration<double, std::milli>(now - recent.updated_at);
  double weight = std::exp(-std::max(0.0, since.count()) / kMemoryMs);
  if (recent.answered * weight < kMinOtherAnswers) {
    weight = recent.answered > kMinOtherAnswers ? kMinOtherAnswers / recent.answered : 1;
  }
  recent.updated_at = now;
  recent.total += added.answered;
  const std::int64_t interval = ToInterval(now);
  route_counts& current = recent.intervals[interval];
  current.answered += added.answered;
  current.failed += added.failed;
  for (std::size_t i = 0; i < kServiceBuckets; ++i) current.service.at(i) += added.service.at(i);
  recent.intervals.erase(recent.intervals.begin(),
                         recent.intervals.lower_bound(interval - kIntervals));
  recent.answered = recent.answered * weight + added.answered;
  recent.failed = recent.failed * weight + added.failed;
  for (std::size_t i = 0; i < kServiceBuckets; ++i) {
    recent.service.at(i) = recent.service.at(i) * weight + added.service.at(i);
  }
}

void judgement::AddTrial(const std::string& upstream, std::uint64_t route,
                         const route_counts& added, time_point now) {
  if (added.answered == 0) return;
  trial_upstreams_[upstream] += added.answered;
  pending_.push_back({ToInterval(now), upstream, route, added});
}

void judgement::Advance(time_point now, bool others_serve) {
  // The interval after that of the answers has to be complete.
  while (!pending_.empty() && (!others_serve || pending_.front().interval + 1 < ToInterval(now))) {
    Evaluate(pending_.front());
    pending_.pop_front();
  }
}

judgement::reference judgement::MakeReference(double answered, double failed,
                                              const std::array<double, kServiceBuckets>& service) {
  reference result{failed / (answered + kPriorAnswers), kServiceBuckets, 0};
  const double timed = std::accumulate(service.begin(), service.end(), 0.0);
  if (timed < kPriorAnswers) return result;
  std::size_t usual = 0;
  double below = service.front();
  while (usual + 1 < kServiceBuckets && below < kUsualFraction * timed) {
    below += service.at(++usual);
  }
  result.first_slow = std::min(kServiceBuckets - 1, usual + 1 + kBucketsPerDouble);
  result.slow_rate =
      std::accumulate(service.begin() + static_cast<std::ptrdiff_t>(result.first_slow),
                      service.end(), 0.0) /
      timed;
  return result;
}

judgement::reference judgement::FindReference(const other_answers& others, std::int64_t interval) {
  reference result = MakeReference(others.answered, others.failed, others.service);
  double answered = 0;
  double failed = 0;
  std::array<double, kServiceBuckets> service{};
  for (std::int64_t near = interval - 1; near <= interval + 1; ++near) {
    const auto found = others.intervals.find(near);
    if (found == others.intervals.end()) continue;
    answered += found->second.answered;
    failed += found->second.failed;
    for (std::size_t i = 0; i < kServiceBuckets; ++i) service.at(i) += found->second.service.at(i);
  }
  const reference same_time = MakeReference(answered, failed, service);
  result.failure_rate = std::max(result.failure_rate, same_time.failure_rate);
  if (same_time.first_slow == kServiceBuckets) return result;
  if (result.first_slow == kServiceBuckets || same_time.first_slow > result.first_slow) {
    result.first_slow = same_time.first_slow;
    result.slow_rate = same_time.slow_rate;
  } else if (same_time.first_slow == result.first_slow) {
    result.slow_rate = std::max(result.slow_rate, same_time.slow_rate);
  }
  return result;
}

void judgement::Evaluate(const pending_answers& pending) {
  const reference others = FindReference(others_[pending.route], pending.interval);
  const route_counts& added = pending.added;
  const double good_failures = std::min(kMaxGoodRate, kGoodFailureRate + 2 * others.failure_rate);
  Add({pending.route, measure::kFailures}, pending.upstream, added.answered, added.failed,
      others.failure_rate, good_failures,
      std::min(kMaxBadRate, good_failures + std::max(kFailureRateStep, good_failures)));

  // Without enough timed answers of the others there is nothing to compare with.
  if (others.first_slow == kServiceBuckets) return;
  const auto first_slow = added.service.begin() + static_cast<std::ptrdiff_t>(others.first_slow);
  const auto timed = std::accumulate(added.service.begin(), added.service.end(), 0U);
  const auto slow = std::accumulate(first_slow, added.service.end(), 0U);
  if (timed == 0) return;
  const double good_slow = std::min(kMaxGoodRate, kGoodSlowRate + 3 * others.slow_rate);
  Add({pending.route, measure::kSlowAnswers}, pending.upstream, timed, slow, others.slow_rate,
      good_slow, std::min(kMaxBadRate, good_slow + kSlowRateStep));
}

void judgement::Add(const test_key& key, const std::string& upstream, std::uint32_t answers,
                    std::uint32_t bad, double other_rate, double good_rate, double bad_rate) {
  test& entry = tests_[key];
  const double ratio = bad * std::log(bad_rate / good_rate) +
                       (answers - bad) * std::log((1 - bad_rate) / (1 - good_rate));
  double& contributed = entry.contributed[upstream];
  const double room = Limit() - contributed;
  if (ratio < room) {
    entry.against += ratio;
    contributed = std::max(0.0, contributed + ratio);
    entry.in_favour = std::clamp(entry.in_favour - ratio, 0.0, kAcceptanceMemory);
  } else {
    // An upstream that has contributed all it can doesn't speak for the others.
    entry.against += room;
    contributed += room;
  }
  if (entry.against <= 0) {
    entry.against = 0;
    entry.contributed.clear();
  }
  entry.answers += answers;
  entry.bad += bad;
  entry.other_rate = other_rate;
}

double judgement::Limit() const {
  const std::size_t upstreams = std::max(trial_upstreams_.size(), known_upstreams_);
  const std::size_t needed = std::clamp<std::size_t>(upstreams, 1, kMinUpstreams);
  return kAlarm / static_cast<double>(needed) + kRounding;
}

std::optional<evidence> judgement::FindFault() const {
  for (const auto& [key, entry] : tests_) {
    if (entry.against < kAlarm) continue;
    const auto contributing =
        std::count_if(entry.contributed.begin(), entry.contributed.end(),
                      [](const auto& upstream) { return upstream.second > 0; });
    return evidence{key.first,
                    key.second,
                    entry.answers,
                    entry.bad,
                    entry.other_rate,
                    entry.against,
                    static_cast<std::size_t>(contributing)};
  }
  return std::nullopt;
}

bool judgement::IsAccepted(double share) const {
  bool any_accepted = false;
  for (const auto& [route, others] : others_) {
    const auto failures = tests_.find({route, measure::kFailures});
    const bool tested = failures != tests_.end();
    if (tested && failures->second.in_favour >= kAcceptance) any_accepted = true;
    // Answers that acceptance takes if none fails and the others have no failures either.
    const double needed =
        kAcceptance / std::log((1 - kGoodFailureRate) / (1 - kGoodFailureRate - kFailureRateStep));
    // A route with fewer requests can't be tested within the order.
    const bool testable = static_cast<double>(others.total) * share / (1 - share) >= 2 * needed;
    for (const measure measured : {measure::kFailures, measure::kSlowAnswers}) {
      const auto found = tests_.find({route, measured});
      if (found == tests_.end()) {
        if (testable) return false;
        continue;
      }
      if (found->second.against >= kDoubt) return false;
      if (testable && found->second.in_favour < kAcceptance) return false;
    }
  }
  return any_accepted;
}

}  // namespace siskinrack::rollout
