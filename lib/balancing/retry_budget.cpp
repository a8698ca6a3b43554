#include "siskinrack/balancing/retry_budget.h"

namespace siskinrack::balancing {
namespace {

constexpr std::int64_t kTenthsPerRetry = 10;
/// The credit of 200 requests; bounds the burst of retries after a period with few of them.
constexpr std::int64_t kMaxTenths = 20 * kTenthsPerRetry;

}  // namespace

void retry_budget::AddRequest() {
  if (tenths_.load(std::memory_order_relaxed) >= kMaxTenths) return;
  tenths_.fetch_add(1, std::memory_order_relaxed);
}

bool retry_budget::TakeRetry() {
  std::int64_t available = tenths_.load(std::memory_order_relaxed);
  while (available >= kTenthsPerRetry) {
    if (tenths_.compare_exchange_weak(available, available - kTenthsPerRetry)) return true;
  }
  return false;
}

bool IsRetryAllowed(const attempt_result& result) {
  if (result.attempt > 0 || result.upstream_disconnected) return false;
  return result.refused_not_run || (result.outcome_unknown && result.repeatable);
}

}  // namespace siskinrack::balancing
