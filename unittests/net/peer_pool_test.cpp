#include <gtest/gtest.h>

#include <atomic>
#include <thread>

#include "siskinrack/net/peer.h"

namespace siskinrack::net {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kIdleTimeout{100};
constexpr milliseconds kWaitLimit{2'000};

/// Runs a server that replies to probes and a pool that dials it, and counts broken links.
class peer_pool_test : public testing::Test {
 protected:
  peer_pool_test()
      : server_(runtime_, server_context_, {.address = {"127.0.0.1", 0}},
                [this](const wire::envelope_t&, cancellation&) {
                  ++requests_;
                  if (delay_replies_) SleepFor(3 * kIdleTimeout);
                  return std::optional(wire::MakeEnvelope(wire::probe_reply_t{}));
                }),
        pool_(runtime_, pool_context_, {.idle_timeout = kIdleTimeout}) {
    pool_.OnLinkBroken([this](const support::socket_address&) { ++broken_links_; });
    EXPECT_EQ(server_.Start(), "");
  }

  bool Probe() {
    bool replied = false;
    runtime_.Run(0, [&] {
      const auto deadline = std::chrono::steady_clock::now() + kWaitLimit;
      const support::socket_address address{"127.0.0.1", server_.port()};
      replied =
          pool_.Request(address, wire::MakeEnvelope(wire::probe_request_t{}), deadline).reply !=
          nullptr;
    });
    return replied;
  }

  void WaitForBrokenLinks(int count) {
    const auto end = std::chrono::steady_clock::now() + kWaitLimit;
    while (broken_links_ < count && std::chrono::steady_clock::now() < end) {
      std::this_thread::sleep_for(milliseconds(1));
    }
  }

  support::hybrid_clock clock_;
  traffic_counters traffic_;
  peer_context server_context_{"server", &clock_, &traffic_, ""};
  peer_context pool_context_{"pool", &clock_, &traffic_, ""};
  fiber_runtime runtime_{1};
  std::atomic<int> requests_ = 0;
  std::atomic<int> broken_links_ = 0;
  std::atomic<bool> delay_replies_ = false;
  peer_server server_;
  peer_pool pool_;
};

// Guards against a failed peer that is detected only by the next request to it.
TEST_F(peer_pool_test, ReportsABrokenLink) {
  EXPECT_TRUE(Probe());
  server_.Stop();
  WaitForBrokenLinks(1);
  EXPECT_EQ(broken_links_, 1);
  pool_.Stop();
}

// Guards against links that stay open forever in a large mesh, an idle link that is reported as
// broken, and a link that is closed during a long request.
TEST_F(peer_pool_test, ClosesIdleLinksOnly) {
  delay_replies_ = true;
  EXPECT_TRUE(Probe());
  EXPECT_EQ(requests_, 1);
  std::this_thread::sleep_for(3 * kIdleTimeout);
  // A link that is still open would be reported as broken now.
  server_.Stop();
  std::this_thread::sleep_for(kIdleTimeout);
  EXPECT_EQ(broken_links_, 0);
  pool_.Stop();
}

}  // namespace
}  // namespace siskinrack::net
