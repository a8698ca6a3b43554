#include "siskinrack/support/hybrid_clock.h"

#include <gtest/gtest.h>

namespace siskinrack::support {
namespace {

// Guards against an effect ordered before its cause if the receiver's clock is behind.
TEST(HybridClock, ReceiptIsOrderedAfterSendIfTheReceiverIsBehind) {
  hybrid_clock fast([] { return std::int64_t{9'000'000}; });
  hybrid_clock slow([] { return std::int64_t{1'000'000}; });
  const hybrid_time sent = fast.Tick();
  const hybrid_time received = slow.Observe(sent);
  EXPECT_GT(received, sent);
  EXPECT_GT(slow.Tick(), received);
}

TEST(HybridClock, TimeAdvancesWhileTheWallClockIsStopped) {
  hybrid_clock clock([] { return std::int64_t{5}; });
  const hybrid_time first = clock.Tick();
  EXPECT_GT(clock.Tick(), first);
}

// Guards against one process with a clock far in the future that advances the clocks of all others.
TEST(HybridClock, TimeFarInTheFutureIsRefused) {
  constexpr std::int64_t kDayUs = 86'400'000'000;
  constexpr std::int64_t kMinuteUs = 60'000'000;
  std::int64_t wall_us = 1'000'000;
  hybrid_clock clock([&] { return wall_us; });
  const hybrid_time before = clock.Tick();
  const hybrid_time received = clock.Observe({kDayUs, 0});
  EXPECT_GT(received, before);
  EXPECT_LE(received.wall_us, wall_us + kMinuteUs);
}

// Guards against a counter that wraps to zero, which would order an effect before its cause.
TEST(HybridClock, CounterOverflowAdvancesToTheNextMicrosecond) {
  hybrid_clock clock([] { return std::int64_t{5}; });
  const hybrid_time remote{7, 0xffff'ffffU};
  EXPECT_GT(clock.Observe(remote), remote);
}

// Guards against one report per refused message, and against a handler called with the lock held:
// the handler uses the clock.
TEST(HybridClock, RefusedTimesAreReportedAtMostOncePerInterval) {
  std::int64_t wall_us = 1'000'000;
  hybrid_clock clock([&] { return wall_us; });
  int reports = 0;
  clock.SetRefusalHandler([&](std::int64_t) {
    ++reports;
    clock.Tick();
  });
  for (int i = 0; i < 5; ++i) clock.Observe({wall_us + hybrid_clock::kMaxAheadUs + 1, 0});
  wall_us += 11'000'000;
  clock.Observe({wall_us + hybrid_clock::kMaxAheadUs + 1, 0});
  EXPECT_EQ(reports, 2);
  EXPECT_EQ(clock.refused(), 6U);
}

}  // namespace
}  // namespace siskinrack::support
