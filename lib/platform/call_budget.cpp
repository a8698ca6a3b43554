#include "siskinrack/platform/call_budget.h"

#include <algorithm>

namespace siskinrack::platform {
namespace {

using std::chrono::duration;
using std::chrono::milliseconds;

constexpr milliseconds kBackoffBase{100};
constexpr unsigned kMaxDoublings = 6;
/// Maximum jitter on top of Retry-After, as a share of it, so that waiting clients don't retry at
/// the same time.
constexpr double kRetryAfterJitter = 0.5;

milliseconds Scale(milliseconds value, double factor) {
  return milliseconds(static_cast<std::int64_t>(static_cast<double>(value.count()) * factor));
}

milliseconds CeilToMilliseconds(call_budget::time_point::duration value) {
  return std::chrono::ceil<milliseconds>(value);
}

}  // namespace

milliseconds call_budget::Acquire(call_class kind, time_point now) {
  class_state& current = state(kind);
  if (now < current.blocked_until) return CeilToMilliseconds(current.blocked_until - now);
  if (current.tokens < 0) {
    current.tokens = burst_;
    current.refilled = now;
  }
  current.tokens = std::min(
      burst_, current.tokens + duration<double>(now - current.refilled).count() * per_second_);
  current.refilled = now;
  if (current.tokens >= 1) {
    current.tokens -= 1;
    return milliseconds(0);
  }
  const duration<double> until_next_token((1 - current.tokens) / per_second_);
  return std::max(
      milliseconds(1),
      CeilToMilliseconds(std::chrono::duration_cast<time_point::duration>(until_next_token)));
}

void call_budget::OnSuccess(call_class kind) { state(kind).failures = 0; }

void call_budget::OnFailure(call_class kind, time_point now, double random) {
  class_state& current = state(kind);
  const milliseconds max_delay =
      std::min(backoff_max_, kBackoffBase * (1U << std::min(current.failures, kMaxDoublings)));
  ++current.failures;
  current.blocked_until = std::max(current.blocked_until, now + Scale(max_delay, random));
}

void call_budget::OnRetryAfter(call_class kind, time_point now, milliseconds retry_after,
                               double random) {
  const milliseconds jitter = Scale(retry_after, kRetryAfterJitter * random);
  class_state& current = state(kind);
  current.blocked_until = std::max(current.blocked_until, now + retry_after + jitter);
}

}  // namespace siskinrack::platform
