#include "siskinrack/admission/rate_limiter.h"

#include <algorithm>
#include <cmath>

namespace siskinrack::admission {
namespace {

/// Calls may start earlier by this time than an even distribution allows, so that short pauses
/// between arrivals are not lost. Short against a second, the unit in which upstreams name limits.
constexpr nanoseconds kBurstTime = std::chrono::milliseconds(250);
/// Lower bound of the rate. Only an answer of the upstream can end a limit, so an upstream that
/// takes no requests at all still gets one now and then.
constexpr double kMinRate = 0.25;

}  // namespace

nanoseconds rate_limiter::Interval() const {
  constexpr double kNanosecondsPerSecond = 1e9;
  return nanoseconds(std::llround(kNanosecondsPerSecond / std::max(kMinRate, *rate_)));
}

void rate_limiter::SetRate(std::optional<double> per_second, time_point now) {
  if (per_second == rate_) return;
  const bool is_new = !rate_;
  rate_ = per_second;
  if (!rate_) return;
  const time_point full = now + kBurstTime + Interval();
  accounted_until_ = is_new ? full : std::min(accounted_until_, full);
}

time_point rate_limiter::NextStart(time_point now) const {
  return rate_ ? std::max(now, accounted_until_ - kBurstTime) : now;
}

void rate_limiter::Start(time_point now) {
  if (rate_) accounted_until_ = std::max(accounted_until_, now) + Interval();
}

}  // namespace siskinrack::admission
