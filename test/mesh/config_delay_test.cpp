#include <gtest/gtest.h>

#include <thread>

#include "mesh_fleet.h"

namespace siskinrack::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

/// Time within which an acknowledged version must be in force, from the settings of the fleet.
constexpr milliseconds kActivationLimit{2'000};
/// Time after a fault of its connections for which a node isn't bound by the limit.
constexpr milliseconds kStabilityTime{3'000};

class config_delay_test : public testing::Test {
 protected:
  void SetUp() override {
    fleet_.AddStoreProxies();
    fleet_.Configure(version_);
    for (std::size_t i = 0; i < kNodes; ++i) fleet_.StartNode(i);
    ASSERT_TRUE(fleet_.AwaitReady()) << fleet_.ReadLog(0);
  }
  void TearDown() override {
    if (!HasFailure()) return;
    for (std::size_t i = 0; i < kNodes; ++i) std::cout << fleet_.ReadLog(i) << '\n';
  }

  bool HasVersion(std::size_t machine) {
    const std::string line = "siskinrack_config_version " + std::to_string(version_) + '\n';
    return fleet_.ReadMetrics(machine).find(line) != std::string::npos;
  }
  /// Returns true if the last version is in force on a machine before `end`. Calls `meanwhile`
  /// repeatedly until then.
  template <typename Meanwhile>
  bool IsInForceBefore(std::size_t machine, steady_clock::time_point end, Meanwhile meanwhile) {
    while (!HasVersion(machine)) {
      if (steady_clock::now() > end) return false;
      meanwhile();
      std::this_thread::sleep_for(milliseconds(20));
    }
    return steady_clock::now() <= end;
  }

  static constexpr std::size_t kNodes = 3;
  mesh_fleet fleet_{{"shop", "dock", "dock"}};
  std::uint64_t version_ = 1;
};

// Guards against a check that is slower than the limit: all connections to the store go silent, and
// a change follows at each phase of the checks. Idle connections are silent as well, so that the
// check itself must not wait for one after the other.
TEST_F(config_delay_test, ChangeIsInForceInTimeBesideSilentConnections) {
  for (const int delay_ms : {50, 400, 750, 1'100, 1'450, 1'800}) {
    for (std::size_t i = 0; i < kNodes; ++i) fleet_.store_proxy(i).SilenceOpenConnections();
    const auto silenced_at = steady_clock::now();
    std::this_thread::sleep_for(milliseconds(delay_ms));
    fleet_.Configure(++version_);
    const auto end = std::max(steady_clock::now() + kActivationLimit, silenced_at + kStabilityTime);
    for (std::size_t i = 0; i < kNodes; ++i) {
      EXPECT_TRUE(IsInForceBefore(i, end, [] {}))
          << "node " << i << ", change " << delay_ms << " ms after the silence";
    }
    // Each round starts with other connections and another phase.
    std::this_thread::sleep_for(milliseconds(700));
  }
}

// Guards against a node that has an old configuration for seconds beside nodes that have the new
// one: its watch is silent, and stale reads don't show the change yet.
TEST_F(config_delay_test, NodeLearnsOfANewVersionFromItsPeers) {
  fleet_.store().SetStaleLag(milliseconds(3'000));
  fleet_.store_proxy(0).SilenceOpenConnections();
  std::this_thread::sleep_for(milliseconds(1'000));
  fleet_.Configure(++version_);
  const auto end = steady_clock::now() + kActivationLimit;
  EXPECT_TRUE(IsInForceBefore(0, end, [&] { fleet_.Send(0, "/dock/"); }));
}

}  // namespace
}  // namespace siskinrack::test
