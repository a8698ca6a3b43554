#include <gtest/gtest.h>

#include <atomic>
#include <thread>

#include "siskinrack/net/peer.h"

namespace siskinrack::net {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kIdle{100};
constexpr milliseconds kWait{2'000};

/// A server that answers probes and a pool that dials it.
class peer_pool_links : public testing::Test {
 protected:
  peer_pool_links()
      : server_(runtime_, server_context_, {.address = {"127.0.0.1", 0}},
                [this](const wire::envelope_t&, cancellation&) {
                  ++requests_;
                  if (slow_) SleepFor(3 * kIdle);
                  return std::optional(wire::MakeEnvelope(wire::probe_reply_t{}));
                }),
        pool_(runtime_, pool_context_, {.idle_timeout = kIdle}) {
    pool_.OnLinkBroken([this](const support::socket_address&) { ++broken_; });
    EXPECT_EQ(server_.Start(), "");
  }

  bool Probe() {
    bool answered = false;
    runtime_.Run(0, [&] {
      const auto deadline = std::chrono::steady_clock::now() + kWait;
      const support::socket_address address{"127.0.0.1", server_.port()};
      answered =
          pool_.Request(address, wire::MakeEnvelope(wire::probe_request_t{}), deadline).reply !=
          nullptr;
    });
    return answered;
  }

  void WaitForBroken(int count) {
    const auto end = std::chrono::steady_clock::now() + kWait;
    while (broken_ < count && std::chrono::steady_clock::now() < end) {
      std::this_thread::sleep_for(milliseconds(1));
    }
  }

  support::hybrid_clock clock_;
  traffic_counters traffic_;
  peer_context server_context_{"server", &clock_, &traffic_, ""};
  peer_context pool_context_{"pool", &clock_, &traffic_, ""};
  fiber_runtime runtime_{1};
  std::atomic<int> requests_ = 0;
  std::atomic<int> broken_ = 0;
  std::atomic<bool> slow_ = false;
  peer_server server_;
  peer_pool pool_;
};

// Guards against a dead peer that is noticed only by the next exchange with it.
TEST_F(peer_pool_links, ReportsABrokenLink) {
  EXPECT_TRUE(Probe());
  server_.Stop();
  WaitForBroken(1);
  EXPECT_EQ(broken_, 1);
  pool_.Stop();
}

// Guards against links that stay open for ever in a large mesh, against an idle link that is taken
// for a failure, and against a link closed under a request that takes long.
TEST_F(peer_pool_links, ClosesIdleLinksOnly) {
  slow_ = true;
  EXPECT_TRUE(Probe());
  EXPECT_EQ(requests_, 1);
  std::this_thread::sleep_for(3 * kIdle);
  // A link that were still open would break now.
  server_.Stop();
  std::this_thread::sleep_for(kIdle);
  EXPECT_EQ(broken_, 0);
  pool_.Stop();
}

}  // namespace
}  // namespace siskinrack::net
