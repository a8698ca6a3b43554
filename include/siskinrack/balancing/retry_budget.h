#ifndef SISKINRACK_BALANCING_RETRY_BUDGET_H_
#define SISKINRACK_BALANCING_RETRY_BUDGET_H_

#include <atomic>
#include <cstdint>

namespace siskinrack::balancing {

/// Limits the retries of a service to 10% of its requests. Unused retries accumulate up to 20.
/// Thread-safe.
class retry_budget {
 public:
  /// Counts a request that is not a retry.
  void AddRequest();
  /// Consumes one retry of the budget; returns false if none is left.
  bool TakeRetry();

 private:
  /// Credit in tenths of a retry. The initial credit allows one retry for a rarely called service.
  std::atomic<std::int64_t> tenths_ = 10;
};

/// Properties of a failed attempt that determine whether it may be retried, apart from the budget.
struct attempt_result {
  /// Number of retries before this attempt, by this node or an earlier hop.
  unsigned attempt = 0;
  /// The request may safely run more than once.
  bool repeatable = false;
  /// The request was refused without running.
  bool refused_not_run = false;
  /// The request may or may not have run.
  bool outcome_unknown = false;
  /// The connection broke while the upstream processed the request. The request may have crashed
  /// the upstream, and a retry could crash the next one.
  bool upstream_disconnected = false;
};

/// Returns true if the request may be retried: no hop has retried it before, its upstream did not
/// disconnect, and either it has certainly not run, or its outcome is unknown and it may safely run
/// twice.
bool IsRetryAllowed(const attempt_result& result);

}  // namespace siskinrack::balancing

#endif  // SISKINRACK_BALANCING_RETRY_BUDGET_H_
