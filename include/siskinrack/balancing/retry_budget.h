#ifndef SISKINRACK_BALANCING_RETRY_BUDGET_H_
#define SISKINRACK_BALANCING_RETRY_BUDGET_H_

#include <atomic>
#include <cstdint>

namespace siskinrack::balancing {

/// Limits the retries of a service to 10% of its requests. Safe for use from several threads.
class retry_budget {
 public:
  /// Counts a request that isn't a retry.
  void AddRequest();
  /// Takes one retry out of the budget; false if there is none left.
  bool TakeRetry();

 private:
  /// In tenths of a retry. Starts with one retry, so that a rarely called service has one.
  std::atomic<std::int64_t> tenths_ = 10;
};

/// What decides about a retry besides the budget.
struct attempt_result {
  /// Retries before this attempt, at this node or at an earlier hop.
  unsigned attempt = 0;
  bool repeatable = false;
  bool refused_not_run = false;
  bool outcome_unknown = false;
  /// The upstream's connection broke while it worked on the request. The request may have crashed
  /// it, and a retry would take the next upstream down.
  bool upstream_broke = false;
};

/// True if the request may be sent once more without the risk of running it twice, or if running
/// it twice does no harm, and no hop has retried it before.
bool IsRetryAllowed(const attempt_result& result);

}  // namespace siskinrack::balancing

#endif  // SISKINRACK_BALANCING_RETRY_BUDGET_H_
