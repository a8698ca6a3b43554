#include "siskinrack/admission/deadline_controller.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace siskinrack::admission {
namespace {

using std::chrono::milliseconds;

time_point At(std::int64_t ms) { return time_point() + std::chrono::hours(1) + milliseconds(ms); }

class deadline_controller_test : public testing::Test {
 protected:
  decisions Offer(std::uint64_t ticket, std::uint32_t priority, std::int64_t in_time_ms,
                  std::int64_t end_ms, std::int64_t now_ms) {
    return controller_.Offer({ticket, priority, priority, At(in_time_ms), At(end_ms)}, At(now_ms));
  }
  decisions Finish(std::uint64_t ticket, std::int64_t now_ms) {
    return controller_.Finish(ticket, call_result::kAnswered, At(now_ms));
  }
  /// Teaches a service time of 100 ms for the priority.
  void Teach(std::uint32_t priority) {
    Offer(1'000 + priority, priority, 10'000, 10'000, 0);
    controller_.Finish(1'000 + priority, call_result::kAnswered, At(100));
  }
  static bool Ran(const decisions& list, std::uint64_t ticket) {
    return std::any_of(list.begin(), list.end(), [ticket](const decision& item) {
      return item.ticket == ticket && item.admitted;
    });
  }
  static bool Refused(const decisions& list, std::uint64_t ticket) {
    return std::any_of(list.begin(), list.end(), [ticket](const decision& item) {
      return item.ticket == ticket && !item.admitted;
    });
  }

  deadline_controller controller_{1};
};

// Guards against late work that keeps a call from being answered in time.
TEST_F(deadline_controller_test, CallThatCanBeInTimeGoesBeforeLateMoreUrgentOne) {
  Teach(1), Teach(2);
  ASSERT_TRUE(Ran(Offer(1, 1, 5'000, 9'000, 200), 1));
  ASSERT_TRUE(Offer(2, 1, 210, 9'000, 200).empty());  // late already
  ASSERT_TRUE(Offer(3, 2, 500, 9'000, 200).empty());  // less urgent, in time
  EXPECT_TRUE(Ran(Finish(1, 300), 3));
  EXPECT_TRUE(Ran(Finish(3, 400), 2));
}

// Guards against urgent work that ends late behind work that could have waited: payoffs of the more
// urgent kind fell behind by more than 15 in 100.
TEST_F(deadline_controller_test, CallThatLosesNothingByWaitingGoesBehindLateOnes) {
  Teach(1), Teach(2);
  Offer(1, 1, 5'000, 9'000, 200);
  ASSERT_TRUE(Offer(2, 2, 5'000, 9'000, 200).empty());
  ASSERT_TRUE(Offer(3, 1, 210, 9'000, 200).empty());
  EXPECT_TRUE(Ran(Finish(1, 300), 3));
}

// Guards against short calls that are refused because others of their priority take long: on
// scale-2 none of 28 calls of newly added routes was served.
TEST_F(deadline_controller_test, ServiceTimesAreLearnedByWorkClass) {
  Teach(2);
  Offer(1, 2, 9'000, 9'000, 200);
  const timed_arrival quick{2, 2, /*work_class=*/77, At(400), At(400)};
  EXPECT_FALSE(Refused(controller_.Offer(quick, At(200)), 2));
}

// Guards against an urgent class that counts as late for ever: its service time, learned while the
// upstream was cold, is never measured again because late calls don't run.
TEST_F(deadline_controller_test, ServiceTimeOfACallThatNeverRunsDoesNotStayHigh) {
  Teach(2);
  // A call of the urgent class took 400 ms while the upstream was cold.
  ASSERT_TRUE(Ran(Offer(1, 0, 5'000, 5'000, 1'000), 1));
  Finish(1, 1'400);
  // Three seconds of less urgent calls later, another one is wanted within 300 ms.
  ASSERT_TRUE(Ran(Offer(2, 2, 4'900, 4'900, 4'400), 2));
  EXPECT_FALSE(Refused(Offer(3, 2, 4'600, 5'000, 4'410), 3));
  EXPECT_FALSE(Refused(Offer(4, 0, 4'710, 5'400, 4'410), 4));
  EXPECT_TRUE(Ran(Finish(2, 4'450), 4));
}

// Guards against less urgent work that overtakes urgent work of the same kind.
TEST_F(deadline_controller_test, AmongCallsInTimeTheMoreUrgentGoesFirst) {
  Teach(0), Teach(2);
  Offer(1, 2, 5'000, 9'000, 200);
  Offer(2, 2, 5'000, 9'000, 200);
  Offer(3, 0, 5'000, 9'000, 200);
  EXPECT_TRUE(Ran(Finish(1, 300), 3));
}

// Guards against slots that are spent on work nobody waits for: on scale-2 a third of the runs
// ended at their time limit.
TEST_F(deadline_controller_test, CallThatCanNotEndInTimeIsRefusedAtOnce) {
  Teach(1);
  Offer(1, 1, 5'000, 9'000, 200);
  EXPECT_TRUE(Refused(Offer(2, 1, 250, 300, 200), 2));
}

// Guards against a call that waits until its end although its slot came too late.
TEST_F(deadline_controller_test, WaitingCallIsRefusedOnceItCanNotEnd) {
  Teach(1);
  Offer(1, 1, 5'000, 9'000, 200);
  ASSERT_TRUE(Offer(2, 1, 5'000, 600, 200).empty());
  EXPECT_TRUE(Refused(Finish(1, 550), 2));
}

// Guards against an estimate that sinks because failing calls end early.
TEST_F(deadline_controller_test, EarlyFailuresDoNotShortenTheServiceTime) {
  Teach(1);
  for (std::uint64_t ticket = 1; ticket < 200; ++ticket) {
    Offer(ticket, 1, 90'000, 90'000, 200);
    controller_.Finish(ticket, call_result::kFailed, At(201));
  }
  Offer(500, 1, 90'000, 90'000, 300);
  EXPECT_TRUE(Refused(Offer(501, 1, 90'000, 450, 300), 501));
}

// Guards against a lost slot: every ticket that ran gives its slot back, a withdrawn one never had
// it.
TEST_F(deadline_controller_test, SlotsAreNeverExceededOrLost) {
  controller_.SetSlots(3);
  std::uint64_t ticket = 0;
  std::vector<std::uint64_t> running;
  const auto apply = [&](const decisions& list) {
    for (const decision& item : list) {
      if (item.admitted) running.push_back(item.ticket);
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

}  // namespace
}  // namespace siskinrack::admission
