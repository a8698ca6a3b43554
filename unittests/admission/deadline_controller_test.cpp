#include "siskinrack/admission/deadline_controller.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace siskinrack::admission {
namespace {

using std::chrono::milliseconds;

time_point At(std::int64_t ms) { return time_point() + std::chrono::hours(1) + milliseconds(ms); }

class deadline_controller_test : public testing::Test {
 protected:
  /// Offers a call; `priority` is also its work class.
  decisions Offer(std::uint64_t ticket, std::uint32_t priority, std::int64_t target_ms,
                  std::int64_t deadline_ms, std::int64_t now_ms) {
    return controller_.Offer({ticket, priority, priority, At(target_ms), At(deadline_ms)},
                             At(now_ms));
  }
  decisions Finish(std::uint64_t ticket, std::int64_t now_ms) {
    return controller_.Finish(ticket, call_result::kAnswered, At(now_ms));
  }
  /// Records a service time of 100 ms for the work class of `priority`.
  void RecordServiceTime(std::uint32_t priority) {
    Offer(1'000 + priority, priority, 10'000, 10'000, 0);
    controller_.Finish(1'000 + priority, call_result::kAnswered, At(100));
  }
  static bool IsAdmitted(const decisions& list, std::uint64_t ticket) {
    return std::any_of(list.begin(), list.end(), [ticket](const decision& outcome) {
      return outcome.ticket == ticket && outcome.admitted;
    });
  }
  static bool IsRefused(const decisions& list, std::uint64_t ticket) {
    return std::any_of(list.begin(), list.end(), [ticket](const decision& outcome) {
      return outcome.ticket == ticket && !outcome.admitted;
    });
  }

  deadline_controller controller_{1};
};

// Guards against a late call that prevents another call from being answered in time.
TEST_F(deadline_controller_test, InTimeCallRunsBeforeLateCallOfHigherPriority) {
  RecordServiceTime(1), RecordServiceTime(2);
  ASSERT_TRUE(IsAdmitted(Offer(1, 1, 5'000, 9'000, 200), 1));
  ASSERT_TRUE(Offer(2, 1, 210, 9'000, 200).empty());  // already late
  ASSERT_TRUE(Offer(3, 2, 500, 9'000, 200).empty());  // lower priority, in time
  EXPECT_TRUE(IsAdmitted(Finish(1, 300), 3));
  EXPECT_TRUE(IsAdmitted(Finish(3, 400), 2));
}

// Guards against running deferrable calls before late calls of higher priority: the worth of the
// answers to high-priority calls was more than 15% lower.
TEST_F(deadline_controller_test, DeferrableCallRunsAfterLateCalls) {
  RecordServiceTime(1), RecordServiceTime(2);
  Offer(1, 1, 5'000, 9'000, 200);
  ASSERT_TRUE(Offer(2, 2, 5'000, 9'000, 200).empty());
  ASSERT_TRUE(Offer(3, 1, 210, 9'000, 200).empty());
  EXPECT_TRUE(IsAdmitted(Finish(1, 300), 3));
}

// Guards against refusing short calls because other calls of their priority take long: in one
// scenario, none of 28 calls of newly added routes was served.
TEST_F(deadline_controller_test, ServiceTimeIsEstimatedPerWorkClass) {
  RecordServiceTime(2);
  Offer(1, 2, 9'000, 9'000, 200);
  const timed_arrival quick{2, 2, /*work_class=*/77, At(400), At(400)};
  EXPECT_FALSE(IsRefused(controller_.Offer(quick, At(200)), 2));
}

// Guards against a work class that is considered late forever: its service time was measured while
// the upstream was cold and gets no new samples because late calls don't run.
TEST_F(deadline_controller_test, ServiceTimeEstimateDecaysWithoutNewSamples) {
  RecordServiceTime(2);
  // A call of the urgent class took 400 ms while the upstream was cold.
  ASSERT_TRUE(IsAdmitted(Offer(1, 0, 5'000, 5'000, 1'000), 1));
  Finish(1, 1'400);
  // Three seconds later, after calls of lower priority, another urgent call has a target of 300 ms.
  ASSERT_TRUE(IsAdmitted(Offer(2, 2, 4'900, 4'900, 4'400), 2));
  EXPECT_FALSE(IsRefused(Offer(3, 2, 4'600, 5'000, 4'410), 3));
  EXPECT_FALSE(IsRefused(Offer(4, 0, 4'710, 5'400, 4'410), 4));
  EXPECT_TRUE(IsAdmitted(Finish(2, 4'450), 4));
}

// Guards against running a call of lower priority first when all calls can be answered in time.
TEST_F(deadline_controller_test, InTimeCallsRunByPriority) {
  RecordServiceTime(0), RecordServiceTime(2);
  Offer(1, 2, 5'000, 9'000, 200);
  Offer(2, 2, 5'000, 9'000, 200);
  Offer(3, 0, 5'000, 9'000, 200);
  EXPECT_TRUE(IsAdmitted(Finish(1, 300), 3));
}

// Guards against spending slots on calls whose callers no longer wait: in one scenario, a third of
// the calls that ran ended at their deadline.
TEST_F(deadline_controller_test, CallThatCannotMeetItsDeadlineIsRefusedAtOnce) {
  RecordServiceTime(1);
  Offer(1, 1, 5'000, 9'000, 200);
  EXPECT_TRUE(IsRefused(Offer(2, 1, 250, 300, 200), 2));
}

// Guards against keeping a call queued until its deadline although no slot can be free early
// enough.
TEST_F(deadline_controller_test, WaitingCallIsRefusedOnceItCannotMeetItsDeadline) {
  RecordServiceTime(1);
  Offer(1, 1, 5'000, 9'000, 200);
  ASSERT_TRUE(Offer(2, 1, 5'000, 600, 200).empty());
  EXPECT_TRUE(IsRefused(Finish(1, 550), 2));
}

// Guards against a service time estimate that falls because failing calls end early.
TEST_F(deadline_controller_test, EarlyFailuresDoNotShortenTheServiceTime) {
  RecordServiceTime(1);
  for (std::uint64_t ticket = 1; ticket < 200; ++ticket) {
    Offer(ticket, 1, 90'000, 90'000, 200);
    controller_.Finish(ticket, call_result::kFailed, At(201));
  }
  Offer(500, 1, 90'000, 90'000, 300);
  EXPECT_TRUE(IsRefused(Offer(501, 1, 90'000, 450, 300), 501));
}

// Guards against leaking slots: every call that ran returns its slot, and a withdrawn call never
// held one.
TEST_F(deadline_controller_test, SlotsAreNeverExceededOrLost) {
  controller_.SetSlots(3);
  std::uint64_t ticket = 0;
  std::vector<std::uint64_t> running;
  const auto apply = [&](const decisions& list) {
    for (const decision& outcome : list) {
      if (outcome.admitted) running.push_back(outcome.ticket);
    }
  };
  for (std::int64_t step = 0; step < 2'000; ++step) {
    const std::int64_t now = step * 7;
    if (step % 3 != 0) {
      apply(Offer(++ticket, static_cast<std::uint32_t>(step % 4), now + 300, now + 2'000, now));
    } else if (!running.empty()) {
      const std::uint64_t done = running.front();
      running.erase(running.begin());
      apply(Finish(done, now));
    }
    if (step % 11 == 0) controller_.Withdraw(ticket);
    ASSERT_LE(running.size(), 3U);
    ASSERT_EQ(running.size(), controller_.Load().in_flight);
    if (controller_.Load().queued > 0) {
      ASSERT_EQ(running.size(), 3U);
    }
  }
}

// Guards against queuing at a busy upstream while another one is free: the entry node's load report
// was old when it chose.
TEST_F(deadline_controller_test, RedirectableCallIsRefusedIfItWouldBeLate) {
  RecordServiceTime(1);
  ASSERT_TRUE(IsAdmitted(Offer(1, 1, 5'000, 9'000, 200), 1));
  ASSERT_TRUE(Offer(2, 1, 5'000, 9'000, 200).empty());
  timed_arrival call{3, 1, 1, At(350), At(9'000), /*redirectable=*/true};
  const decisions late = controller_.Offer(call, At(200));
  ASSERT_TRUE(IsRefused(late, 3));
  EXPECT_EQ(late.front().reason, refusal::kRedirected);
  call.redirectable = false;
  EXPECT_TRUE(controller_.Offer(call, At(200)).empty());
}

// Guards against calls that wait at one upstream while another one is idle, although they would be
// in time: long ones became late, and half of all calls waited so.
TEST_F(deadline_controller_test, RedirectableCallIsRefusedIfItWouldWait) {
  RecordServiceTime(1);
  ASSERT_TRUE(IsAdmitted(Offer(1, 1, 5'000, 9'000, 200), 1));
  timed_arrival call{2, 1, 1, At(900), At(9'000), /*redirectable=*/true};
  const decisions refused = controller_.Offer(call, At(200));
  ASSERT_TRUE(IsRefused(refused, 2));
  EXPECT_EQ(refused.front().reason, refusal::kRedirected);
  EXPECT_GT(refused.front().retry_after, milliseconds(90));
  // The slot is expected to be free before another upstream could be reached.
  EXPECT_TRUE(controller_.Offer(call, At(290)).empty());
  call.ticket = 3;
  call.redirectable = false;
  EXPECT_TRUE(controller_.Offer(call, At(200)).empty());
}

// Guards against a call that is kept waiting until shortly before its deadline although urgent
// calls that arrived after it made its deadline unreachable: replays a burst of urgent calls.
TEST_F(deadline_controller_test, OvertakenCallIsRefusedAtOnce) {
  RecordServiceTime(0), RecordServiceTime(2);
  ASSERT_TRUE(IsAdmitted(Offer(1, 0, 1'000, 9'000, 200), 1));
  ASSERT_TRUE(Offer(2, 2, 800, 1'000, 200).empty());
  bool refused = false;
  for (std::uint64_t ticket = 3; ticket < 20 && !refused; ++ticket) {
    refused = IsRefused(Offer(ticket, 0, 700, 9'000, 210), 2);
  }
  EXPECT_TRUE(refused);
}

// Guards against more calls than a named limit allows, against calls that wait for it although they
// can't be answered in time, and against a limit that changes their order.
TEST(deadline_controller_rate_test, CallsStartWithinTheNamedLimit) {
  deadline_controller controller(6);
  const auto offer = [&](std::uint64_t ticket, std::uint32_t priority, std::int64_t deadline_ms) {
    return controller.Offer({ticket, priority, 0, At(deadline_ms), At(deadline_ms)}, At(0));
  };
  controller.SetRate(2, At(0));
  EXPECT_TRUE(offer(1, 2, 3'000).empty());
  EXPECT_TRUE(offer(2, 1, 3'000).empty());
  const decisions refused = offer(3, 2, 900);
  ASSERT_EQ(refused.size(), 1U);
  EXPECT_FALSE(refused[0].admitted);
  EXPECT_GE(refused[0].retry_after, milliseconds(900));
  ASSERT_EQ(controller.NextStart(At(0)), At(500));
  EXPECT_TRUE(controller.Advance(At(499)).empty());
  const decisions first = controller.Advance(At(500));
  ASSERT_EQ(first.size(), 1U);
  EXPECT_EQ(first[0].ticket, 2U);
  controller.SetRate(std::nullopt, At(510));
  EXPECT_EQ(controller.Advance(At(510)).size(), 1U);
  EXPECT_EQ(controller.NextStart(At(510)), std::nullopt);
}

// Guards against refusing the first waiting call because the running calls need long on average: it
// starts as soon as one of them ends. Replays a call of a new route that had been deferred.
TEST(deadline_controller_slots_test, FirstWaitingCallWaitsForTheFirstFreeSlotOnly) {
  deadline_controller controller(4);
  controller.Offer({100, 1, 1, At(9'000), At(9'000)}, At(0));
  controller.Finish(100, call_result::kAnswered, At(400));
  for (std::uint64_t i = 0; i < 4; ++i) {
    controller.Offer({i, 1, 1, At(9'000), At(9'000)}, At(400 + 30 * static_cast<int>(i)));
  }
  // The running calls are expected to end between 754 and 844; the waiting one takes 50 ms.
  ASSERT_TRUE(controller.Offer({10, 0, 2, At(840), At(840)}, At(600)).empty());
  EXPECT_TRUE(controller.Advance(At(600)).empty());
}

}  // namespace
}  // namespace siskinrack::admission
