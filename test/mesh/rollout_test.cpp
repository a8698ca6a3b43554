#include <gtest/gtest.h>

#include <atomic>
#include <thread>

#include "mesh_fleet.h"

namespace siskinrack::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr const char* kKind = "rollouts";
constexpr const char* kService = "dock";
constexpr int kCallers = 3;

/// Runs a mesh with two upstreams of the running version and two of the new one.
class rollout_test : public testing::Test {
 protected:
  void SetUp() override {
    fleet_.Configure(1);
    for (std::size_t i = 0; i < 5; ++i) fleet_.StartNode(i);
    ASSERT_TRUE(fleet_.AwaitReady()) << fleet_.ReadLog(0);
  }
  void TearDown() override {
    if (!HasFailure()) return;
    for (std::size_t i = 0; i < 5; ++i) std::cout << fleet_.ReadLog(i) << '\n';
  }

  void Order(const std::string& version) {
    fleet_.store().Write(
        kKind, kService,
        boost::json::object{{"service", kService}, {"targetVersion", version}, {"durationS", 8}});
  }

  /// Sends requests until the order has the final state of `version` or `limit` is over; returns
  /// the state.
  std::string SendUntilRecorded(const std::string& version, milliseconds limit) {
    const auto end = steady_clock::now() + limit;
    std::atomic<bool> stopped = false;
    std::vector<std::thread> callers;
    callers.reserve(kCallers);
    for (int i = 0; i < kCallers; ++i) {
      callers.emplace_back([this, &stopped] {
        while (!stopped) {
          if (fleet_.Send(0, "/dock/work").stage == net::exchange_stage::kAnswered) ++sent_;
          std::this_thread::sleep_for(milliseconds(2));
        }
      });
    }
    std::string state;
    while (state.empty() && steady_clock::now() < end) {
      std::this_thread::sleep_for(milliseconds(20));
      const boost::json::value status = fleet_.store().ReadStatus(kKind, kService);
      if (!status.is_object() || status.at("targetVersion").as_string() != version) continue;
      state = status.at("state").as_string();
    }
    stopped = true;
    for (std::thread& caller : callers) caller.join();
    return state;
  }

  [[nodiscard]] std::size_t CountNewRuns() const {
    return fleet_.instance(3).runs().size() + fleet_.instance(4).runs().size();
  }

  mesh_fleet fleet_{{"shop", "dock", "dock", "dock", "dock"}, {"v1", "v1", "v1", "v2", "v2"}};
  std::atomic<std::size_t> sent_ = 0;
};

// Guards against a good version that isn't done in time, or whose order is recorded while callers
// still depend on the old upstreams.
TEST_F(rollout_test, GoodVersionIsDoneAndTakesAllRequests) {
  Order("v2");
  ASSERT_EQ(SendUntilRecorded("v2", milliseconds(8'000)), "done");
  const std::size_t old_runs = fleet_.instance(1).runs().size() + fleet_.instance(2).runs().size();
  for (int i = 0; i < 20; ++i) {
    EXPECT_EQ(fleet_.Send(0, "/dock/after").response.status, 200U);
  }
  EXPECT_EQ(fleet_.instance(1).runs().size() + fleet_.instance(2).runs().size(), old_runs);
}

// Guards against a bad version that keeps its share until the end of the order, and against
// requests to it after it was rolled back, also at a node that has restarted.
TEST_F(rollout_test, BadVersionIsRolledBackAndReceivesNothing) {
  Order("v2");
  fleet_.instance(3).SetFailing(true);
  fleet_.instance(4).SetFailing(true);
  ASSERT_EQ(SendUntilRecorded("v2", milliseconds(6'000)), "rolled_back");
  fleet_.instance(3).SetFailing(false);
  fleet_.instance(4).SetFailing(false);
  const std::size_t before = CountNewRuns();
  fleet_.StartNode(0);
  ASSERT_TRUE(fleet_.AwaitReady());
  for (int i = 0; i < 100; ++i) {
    EXPECT_EQ(fleet_.Send(0, "/dock/after").response.status, 200U);
  }
  EXPECT_EQ(CountNewRuns(), before);
}

// Guards against a verdict that is lost because the store is down when it is reached.
TEST_F(rollout_test, VerdictIsAppliedAndRecordedAroundAnOutageOfTheStore) {
  Order("v2");
  std::this_thread::sleep_for(milliseconds(300));
  fleet_.instance(3).SetFailing(true);
  fleet_.instance(4).SetFailing(true);
  fleet_.store().SetDown(true);
  EXPECT_EQ(SendUntilRecorded("v2", milliseconds(4'000)), "");
  fleet_.instance(3).SetFailing(false);
  fleet_.instance(4).SetFailing(false);
  const std::size_t before = CountNewRuns();
  for (int i = 0; i < 50; ++i) fleet_.Send(0, "/dock/after");
  EXPECT_EQ(CountNewRuns(), before);
  fleet_.store().SetDown(false);
  EXPECT_EQ(SendUntilRecorded("v2", milliseconds(4'000)), "rolled_back");
}

}  // namespace
}  // namespace siskinrack::test
