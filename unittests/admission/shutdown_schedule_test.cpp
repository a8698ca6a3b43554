#include "siskinrack/admission/shutdown_schedule.h"

#include <gtest/gtest.h>

namespace siskinrack::admission {
namespace {

using std::chrono::milliseconds;

time_point At(std::int64_t ms) { return time_point() + std::chrono::hours(1) + milliseconds(ms); }

class shutdown_schedule_test : public testing::TestWithParam<int> {
 protected:
  [[nodiscard]] milliseconds grace() const { return milliseconds(GetParam()); }
  shutdown_schedule schedule_{At(0), milliseconds(GetParam()), milliseconds(GetParam() / 3)};
};

// Guards against a request of a stopping node that waits in another node's queue beyond the exit of
// the stopping one: its caller's connection was closed without an answer.
TEST_P(shutdown_schedule_test, DeadlinesOfAcceptedRequestsEndBeforeTheExit) {
  for (std::int64_t arrival = 0; arrival < GetParam(); arrival += 50) {
    for (const int target : {100, 400, 1'200}) {
      if (!schedule_.Accepts(At(arrival), milliseconds(target), milliseconds(60'000))) continue;
      EXPECT_LT(schedule_.LimitDeadline(At(arrival + 60'000)), schedule_.recall());
    }
  }
  EXPECT_LT(schedule_.recall(), schedule_.exit());
  EXPECT_LT(schedule_.exit(), At(0) + grace());
}

// Guards against breaking off a running request before the last sixth of the grace period, by the
// recall or by a deadline that is cut.
TEST_P(shutdown_schedule_test, RequestsRunUntilTheLastSixthOfTheGracePeriod) {
  EXPECT_GE(schedule_.recall(), At(0) + grace() * 5 / 6);
  EXPECT_GE(schedule_.LimitDeadline(At(60'000)), At(0) + grace() * 5 / 6);
}

// Guards against accepting a request that can't be answered within the target latency of its route.
TEST_P(shutdown_schedule_test, RequestIsRefusedIfItsTargetEndsAfterTheRecall) {
  const auto longest = std::chrono::floor<milliseconds>(schedule_.recall() - At(0));
  EXPECT_TRUE(schedule_.Accepts(At(0), longest, longest));
  EXPECT_FALSE(schedule_.Accepts(At(0), longest + milliseconds(1), longest + milliseconds(1)));
}

// Guards against breaking off requests that were accepted late: callers that send in the second
// half of the grace period need an answer within their limit or a refusal.
TEST_P(shutdown_schedule_test, LateRequestIsAcceptedOnlyIfItsLimitEndsInTime) {
  const time_point late = At(0) + grace() / 2;
  const auto longest = std::chrono::floor<milliseconds>(schedule_.LimitDeadline(At(60'000)) - late);
  EXPECT_TRUE(schedule_.Accepts(late, milliseconds(1), longest));
  EXPECT_FALSE(schedule_.Accepts(late, milliseconds(1), longest + milliseconds(1)));
  EXPECT_TRUE(schedule_.Accepts(late - milliseconds(1), milliseconds(1), grace()));
}

// Guards against changing a deadline that ends early enough.
TEST_P(shutdown_schedule_test, EarlyDeadlineStays) {
  EXPECT_EQ(schedule_.LimitDeadline(At(200)), At(200));
}

// Guards against refusing callers before the platform has sent them elsewhere, by a time that holds
// for one installation only.
TEST_P(shutdown_schedule_test, CallersAreAcceptedUntilThePlatformHasNoticedTwice) {
  const milliseconds interval = grace() / 10;
  schedule_.OnNotReady(At(0) + interval);
  EXPECT_TRUE(schedule_.Accepts(At(0) + interval * 2, milliseconds(1), milliseconds(1)));
  schedule_.OnNotReady(At(0) + interval * 2);
  EXPECT_GT(schedule_.caller_refusal(), At(0) + interval * 2);
  EXPECT_LE(schedule_.caller_refusal(), At(0) + interval * 3);
  EXPECT_FALSE(schedule_.Accepts(schedule_.caller_refusal(), milliseconds(1), milliseconds(1)));
  const time_point refusal = schedule_.caller_refusal();
  schedule_.OnNotReady(At(0) + interval * 3);
  EXPECT_EQ(schedule_.caller_refusal(), refusal);
}

// Guards against a node that is never checked and refuses all callers, or accepts them to its end.
TEST_P(shutdown_schedule_test, CallersAreAcceptedUntilTheRecallIfThePlatformIsSilent) {
  EXPECT_EQ(schedule_.caller_refusal(), schedule_.recall());
}

// Guards against other nodes that avoid a stopping node for longer than it needs to start again.
TEST_P(shutdown_schedule_test, RefusalIsExpectedAfterTwoChecks) {
  const milliseconds interval = grace() / 10;
  const shutdown_schedule schedule(At(0), grace(), grace() / 3, interval);
  EXPECT_EQ(schedule.caller_refusal(), schedule.recall());
  EXPECT_GT(schedule.ExpectCallerRefusal(At(0)), At(0) + interval * 2);
  EXPECT_LT(schedule.ExpectCallerRefusal(At(0)), At(0) + interval * 3);
  // The platform has stopped asking.
  EXPECT_EQ(schedule.ExpectCallerRefusal(At(0) + interval * 3), schedule.recall());
  EXPECT_EQ(schedule_.ExpectCallerRefusal(At(0)), schedule_.recall());
}

INSTANTIATE_TEST_SUITE_P(grace_periods, shutdown_schedule_test,
                         testing::Values(1'500, 3'000, 6'000, 10'000, 30'000));

}  // namespace
}  // namespace siskinrack::admission
