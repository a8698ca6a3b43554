#include "siskinrack/balancing/retry_budget.h"

namespace siskinrack::balancing {

void retry_budget::AddRequest() {}

bool retry_budget::TakeRetry() { return true; }

bool MayRetry(const attempt_result& result) {
  return result.refused_not_run || result.outcome_unknown;
}

}  // namespace siskinrack::balancing
