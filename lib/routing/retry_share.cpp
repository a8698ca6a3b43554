#include "siskinrack/routing/retry_share.h"

#include <algorithm>

namespace siskinrack::routing {
namespace {

/// Fraction of the bound that is used. The rest covers requests counted in one window whose retry
/// falls into the next, and nested calls: an upstream that serves a retry repeats its own calls to
/// other services.
constexpr double kUsedFraction = 0.5;
/// Time for which a larger number of nodes is kept: longer than upstreams that have crashed need to
/// come back.
constexpr std::chrono::seconds kNodesRetention{60};

}  // namespace

std::int64_t retry_share::PeriodAt(time_point now) const {
  const auto length = std::chrono::duration_cast<std::chrono::nanoseconds>(bound_.window) /
                      static_cast<std::int64_t>(kBuckets);
  return now.time_since_epoch() / length;
}

retry_share::bucket& retry_share::CurrentBucket(time_point now) {
  const std::int64_t period = PeriodAt(now);
  bucket& current = buckets_[static_cast<std::size_t>(period) % buckets_.size()];
  if (current.period != period) current = {period, 0, 0};
  return current;
}

void retry_share::AddRequest(std::size_t nodes, time_point now) {
  if (nodes >= nodes_ || now - nodes_known_at_ >= kNodesRetention) {
    nodes_ = std::max<std::size_t>(1, nodes);
    nodes_known_at_ = now;
  }
  CurrentBucket(now).requests += 1;
}

bool retry_share::TakeRetry(time_point now) {
  const std::int64_t oldest = PeriodAt(now) - static_cast<std::int64_t>(kBuckets);
  double requests = 0;
  double retries = 0;
  for (const bucket& counts : buckets_) {
    if (counts.period < oldest) continue;
    requests += counts.requests;
    retries += counts.retries;
  }
  const double share = bound_.extra / static_cast<double>(nodes_);
  if (retries + 1 > kUsedFraction * (bound_.ratio * requests + share)) return false;
  CurrentBucket(now).retries += 1;
  return true;
}

}  // namespace siskinrack::routing
