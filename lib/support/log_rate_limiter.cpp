#include "siskinrack/support/log_rate_limiter.h"

#include <algorithm>

namespace siskinrack::support {

bool log_rate_limiter::Allow(line_kind kind, time_point now) {
  bucket& own = kind == line_kind::kRoutine ? routine_ : warnings_;
  const double elapsed = std::chrono::duration<double>(now - own.refilled).count();
  own.tokens = std::min(own.burst, own.tokens + elapsed * own.per_second);
  own.refilled = now;
  if (own.tokens < 1) return false;
  own.tokens -= 1;
  return true;
}

}  // namespace siskinrack::support
