#include "siskinrack/net/fiber_runtime.h"

#include <gtest/gtest.h>

#include <atomic>
#include <ctime>
#include <thread>

namespace siskinrack::net {
namespace {

using std::chrono::milliseconds;

double ReadProcessCpuSeconds() {
  timespec time{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

// Guards against a scheduler that busy-waits while all fibers are suspended.
TEST(FiberRuntime, WaitingFiberUsesNoProcessorTime) {
  fiber_runtime runtime(2);
  const double before = ReadProcessCpuSeconds();
  runtime.Run(0, [] { SleepFor(milliseconds(400)); });
  EXPECT_LT(ReadProcessCpuSeconds() - before, 0.1);
}

// Guards against a suspended fiber that blocks the other fibers of its thread.
TEST(FiberRuntime, SleepingFiberDoesNotDelayAnother) {
  fiber_runtime runtime(1);
  std::atomic<bool> sleeper_done = false;
  runtime.Post(0, [&] {
    SleepFor(milliseconds(1000));
    sleeper_done = true;
  });
  std::atomic<int> count = 0;
  runtime.Run(0, [&] {
    for (int i = 0; i < 100; ++i) {
      SleepFor(std::chrono::microseconds(10));
      ++count;
    }
    EXPECT_FALSE(sleeper_done);
  });
  EXPECT_EQ(count, 100);
}

}  // namespace
}  // namespace siskinrack::net
