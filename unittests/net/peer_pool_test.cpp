#include <gtest/gtest.h>

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
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
                  if (fail_next_.exchange(false)) throw std::runtime_error("handler failed");
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
  std::atomic<bool> fail_next_ = false;
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

// Guards against a failing handler that closes the link, which ended every other request on it with
// an unknown outcome.
TEST_F(peer_pool_test, HandlerFailureEndsOnlyItsRequest) {
  EXPECT_TRUE(Probe());
  delay_replies_ = true;
  std::atomic<bool> other_replied = false;
  std::thread other([&] { other_replied = Probe(); });
  while (requests_ < 2) std::this_thread::sleep_for(milliseconds(1));
  fail_next_ = true;
  peer_result failed;
  runtime_.Run(0, [&] {
    failed =
        pool_.Request({"127.0.0.1", server_.port()}, wire::MakeEnvelope(wire::call_request_t{}),
                      std::chrono::steady_clock::now() + kWaitLimit);
  });
  other.join();
  EXPECT_TRUE(other_replied);
  EXPECT_EQ(broken_links_, 0);
  ASSERT_NE(failed.reply, nullptr) << failed.error;
  const auto* answer = failed.reply->message.Ascall_answer();
  ASSERT_NE(answer, nullptr);
  EXPECT_EQ(answer->outcome, wire::outcome_kind::unknown);
  pool_.Stop();
  server_.Stop();
}

/// Dials a peer that never reads, so that the first large frame blocks the link.
class blocked_link_test : public testing::Test {
 protected:
  /// Exceeds the send and receive buffers that the kernel grants to a connection.
  static constexpr std::size_t kBlockingBytes = 12U << 20U;

  /// Starts a request in a fiber of its own and waits until its frame is queued. `result` is set
  /// when the request ends.
  void StartRequest(std::size_t bytes, std::optional<peer_result>& result,
                    cancellation* recall = nullptr) {
    const std::uint64_t before = traffic_.bytes_sent(wire::message::call_request);
    runtime_.Post(0, [this, bytes, recall, &result] {
      wire::call_request_t call;
      call.body.resize(bytes);
      const support::socket_address address{"127.0.0.1", acceptor_.local_endpoint().port()};
      result = pool_.Request(address, wire::MakeEnvelope(std::move(call)),
                             std::chrono::steady_clock::now() + 2 * kWaitLimit, nullptr, recall);
      ++ended_;
    });
    const auto end = std::chrono::steady_clock::now() + kWaitLimit;
    while (traffic_.bytes_sent(wire::message::call_request) == before &&
           std::chrono::steady_clock::now() < end) {
      std::this_thread::sleep_for(milliseconds(1));
    }
    // Runs behind the fiber that counted the frame, so the frame is queued by then.
    runtime_.Run(0, [] {});
  }

  void AwaitEnded(int count) {
    const auto end = std::chrono::steady_clock::now() + 2 * kWaitLimit;
    while (ended_ < count && std::chrono::steady_clock::now() < end) {
      std::this_thread::sleep_for(milliseconds(1));
    }
    ASSERT_GE(ended_, count);
  }

  boost::asio::io_context io_;
  boost::asio::ip::tcp::acceptor acceptor_{io_, {boost::asio::ip::make_address("127.0.0.1"), 0}};
  support::hybrid_clock clock_;
  traffic_counters traffic_;
  peer_context context_{"pool", &clock_, &traffic_, ""};
  fiber_runtime runtime_{1};
  peer_pool pool_{runtime_, context_};
  std::atomic<int> ended_ = 0;
};

// Guards against a request that was sent and is reported as not sent because its own cancellation
// still waits in the queue of the link: the caller was told that a request which ran had not run.
TEST_F(blocked_link_test, QueuedCancellationIsNotTakenForTheRequest) {
  std::optional<peer_result> sent;
  std::optional<peer_result> blocking;
  cancellation recall;
  StartRequest(1, sent, &recall);
  StartRequest(kBlockingBytes, blocking);
  recall.Cancel();
  AwaitEnded(1);
  pool_.Stop();
  AwaitEnded(2);
  EXPECT_EQ(sent->stage, exchange_stage::kSent) << sent->error;
  EXPECT_EQ(blocking->stage, exchange_stage::kSent) << blocking->error;
}

// Guards against a withdrawn request that stays in the queue and is sent later, or that is reported
// as sent although its frame never left the queue.
TEST_F(blocked_link_test, RecalledRequestLeavesTheQueue) {
  std::optional<peer_result> blocking;
  std::optional<peer_result> queued;
  cancellation recall;
  StartRequest(kBlockingBytes, blocking);
  StartRequest(1, queued, &recall);
  recall.Cancel();
  AwaitEnded(1);
  pool_.Stop();
  AwaitEnded(2);
  EXPECT_EQ(queued->stage, exchange_stage::kNotSent) << queued->error;
  EXPECT_EQ(blocking->stage, exchange_stage::kSent) << blocking->error;
}

}  // namespace
}  // namespace siskinrack::net
