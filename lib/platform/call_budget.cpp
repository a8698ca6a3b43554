#include "siskinrack/platform/call_budget.h"

#include <algorithm>

namespace siskinrack::platform {
namespace {

using std::chrono::duration;
using std::chrono::milliseconds;

constexpr milliseconds kBackoffBase{100};
constexpr unsigned kMaxDoublings = 6;
/// Jitter on top of Retry-After, as a share of it, so that waiting clients don't return together.
constexpr double kRetryAfterJitter = 0.5;

milliseconds Scale(milliseconds value, double factor) {
  return milliseconds(static_cast<std::int64_t>(static_cast<double>(value.count()) * factor));
}

milliseconds RoundUp(call_budget::time_point::duration value) {
  return std::chrono::ceil<milliseconds>(value);
}

}  // namespace

milliseconds call_budget::Acquire(call_class kind, time_point now) {
  class_state& own = state(kind);
  if (now < own.blocked_until) return RoundUp(own.blocked_until - now);
  if (own.tokens < 0) {
    own.tokens = burst_;
    own.refilled = now;
  }
  own.tokens =
      std::min(burst_, own.tokens + duration<double>(now - own.refilled).count() * per_second_);
  own.refilled = now;
  if (own.tokens >= 1) {
    own.tokens -= 1;
    return milliseconds(0);
  }
  const duration<double> missing((1 - own.tokens) / per_second_);
  return std::max(milliseconds(1),
                  RoundUp(std::chrono::duration_cast<time_point::duration>(missing)));
}

void call_budget::OnSuccess(call_class kind) { state(kind).failures = 0; }

void call_budget::OnFailure(call_class kind, time_point now, double random) {
  class_state& own = state(kind);
  const milliseconds bound =
      std::min(backoff_max_, kBackoffBase * (1U << std::min(own.failures, kMaxDoublings)));
  ++own.failures;
  own.blocked_until = std::max(own.blocked_until, now + Scale(bound, random));
}

void call_budget::OnRetryAfter(call_class kind, time_point now, milliseconds retry_after,
                               double random) {
  const milliseconds jitter = Scale(retry_after, kRetryAfterJitter * random);
  class_state& own = state(kind);
  own.blocked_until = std::max(own.blocked_until, now + retry_after + jitter);
}

}  // namespace siskinrack::platform
