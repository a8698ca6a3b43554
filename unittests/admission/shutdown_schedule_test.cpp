#include "siskinrack/admission/shutdown_schedule.h"

#include <gtest/gtest.h>

namespace siskinrack::admission {
namespace {

using std::chrono::milliseconds;

time_point At(std::int64_t ms) { return time_point() + std::chrono::hours(1) + milliseconds(ms); }

class shutdown_schedule_test : public testing::TestWithParam<int> {
 protected:
  [[nodiscard]] milliseconds grace() const { return milliseconds(GetParam()); }
  shutdown_schedule schedule_{At(0), milliseconds(GetParam())};
};

// Guards against a request of a stopping node that waits in another node's queue beyond the exit of
// the stopping one: its caller's connection was closed without an answer.
TEST_P(shutdown_schedule_test, DeadlinesOfAcceptedRequestsEndBeforeTheExit) {
  for (std::int64_t arrival = 0; arrival < GetParam(); arrival += 50) {
    for (const int target : {100, 400, 1'200}) {
      if (!schedule_.Accepts(At(arrival), milliseconds(target))) continue;
      EXPECT_LT(schedule_.LimitDeadline(At(arrival + 60'000)), schedule_.recall());
    }
  }
  EXPECT_LT(schedule_.recall(), schedule_.exit());
  EXPECT_LT(schedule_.exit(), At(0) + grace());
}

// Guards against breaking off a running request before the last sixth of the grace period.
TEST_P(shutdown_schedule_test, RecallIsInTheLastSixthOfTheGracePeriod) {
  EXPECT_GE(schedule_.recall(), At(0) + grace() * 5 / 6);
}

// Guards against accepting a request that can't be answered within the target latency of its route.
TEST_P(shutdown_schedule_test, RequestIsRefusedIfItsTargetEndsAfterTheRecall) {
  const auto longest = std::chrono::floor<milliseconds>(schedule_.recall() - At(0));
  EXPECT_TRUE(schedule_.Accepts(At(0), longest));
  EXPECT_FALSE(schedule_.Accepts(At(0), longest + milliseconds(1)));
}

// Guards against changing a deadline that ends early enough.
TEST_P(shutdown_schedule_test, EarlyDeadlineStays) {
  EXPECT_EQ(schedule_.LimitDeadline(At(200)), At(200));
}

INSTANTIATE_TEST_SUITE_P(grace_periods, shutdown_schedule_test,
                         testing::Values(1'500, 3'000, 6'000, 10'000, 30'000));

}  // namespace
}  // namespace siskinrack::admission
