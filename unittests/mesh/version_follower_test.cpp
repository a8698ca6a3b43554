#include "version_follower.h"

#include <gtest/gtest.h>

#include <atomic>
#include <thread>

namespace siskinrack::mesh {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kDelay{400};

class version_follower_test : public testing::Test {
 protected:
  /// Records that another node has `version`.
  void See(std::uint64_t version) {
    context_.runtime.Run(0, [&] { follower_.OnSeen(version); });
  }
  void Activate(std::uint64_t version) {
    context_.runtime.Run(0, [&] {
      routing::configuration config;
      config.version = version;
      context_.routes = std::make_shared<const routing::route_table>(std::move(config));
    });
  }
  static void Wait(milliseconds time) { std::this_thread::sleep_for(time); }

  std::atomic<int> reads_ = 0;
  std::atomic<bool> store_answers_ = true;
  mesh_context context_{platform_adapter::machine_settings{}};
  version_follower follower_{context_, kDelay, [this] {
                               ++reads_;
                               return store_answers_.load();
                             }};
};

// Guards against reads that nobody needs: on a site of 68 nodes each node read the configuration
// again for each change, since newer versions had been seen before the first one arrived.
TEST_F(version_follower_test, SeriesOfVersionsThatArriveCausesNoRead) {
  Activate(1);
  for (std::uint64_t version = 2; version < 8; ++version) {
    See(version);
    Wait(kDelay / 4);
    See(version + 1);
    Activate(version);
  }
  EXPECT_EQ(reads_, 0);
}

// Guards against a node that isn't told again after the store didn't answer, and against reads for
// a version that the store doesn't have.
TEST_F(version_follower_test, MissingVersionIsReadUntilTheStoreHasAnswered) {
  Activate(1);
  store_answers_ = false;
  for (int i = 0; i < 2; ++i) {
    See(2);
    Wait(2 * kDelay);
  }
  EXPECT_EQ(reads_, 2);
  store_answers_ = true;
  for (int i = 0; i < 3; ++i) {
    See(2);
    Wait(2 * kDelay);
  }
  EXPECT_EQ(reads_, 3);
}

}  // namespace
}  // namespace siskinrack::mesh
