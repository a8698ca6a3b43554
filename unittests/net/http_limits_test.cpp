#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <thread>

#include "siskinrack/net/http_client.h"
#include "siskinrack/net/http_server.h"

namespace siskinrack::net {
namespace {

using std::chrono::milliseconds;

/// Connection of a client that sends raw bytes.
class raw_connection {
 public:
  explicit raw_connection(std::uint16_t port) : socket_(socket(AF_INET, SOCK_STREAM, 0)) {
    constexpr timeval kTimeout{10, 0};
    setsockopt(socket_, SOL_SOCKET, SO_RCVTIMEO, &kTimeout, sizeof kTimeout);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    EXPECT_EQ(connect(socket_, reinterpret_cast<sockaddr*>(&address), sizeof address), 0);
  }
  ~raw_connection() { close(socket_); }
  raw_connection(const raw_connection&) = delete;
  raw_connection& operator=(const raw_connection&) = delete;

  void Send(const std::string& bytes) const {
    EXPECT_EQ(send(socket_, bytes.data(), bytes.size(), MSG_NOSIGNAL),
              static_cast<ssize_t>(bytes.size()));
  }
  /// Returns what the server sends until it closes the connection.
  [[nodiscard]] std::string ReceiveAll() const {
    std::string response;
    char buffer[4096];
    for (ssize_t size = 0; (size = recv(socket_, buffer, sizeof buffer, 0)) > 0;) {
      response.append(buffer, static_cast<std::size_t>(size));
    }
    return response;
  }
  /// Returns what the server sends up to the end of one response with the body `body`.
  [[nodiscard]] std::string ReceiveUntil(const std::string& body) const {
    std::string response;
    char buffer[4096];
    while (!response.ends_with(body)) {
      const auto size = recv(socket_, buffer, sizeof buffer, 0);
      if (size <= 0) break;
      response.append(buffer, static_cast<std::size_t>(size));
    }
    return response;
  }

 private:
  int socket_;
};

/// Runs a server on one thread with room for 300 kB of bodies and three connections. It echoes the
/// body of a request.
class http_limits_test : public testing::Test {
 protected:
  void SetUp() override { ASSERT_EQ(server_.Start(), ""); }
  void TearDown() override { server_.Stop(); }

  static std::string MakeHead(std::size_t body_bytes) {
    return "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: " + std::to_string(body_bytes) +
           "\r\n\r\n";
  }
  /// Waits up to 10 s until `check` returns true.
  template <typename Check>
  static bool Eventually(Check check) {
    for (int i = 0; i < 1'000 && !check(); ++i) std::this_thread::sleep_for(milliseconds(10));
    return check();
  }

  memory_budget memory_{{.total = 400'000, .reserve = 100'000, .small_charge = 50'000}};
  limit_counters limits_;
  fiber_runtime runtime_{1};
  http_server server_{runtime_,
                      {.address = {"127.0.0.1", 0},
                       .limits = {.body_bytes = 250'000},
                       .max_connections = 3,
                       .memory = &memory_,
                       .client_limits = &limits_},
                      [](const http_request& request, cancellation&) {
                        return http_response{200, {}, request.body};
                      }};
};

// Guards against memory that stays charged after requests and connections have ended.
TEST_F(http_limits_test, ChargesAreGivenBack) {
  {
    const raw_connection client(server_.port());
    for (const std::size_t size : {200'000U, 5U, 0U, 100'000U}) {
      client.Send(MakeHead(size) + std::string(size, 'x'));
      EXPECT_TRUE(
          client.ReceiveUntil("\r\n\r\n" + std::string(size, 'x')).starts_with("HTTP/1.1 200"));
    }
    EXPECT_TRUE(Eventually([&] {
      return memory_.used(memory_use::kRequestBody) + memory_.used(memory_use::kResponseBody) == 0;
    }));
    EXPECT_GT(memory_.used(memory_use::kConnection), 0U);
  }
  EXPECT_TRUE(Eventually([&] { return memory_.used() == 0; }));
}

// Guards against a refusal that promises too little: the request was not run.
TEST_F(http_limits_test, BodyWithoutMemoryIsRefusedAsNotRunWhileSmallRequestsAreServed) {
  memory_charge other(&memory_, memory_use::kFrame);
  ASSERT_TRUE(other.Resize(200'000));
  const raw_connection large(server_.port());
  large.Send(MakeHead(200'000));
  const raw_connection small(server_.port());
  small.Send(MakeHead(5) + "order");
  EXPECT_TRUE(small.ReceiveUntil("order").starts_with("HTTP/1.1 200"));
  // The client goes on sending before it reads the refusal.
  large.Send(std::string(200'000, 'x'));
  const std::string refusal = large.ReceiveAll();
  EXPECT_TRUE(refusal.starts_with("HTTP/1.1 503")) << refusal;
  EXPECT_NE(refusal.find("Retry-After: "), std::string::npos) << refusal;
  EXPECT_NE(refusal.find("x-siskinrack-outcome: not-run"), std::string::npos) << refusal;
  EXPECT_EQ(limits_.count(client_limit::kMemory), 1U);
}

// Guards against uploads that stop and hold the memory that other requests need.
TEST_F(http_limits_test, StalledBodyGivesWayToAnotherRequest) {
  const raw_connection stalled(server_.port());
  stalled.Send(MakeHead(200'000) + "begin");
  ASSERT_TRUE(Eventually([&] { return memory_.used(memory_use::kRequestBody) == 200'000; }));
  const raw_connection next(server_.port());
  next.Send(MakeHead(150'000) + std::string(150'000, 'x'));
  EXPECT_TRUE(next.ReceiveUntil(std::string(150'000, 'x')).starts_with("HTTP/1.1 200"));
  EXPECT_TRUE(stalled.ReceiveAll().starts_with("HTTP/1.1 408"));
  EXPECT_EQ(limits_.count(client_limit::kStalledRequest), 1U);
}

// Guards against idle connections that keep new callers out.
TEST_F(http_limits_test, LongestIdleConnectionMakesRoom) {
  const raw_connection oldest(server_.port());
  oldest.Send(MakeHead(1) + "a");
  ASSERT_TRUE(oldest.ReceiveUntil("a").starts_with("HTTP/1.1 200"));
  const raw_connection second(server_.port());
  second.Send(MakeHead(1) + "b");
  ASSERT_TRUE(second.ReceiveUntil("b").starts_with("HTTP/1.1 200"));
  const raw_connection third(server_.port());
  third.Send(MakeHead(1) + "c");
  ASSERT_TRUE(third.ReceiveUntil("c").starts_with("HTTP/1.1 200"));
  const raw_connection newest(server_.port());
  newest.Send(MakeHead(1) + "d");
  EXPECT_TRUE(newest.ReceiveUntil("d").starts_with("HTTP/1.1 200"));
  EXPECT_EQ(oldest.ReceiveAll(), "");
  second.Send(MakeHead(1) + "e");
  EXPECT_TRUE(second.ReceiveUntil("e").starts_with("HTTP/1.1 200"));
  EXPECT_EQ(limits_.count(client_limit::kConnections), 1U);
}

// Guards against a trailer section that is buffered without a bound.
TEST_F(http_limits_test, FramingWithoutEndIsRefused) {
  const raw_connection client(server_.port());
  std::string trailers;
  for (int i = 0; i < 6'000; ++i) trailers += "A: b\r\n";
  client.Send("POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n" +
              trailers);
  EXPECT_TRUE(client.ReceiveAll().starts_with("HTTP/1.1 431"));
  EXPECT_EQ(limits_.count(client_limit::kSize), 1U);
}

// Guards against response bodies of a client that exceed the budget of the process.
TEST_F(http_limits_test, ResponseWithoutMemoryFails) {
  memory_budget small({.total = 150'000, .reserve = 0, .small_charge = 1'000});
  http_client client(runtime_, 4, std::numeric_limits<std::size_t>::max(), &small);
  const support::socket_address address{"127.0.0.1", server_.port()};
  runtime_.Run(0, [&] {
    const auto deadline = std::chrono::steady_clock::now() + milliseconds(10'000);
    const auto fits = client.Send(address, {"POST", "/", {}, std::string(50'000, 'x')}, deadline);
    EXPECT_EQ(fits.response.body.size(), 50'000U);
    const auto large = client.Send(address, {"POST", "/", {}, std::string(200'000, 'x')}, deadline);
    EXPECT_EQ(large.stage, exchange_stage::kSent);
    http_request request{"POST", "/", {}, {}};
    const std::string body = "owned elsewhere";
    request.body_view = body;
    EXPECT_EQ(client.Send(address, std::move(request), deadline).response.body, body);
    client.CloseIdle();
  });
  EXPECT_EQ(small.used(), 0U);
}

}  // namespace
}  // namespace siskinrack::net
