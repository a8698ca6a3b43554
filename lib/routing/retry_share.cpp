#include "siskinrack/routing/retry_share.h"

#include <algorithm>

namespace siskinrack::routing {
namespace {

/// Part of the bound that is used. The rest covers requests counted in one window whose retry falls
/// into the next, and calls that an upstream repeats because its own request was a retry.
constexpr double kUsedPart = 0.5;

}  // namespace

std::int64_t retry_share::Period(time_point now) const {
  const auto length = std::chrono::duration_cast<std::chrono::nanoseconds>(bound_.window) /
                      static_cast<std::int64_t>(kBuckets);
  return now.time_since_epoch() / length;
}

retry_share::bucket& retry_share::Current(time_point now) {
  const std::int64_t period = Period(now);
  bucket& own = buckets_[static_cast<std::size_t>(period) % buckets_.size()];
  if (own.period != period) own = {period, 0, 0};
  return own;
}

void retry_share::AddRequest(time_point now) { Current(now).requests += 1; }

bool retry_share::TakeRetry(std::size_t nodes, time_point now) {
  const std::int64_t oldest = Period(now) - static_cast<std::int64_t>(kBuckets);
  double requests = 0;
  double retries = 0;
  for (const bucket& item : buckets_) {
    if (item.period < oldest) continue;
    requests += item.requests;
    retries += item.retries;
  }
  const double share = bound_.extra / static_cast<double>(std::max<std::size_t>(1, nodes));
  if (retries + 1 > kUsedPart * (bound_.ratio * requests + share)) return false;
  Current(now).retries += 1;
  return true;
}

}  // namespace siskinrack::routing
