#include "siskinrack/net/link_pacer.h"

#include <gtest/gtest.h>

#include <atomic>
#include <functional>
#include <thread>
#include <vector>

#include "siskinrack/net/fiber_runtime.h"

namespace siskinrack::net {
namespace {

using std::chrono::milliseconds;

link_schedule::time_point At(int ms) { return link_schedule::time_point(milliseconds(ms)); }

// Guards against a queue of large frames in the network link, behind which small frames wait.
TEST(link_schedule_test, PartsStartWhenTheLinkIsNearlyFree) {
  link_schedule schedule(1'000'000);
  schedule.OnSent(50'000, At(1'000));
  EXPECT_GT(schedule.NextStart(), At(1'030));
  EXPECT_LE(schedule.NextStart(), At(1'050));
}

// Guards against unused time of the link that is saved up and sent as a burst later.
TEST(link_schedule_test, IdleTimeIsNotSavedUp) {
  link_schedule schedule(1'000'000);
  schedule.OnSent(10'000, At(1'000));
  schedule.OnSent(10'000, At(5'000));
  schedule.OnSent(40'000, At(5'000));
  EXPECT_EQ(schedule.EstimateWait(0, At(5'000)), milliseconds(50));
  EXPECT_EQ(schedule.EstimateWait(100'000, At(5'000)), milliseconds(150));
}

// Guards against links that stay occupied by unfinished large frames, and against a frame that
// keeps all others waiting because its peer doesn't read.
TEST(link_pacer_test, StartedFrameIsFinishedFirst) {
  fiber_runtime runtime(1);
  link_pacer pacer(1'000'000);
  std::vector<int> order;
  std::atomic<bool> done = false;
  const std::function<void(int, int, bool)> send = [&](int frame, int parts, bool continues) {
    pacer.SendPart(link_pacer::kPartBytes, continues, [&, frame, parts] {
      order.push_back(frame);
      // The peer of frame 1 reads only its first part.
      if (parts > 1 && frame != 1) send(frame, parts - 1, true);
      if (order.size() == 7) done = true;
    });
  };
  runtime.Run(0, [&] {
    // Keeps the parts waiting until all frames are queued.
    pacer.OnSent(50'000);
    pacer.AddWaiting(7 * link_pacer::kPartBytes);
    send(1, 3, false);
    send(2, 3, false);
    send(3, 3, false);
    EXPECT_GT(pacer.EstimateWait(), milliseconds(0));
  });
  for (int i = 0; i < 10'000 && !done; ++i) std::this_thread::sleep_for(milliseconds(1));
  ASSERT_TRUE(done);
  EXPECT_EQ(order, (std::vector<int>{1, 2, 2, 2, 3, 3, 3}));
}

}  // namespace
}  // namespace siskinrack::net
