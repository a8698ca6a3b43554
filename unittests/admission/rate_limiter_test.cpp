#include "siskinrack/admission/rate_limiter.h"

#include <gtest/gtest.h>

namespace siskinrack::admission {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const time_point kBegin = time_point() + std::chrono::hours(1);

/// Starts calls without pause until `end`; returns their number.
int CountStarts(rate_limiter& limiter, time_point begin, time_point end) {
  int starts = 0;
  for (time_point now = begin; now < end; now += milliseconds(1)) {
    while (limiter.NextStart(now) <= now) {
      limiter.Start(now);
      if (++starts > 10'000) return starts;
    }
  }
  return starts;
}

// Guards against more calls than the limit allows, also right after it was named and after a pause
// without calls.
TEST(RateLimiter, StartsStayWithinTheRate) {
  rate_limiter limiter;
  limiter.SetRate(10, kBegin);
  EXPECT_LE(CountStarts(limiter, kBegin, kBegin + seconds(4)), 40);
  EXPECT_GE(CountStarts(limiter, kBegin + seconds(4), kBegin + seconds(8)), 39);
  EXPECT_LE(CountStarts(limiter, kBegin + seconds(30), kBegin + seconds(31)), 13);
}

// Guards against a limit that outlives its name, and against one that is reset by its repetition.
TEST(RateLimiter, LimitHoldsWhileItIsNamed) {
  rate_limiter limiter;
  EXPECT_GT(CountStarts(limiter, kBegin, kBegin + milliseconds(1)), 10'000);
  limiter.SetRate(2, kBegin);
  limiter.Start(kBegin);
  const time_point next = limiter.NextStart(kBegin);
  limiter.SetRate(2, kBegin);
  EXPECT_EQ(limiter.NextStart(kBegin), next);
  limiter.SetRate(std::nullopt, kBegin);
  EXPECT_EQ(limiter.NextStart(kBegin), kBegin);
}

// Guards against a long wait at the old rate after the upstream has named a higher one, and against
// an upstream whose limit of 0 could never be seen to end.
TEST(RateLimiter, WaitFollowsTheNewRate) {
  rate_limiter limiter;
  limiter.SetRate(0, kBegin);
  EXPECT_LE(limiter.NextStart(kBegin), kBegin + seconds(4));
  EXPECT_LE(CountStarts(limiter, kBegin, kBegin + seconds(4)), 1);
  limiter.SetRate(50, kBegin + seconds(4));
  EXPECT_LE(limiter.NextStart(kBegin + seconds(4)), kBegin + seconds(4) + milliseconds(20));
}

}  // namespace
}  // namespace siskinrack::admission
