#include <gtest/gtest.h>

#include <array>
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <thread>
#include <vector>

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

/// Dials a peer that reads and replies only when the test says so.
class silent_peer_test : public testing::Test {
 protected:
  static constexpr milliseconds kDeadline{20'000};

  void StartRequest(silence_policy silence, std::optional<peer_result>& result) {
    const std::uint64_t before = traffic_.bytes_sent(wire::message::call_request);
    runtime_.Post(0, [this, silence, &result] {
      result =
          pool_.Request({"127.0.0.1", acceptor_.local_endpoint().port()},
                        wire::MakeEnvelope(wire::call_request_t{}),
                        std::chrono::steady_clock::now() + kDeadline, nullptr, nullptr, silence);
      ++ended_;
    });
    while (traffic_.bytes_sent(wire::message::call_request) == before) {
      std::this_thread::sleep_for(milliseconds(1));
    }
    runtime_.Run(0, [] {});
  }
  void AwaitEnded(int count) {
    const auto end = std::chrono::steady_clock::now() + kDeadline;
    while (ended_ < count && std::chrono::steady_clock::now() < end) {
      std::this_thread::sleep_for(milliseconds(1));
    }
    ASSERT_GE(ended_, count);
  }
  /// Reads frames up to the next request and returns the encoded reply to it. Returns an empty text
  /// and sets `error` if the other side closes the connection before.
  static std::string AwaitRequest(boost::asio::ip::tcp::socket& peer,
                                  boost::system::error_code& error) {
    while (true) {
      std::array<std::uint8_t, wire::kLengthPrefixBytes> prefix{};
      boost::asio::read(peer, boost::asio::buffer(prefix), error);
      if (error) return {};
      std::vector<std::uint8_t> bytes(wire::DecodeLength(prefix).value());
      boost::asio::read(peer, boost::asio::buffer(bytes), error);
      if (error) return {};
      const auto message = wire::DecodeEnvelope(bytes);
      if (message->message.Ascall_request() == nullptr) continue;
      wire::envelope_t reply = wire::MakeEnvelope(wire::call_answer_t{});
      reply.correlation_id = message->correlation_id;
      reply.is_reply = true;
      return wire::EncodeFrame(reply);
    }
  }
  /// Replies to each request until the other side closes the connection. Returns the error of the
  /// last read or write.
  static boost::system::error_code ServePeer(boost::asio::ip::tcp::socket& peer) {
    boost::system::error_code error;
    while (!error) {
      const std::string reply = AwaitRequest(peer, error);
      if (!error) boost::asio::write(peer, boost::asio::buffer(reply), error);
    }
    return error;
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

// Guards against an at-most-once request that runs and whose answer is replaced by a failure
// because its peer was silent for a while, long before the deadline.
TEST_F(silent_peer_test, RequestThatMustNotBeRepeatedWaitsOn) {
  std::optional<peer_result> patient;
  std::optional<peer_result> impatient;
  StartRequest(silence_policy::kAwaitReply, patient);
  StartRequest(silence_policy::kGiveUp, impatient);
  boost::asio::ip::tcp::socket peer = acceptor_.accept();
  AwaitEnded(1);
  EXPECT_EQ(impatient->stage, exchange_stage::kSent) << impatient->error;
  std::thread server([&] { ServePeer(peer); });
  AwaitEnded(2);
  EXPECT_EQ(patient->stage, exchange_stage::kAnswered) << patient->error;
  pool_.Stop();
  server.join();
}

// Guards against new requests on a link whose peer is silent.
TEST_F(silent_peer_test, NewRequestsUseAnotherLink) {
  std::optional<peer_result> patient;
  std::optional<peer_result> impatient;
  std::optional<peer_result> later;
  StartRequest(silence_policy::kAwaitReply, patient);
  StartRequest(silence_policy::kGiveUp, impatient);
  boost::asio::ip::tcp::socket first = acceptor_.accept();
  // Ends when the silence is noticed, however long that takes on a slow machine.
  AwaitEnded(1);
  StartRequest(silence_policy::kGiveUp, later);
  boost::asio::ip::tcp::socket second = acceptor_.accept();
  std::thread server([&] { ServePeer(second); });
  AwaitEnded(2);
  EXPECT_EQ(later->stage, exchange_stage::kAnswered) << later->error;
  boost::system::error_code ignored;
  first.close(ignored);
  AwaitEnded(3);
  EXPECT_EQ(patient->stage, exchange_stage::kSent);
  pool_.Stop();
  server.join();
}

// Guards against a request that is given up and reaches its upstream afterwards: an orderly close
// still delivers bytes that were held up on the way.
TEST_F(silent_peer_test, LinkWithARequestThatWasGivenUpIsReset) {
  std::optional<peer_result> result;
  StartRequest(silence_policy::kGiveUp, result);
  boost::asio::ip::tcp::socket peer = acceptor_.accept();
  AwaitEnded(1);
  EXPECT_EQ(result->stage, exchange_stage::kSent) << result->error;
  std::array<char, 4'096> bytes{};
  boost::system::error_code error;
  while (!error) peer.read_some(boost::asio::buffer(bytes), error);
  EXPECT_EQ(error, boost::asio::error::connection_reset) << error.message();
  pool_.Stop();
}

// Guards against a reset of a link whose requests were all answered.
TEST_F(silent_peer_test, LinkWithoutOpenRequestsIsClosedInOrder) {
  std::optional<peer_result> result;
  StartRequest(silence_policy::kGiveUp, result);
  boost::asio::ip::tcp::socket peer = acceptor_.accept();
  boost::system::error_code error;
  std::thread server([&] { error = ServePeer(peer); });
  AwaitEnded(1);
  pool_.Stop();
  server.join();
  EXPECT_EQ(error, boost::asio::error::eof) << error.message();
}

// Guards against a part of a reply that counts as one.
TEST_F(silent_peer_test, TruncatedReplyIsNoReply) {
  int ended = 0;
  for (const bool reset : {false, true}) {
    for (const std::size_t missing : {1, 8, 1'000}) {
      std::optional<peer_result> result;
      StartRequest(silence_policy::kAwaitReply, result);
      boost::asio::ip::tcp::socket peer(io_);
      acceptor_.accept(peer);
      boost::system::error_code error;
      std::string reply = AwaitRequest(peer, error);
      ASSERT_FALSE(error) << error.message();
      reply.resize(reply.size() - std::min(missing, reply.size()));
      boost::asio::write(peer, boost::asio::buffer(reply));
      if (reset) peer.set_option(boost::asio::socket_base::linger(true, 0));
      peer.close();
      AwaitEnded(++ended);
      EXPECT_EQ(result->stage, exchange_stage::kSent) << result->error;
      EXPECT_EQ(result->reply, nullptr);
      EXPECT_FALSE(result->timed_out);
    }
  }
  pool_.Stop();
}

}  // namespace
}  // namespace siskinrack::net
