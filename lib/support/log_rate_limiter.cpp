#include "siskinrack/support/log_rate_limiter.h"

#include <algorithm>

namespace siskinrack::support {

bool log_rate_limiter::Allow(line_kind kind, time_point now) {
  token_bucket& bucket = kind == line_kind::kRoutine ? routine_ : warnings_;
  const double elapsed = std::chrono::duration<double>(now - bucket.last_refill).count();
  bucket.tokens = std::min(bucket.burst, bucket.tokens + elapsed * bucket.per_second);
  bucket.last_refill = now;
  if (bucket.tokens < 1) return false;
  bucket.tokens -= 1;
  return true;
}

}  // namespace siskinrack::support
