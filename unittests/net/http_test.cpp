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

int Connect(std::uint16_t port) {
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  EXPECT_EQ(connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address), 0);
  return fd;
}

/// Sends raw bytes on a connection and returns all received data once the server closes it.
std::string SendAndReceiveAll(int fd, const std::string& bytes) {
  EXPECT_EQ(send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL), static_cast<ssize_t>(bytes.size()));
  std::string response;
  char buffer[4096];
  for (ssize_t size = 0; (size = recv(fd, buffer, sizeof buffer, 0)) > 0;) {
    response.append(buffer, static_cast<std::size_t>(size));
  }
  close(fd);
  return response;
}

std::string SendAndReceiveAll(std::uint16_t port, const std::string& bytes) {
  return SendAndReceiveAll(Connect(port), bytes);
}

/// Runs a server that echoes target and body and takes 100 ms for the target /slow.
class http_server_test : public testing::Test {
 protected:
  void SetUp() override { ASSERT_EQ(server_.Start(), ""); }
  void TearDown() override { server_.Stop(); }

  fiber_runtime runtime_{2};
  http_server server_{runtime_,
                      {.address = {"127.0.0.1", 0}, .limits = {.body_bytes = 1000}},
                      [](const http_request& request, cancellation&) {
                        if (request.target == "/slow") SleepFor(milliseconds(100));
                        return http_response{200, {}, request.target + request.body};
                      }};
};

// Guards against responses in the wrong order on one connection: the first request takes longer
// than the second.
TEST_F(http_server_test, PipelinedRequestsAreAnsweredInOrder) {
  const std::string response =
      SendAndReceiveAll(server_.port(),
                        "GET /slow HTTP/1.1\r\nHost: x\r\n\r\nGET /b "
                        "HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
  const std::size_t first = response.find("/slow");
  const std::size_t second = response.find("/b");
  ASSERT_NE(first, std::string::npos) << response;
  ASSERT_NE(second, std::string::npos) << response;
  EXPECT_LT(first, second);
}

// Guards against request smuggling: other HTTP implementations may interpret this framing
// differently. A lenient parser accepts `xchunked`, a folded line and a missing Host, for example.
TEST_F(http_server_test, FramingThatIsNotStrictlyDefinedIsRefused) {
  const std::string smuggled = "GET /hidden HTTP/1.1\r\nHost: x\r\n\r\n";
  const std::string post = "POST /a HTTP/1.1\r\n";
  for (const std::string& header :
       {std::string("Host: x\r\nTransfer-Encoding: xchunked\r\n"),
        std::string("Host: x\r\nTransfer-Encoding: gzip, chunked\r\n"),
        std::string("Host: x\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n"),
        std::string("Host: x\r\nTransfer-Encoding: chunked\r\nContent-Length: 4\r\n"),
        std::string("Host: x\r\nContent-Length: 4\r\nContent-Length: 4\r\n"),
        std::string("Host: x\r\nContent-Length: +4\r\n"), std::string("Content-Length: 0\r\n"),
        std::string("Host: x\r\nHost: y\r\n"), std::string("Host: x\r\nA: b\r\n c\r\n"),
        std::string("Host: x\r\nA: b\nContent-Length: 4\r\n")}) {
    const std::string response =
        SendAndReceiveAll(server_.port(), post + header + "\r\n" + smuggled);
    EXPECT_TRUE(response.starts_with("HTTP/1.1 400")) << header << response;
    EXPECT_EQ(response.find("/hidden"), std::string::npos) << header << response;
  }
}

// Guards against a shutdown that drops requests in transit, on an idle connection and on a new one.
TEST_F(http_server_test, DrainingServerAnswersAndCloses) {
  const std::string request = "GET /b HTTP/1.1\r\nHost: x\r\n\r\n";
  const int idle = Connect(server_.port());
  std::this_thread::sleep_for(milliseconds(20));
  server_.Drain();
  std::this_thread::sleep_for(milliseconds(20));
  for (const std::string& response :
       {SendAndReceiveAll(idle, request), SendAndReceiveAll(server_.port(), request)}) {
    EXPECT_TRUE(response.starts_with("HTTP/1.1 200")) << response;
    EXPECT_NE(response.find("Connection: close"), std::string::npos) << response;
  }
}

TEST_F(http_server_test, ChunkedBodyIsReadCompletely) {
  const std::string response = SendAndReceiveAll(
      server_.port(),
      "POST /c HTTP/1.1\r\nHost: x\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n"
      "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
  EXPECT_NE(response.find("/cabcde"), std::string::npos) << response;
}

TEST_F(http_server_test, BodyOverTheLimitGets413) {
  const std::string response = SendAndReceiveAll(
      server_.port(), "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 100000\r\n\r\n");
  EXPECT_TRUE(response.starts_with("HTTP/1.1 413")) << response;
}

TEST_F(http_server_test, HeadersOverTheLimitGet431) {
  const std::string response = SendAndReceiveAll(
      server_.port(), "GET / HTTP/1.1\r\nX: " + std::string(20'000, 'x') + "\r\n\r\n");
  EXPECT_TRUE(response.starts_with("HTTP/1.1 431")) << response;
}

TEST_F(http_server_test, MalformedRequestGets400WithNotRunField) {
  const std::string response = SendAndReceiveAll(server_.port(), "BAD\r\n\r\n");
  EXPECT_TRUE(response.starts_with("HTTP/1.1 400")) << response;
  EXPECT_NE(response.find("x-siskinrack-outcome: not-run"), std::string::npos) << response;
}

// Guards against a request being reported as not sent although it may have reached the server.
TEST_F(http_server_test, TimeoutAfterSendingIsReportedAsSent) {
  http_client client(runtime_);
  const support::socket_address address{"127.0.0.1", server_.port()};
  runtime_.Run(0, [&] {
    const auto now = std::chrono::steady_clock::now();
    const auto late = client.Send(address, {"GET", "/slow", {}, {}}, now + milliseconds(30));
    EXPECT_EQ(late.stage, exchange_stage::kSent);
    EXPECT_TRUE(late.timed_out);
    const auto refused = client.Send({"127.0.0.1", 1}, {}, now + milliseconds(500));
    EXPECT_EQ(refused.stage, exchange_stage::kNotSent);
    const auto next = client.Send(address, {"GET", "/b", {}, {}}, now + milliseconds(2000));
    EXPECT_EQ(next.response.body, "/b");
    client.CloseIdle();
  });
}

/// Runs a server on one thread on which requests may overlap unless their target begins with
/// /once. Requests to /wait are answered after Release; /close as well, but closes the connection
/// by a request that asks for it.
class overlapping_requests_test : public testing::Test {
 protected:
  void SetUp() override { ASSERT_EQ(server_.Start(), ""); }
  void TearDown() override {
    released_ = true;
    server_.Stop();
  }

  http_response Handle(const http_request& request, const cancellation& cancel) {
    ++started_;
    if (request.target == "/wait") {
      while (!released_ && !cancel.cancelled()) SleepFor(milliseconds(1));
      if (cancel.cancelled()) ++cancelled_;
    }
    return {200, {}, request.target};
  }

  /// Waits up to 10 s until `count` requests have reached the handler.
  bool AwaitStarted(int count) const {
    for (int i = 0; i < 10'000 && started_ < count; ++i) {
      std::this_thread::sleep_for(milliseconds(1));
    }
    return started_ >= count;
  }

  static std::string MakeRequest(const std::string& target, const std::string& fields = {}) {
    return "GET " + target + " HTTP/1.1\r\nHost: x\r\n" + fields + "\r\n";
  }

  static void Send(int fd, const std::string& bytes) {
    ASSERT_EQ(send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL),
              static_cast<ssize_t>(bytes.size()));
  }

  std::atomic<bool> released_ = false;
  std::atomic<int> started_ = 0;
  std::atomic<int> cancelled_ = 0;
  fiber_runtime runtime_{1};
  http_server server_{
      runtime_,
      {.address = {"127.0.0.1", 0},
       .may_overlap =
           [](const http_request& request) { return !request.target.starts_with("/once"); },
       .max_overlapping = 3},
      [this](const http_request& request, const cancellation& cancel) {
        return Handle(request, cancel);
      }};
};

// Guards against a request that waits for the ones before it on its connection, though it could run
// at the same time.
TEST_F(overlapping_requests_test, RunTogetherAndAreAnsweredInOrder) {
  const int fd = Connect(server_.port());
  Send(fd, MakeRequest("/wait"));
  ASSERT_TRUE(AwaitStarted(1));
  Send(fd, MakeRequest("/second"));
  ASSERT_TRUE(AwaitStarted(2)) << "the second request waits for the first one";
  released_ = true;
  const std::string response =
      SendAndReceiveAll(fd, MakeRequest("/third", "Connection: close\r\n"));
  const std::size_t first = response.find("/wait");
  const std::size_t second = response.find("/second");
  const std::size_t third = response.find("/third");
  ASSERT_NE(third, std::string::npos) << response;
  EXPECT_LT(first, second);
  EXPECT_LT(second, third);
}

// Guards against a client that occupies a server with any number of requests that it doesn't wait
// for.
TEST_F(overlapping_requests_test, AreReadUpToALimit) {
  const int fd = Connect(server_.port());
  std::string requests;
  for (int i = 0; i < 5; ++i) requests += MakeRequest("/wait");
  Send(fd, requests);
  ASSERT_TRUE(AwaitStarted(3));
  std::this_thread::sleep_for(milliseconds(50));
  EXPECT_EQ(started_, 3);
  released_ = true;
  const std::string response = SendAndReceiveAll(fd, MakeRequest("/end", "Connection: close\r\n"));
  EXPECT_NE(response.find("/end"), std::string::npos) << response;
  EXPECT_EQ(started_, 6);
}

// Guards against running a request behind a response that closes the connection: its client sends
// it again.
TEST_F(overlapping_requests_test, RequestThatMustNotOverlapIsNotRunBehindAClosingResponse) {
  const int fd = Connect(server_.port());
  Send(fd, MakeRequest("/wait", "Connection: close\r\n") + MakeRequest("/once"));
  ASSERT_TRUE(AwaitStarted(1));
  std::this_thread::sleep_for(milliseconds(20));
  EXPECT_EQ(started_, 1) << "the request didn't wait for the one before it";
  released_ = true;
  const std::string response = SendAndReceiveAll(fd, "");
  EXPECT_NE(response.find("/wait"), std::string::npos) << response;
  EXPECT_EQ(response.find("/once"), std::string::npos) << response;
  EXPECT_EQ(started_, 1);
}

// Guards against work for a client that has left after it sent further requests.
TEST_F(overlapping_requests_test, DisconnectAfterFurtherRequestsCancelsAll) {
  const int fd = Connect(server_.port());
  Send(fd, MakeRequest("/wait") + MakeRequest("/wait"));
  ASSERT_TRUE(AwaitStarted(2));
  close(fd);
  for (int i = 0; i < 10'000 && cancelled_ < 2; ++i) {
    std::this_thread::sleep_for(milliseconds(1));
  }
  EXPECT_EQ(cancelled_, 2);
}

// Guards against a shutdown that drops requests which were read behind an open one.
TEST_F(overlapping_requests_test, DrainAnswersAllThatWasRead) {
  const int fd = Connect(server_.port());
  Send(fd, MakeRequest("/wait") + MakeRequest("/second"));
  ASSERT_TRUE(AwaitStarted(2));
  server_.Drain();
  released_ = true;
  const std::string response = SendAndReceiveAll(fd, "");
  EXPECT_NE(response.find("/wait"), std::string::npos) << response;
  EXPECT_NE(response.find("/second"), std::string::npos) << response;
  EXPECT_EQ(response.find("Connection: close"), response.rfind("Connection: close")) << response;
  EXPECT_LT(response.find("/wait"), response.find("Connection: close")) << response;
}

// Guards against an error response that is lost because the server closes the connection while
// further bytes of the request arrive.
TEST_F(http_server_test, ErrorResponseArrivesAlthoughTheClientGoesOnSending) {
  const std::string response = SendAndReceiveAll(
      server_.port(),
      "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 100000\r\n\r\n" + std::string(100'000, 'x'));
  EXPECT_TRUE(response.starts_with("HTTP/1.1 413")) << response;
}

}  // namespace
}  // namespace siskinrack::net
