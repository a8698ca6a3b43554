#include "siskinrack/net/http_client.h"

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <thread>
#include <vector>

#include "siskinrack/net/http_server.h"

namespace siskinrack::net {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

/// Bytes that the client may receive of a response without end: its body limit, and what the socket
/// buffers of both sides hold.
constexpr std::size_t kSocketBufferBytes = 12U << 20U;

/// Server that reads one request per connection and answers it with `first`, followed by `rest`
/// until the client closes the connection, or once if `endless` is false. Waits for `pause` before
/// each `rest`.
class raw_server {
 public:
  raw_server(std::string first, std::string rest, bool endless, milliseconds pause = {})
      : first_(std::move(first)), rest_(std::move(rest)), endless_(endless), pause_(pause) {
    listener_ = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    EXPECT_EQ(bind(listener_, reinterpret_cast<sockaddr*>(&address), size), 0);
    EXPECT_EQ(listen(listener_, 64), 0);
    getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &size);
    port_ = ntohs(address.sin_port);
    acceptor_ = std::thread([this] { Accept(); });
  }
  ~raw_server() {
    stopped_ = true;
    shutdown(listener_, SHUT_RDWR);
    acceptor_.join();
    for (std::thread& connection : connections_) connection.join();
    close(listener_);
  }
  raw_server(const raw_server&) = delete;
  raw_server& operator=(const raw_server&) = delete;

  [[nodiscard]] support::socket_address address() const { return {"127.0.0.1", port_}; }
  /// Returns the number of connections that were accepted.
  [[nodiscard]] int accepted() const { return accepted_; }
  /// Returns the number of bytes that were passed to the sockets.
  [[nodiscard]] std::size_t sent() const { return sent_; }

 private:
  void Accept() {
    for (int fd = 0; (fd = accept(listener_, nullptr, nullptr)) >= 0;) {
      ++accepted_;
      connections_.emplace_back([this, fd] { Serve(fd); });
    }
  }
  void Serve(int fd) {
    char request[4096];
    if (recv(fd, request, sizeof request, 0) > 0 && SendAll(fd, first_) && SendAll(fd, rest_)) {
      while (endless_ && !stopped_ && SendAll(fd, rest_)) {
      }
    }
    close(fd);
  }
  bool SendAll(int fd, const std::string& bytes) {
    if (pause_.count() > 0) std::this_thread::sleep_for(pause_);
    const ssize_t size = send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (size > 0) sent_ += static_cast<std::size_t>(size);
    return size == static_cast<ssize_t>(bytes.size());
  }

  std::string first_;
  std::string rest_;
  bool endless_;
  milliseconds pause_;
  int listener_ = -1;
  std::uint16_t port_ = 0;
  std::atomic<std::size_t> sent_ = 0;
  std::atomic<bool> stopped_ = false;
  std::atomic<int> accepted_ = 0;
  std::vector<std::thread> connections_;
  std::thread acceptor_;
};

class http_client_test : public testing::Test {
 protected:
  http_result Send(const raw_server& server, milliseconds timeout = milliseconds(5'000),
                   const exchange_options& options = {}) {
    http_result result;
    runtime_.Run(0, [&] {
      result = client_.Send(server.address(), {"GET", "/", {}, {}, "host"},
                            steady_clock::now() + timeout, nullptr, options);
    });
    return result;
  }

  fiber_runtime runtime_{1};
  http_client client_{runtime_};
};

struct endless_response {
  const char* name;
  std::string first;
  std::string rest;
};

class endless_response_test : public http_client_test,
                              public testing::WithParamInterface<endless_response> {};

// Guards against memory and time that a server without end takes: the client read until its
// deadline and kept what it read. The request may have run, so the result must be kSent.
TEST_P(endless_response_test, IsClosedWithinABoundOfBytes) {
  raw_server server(GetParam().first, GetParam().rest, /*endless=*/true);
  const auto started_at = steady_clock::now();
  const http_result result = Send(server, milliseconds(20'000));
  EXPECT_EQ(result.stage, exchange_stage::kSent);
  EXPECT_FALSE(result.timed_out);
  EXPECT_LT(steady_clock::now() - started_at, milliseconds(15'000));
  EXPECT_LT(server.sent(), kMaxResponseBytes + kSocketBufferBytes);
}

const std::string kOk = "HTTP/1.1 200 OK\r\n";
const std::string kManyBytes(16'384, 'x');

INSTANTIATE_TEST_SUITE_P(
    responses, endless_response_test,
    testing::Values(
        endless_response{"status_line", "HTTP/1.1 200 ", kManyBytes},
        endless_response{"field", kOk + "A: ", kManyBytes},
        endless_response{"fields", kOk, "A: b\r\n"},
        endless_response{"body_with_length", kOk + "Content-Length: 900000000000\r\n\r\n",
                         kManyBytes},
        endless_response{"body_without_length", kOk + "Connection: close\r\n\r\n", kManyBytes},
        endless_response{"chunks", kOk + "Transfer-Encoding: chunked\r\n\r\n",
                         "4000\r\n" + kManyBytes + "\r\n"},
        endless_response{"chunk_extension", kOk + "Transfer-Encoding: chunked\r\n\r\n1;",
                         kManyBytes},
        endless_response{"trailers", kOk + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "A: b\r\n"},
        endless_response{"interim_responses", "", "HTTP/1.1 100 Continue\r\n\r\n"},
        endless_response{"no_http", "", kManyBytes}),
    [](const auto& info) { return std::string(info.param.name); });

// Guards against responses to other requests without end on one connection.
TEST_F(http_client_test, EndlessResponsesToOtherRequestsAreClosed) {
  raw_server server("", kOk + "Content-Length: 1\r\nRequest-Id: other\r\n\r\nx", /*endless=*/true);
  const http_result result =
      Send(server, milliseconds(20'000),
           {.is_matching_response = [](const http_response&) { return false; }});
  EXPECT_EQ(result.stage, exchange_stage::kSent);
  EXPECT_FALSE(result.timed_out);
}

// Guards against the memory of many bodies without end at once: each is within its limit, but their
// sum exceeds the memory of a small VM.
TEST_F(http_client_test, BodiesReceivedAtOnceShareOneBudget) {
  constexpr int kExchanges = 20;
  constexpr std::size_t kBudget = 4U << 20U;
  raw_server server(kOk + "Connection: close\r\n\r\n", kManyBytes, /*endless=*/true);
  http_client client(runtime_, 4, kBudget);
  std::atomic<int> unknown = 0;
  std::atomic<int> ended = 0;
  for (int i = 0; i < kExchanges; ++i) {
    runtime_.Post(0, [&] {
      const auto result = client.Send(server.address(), {"GET", "/", {}, {}, "host"},
                                      steady_clock::now() + milliseconds(15'000));
      unknown += result.stage == exchange_stage::kSent && !result.timed_out;
      ++ended;
    });
  }
  while (ended < kExchanges) std::this_thread::sleep_for(milliseconds(5));
  EXPECT_EQ(unknown, kExchanges);
  EXPECT_LT(server.sent(), kBudget + kExchanges * kSocketBufferBytes);
}

struct broken_response {
  const char* name;
  std::string bytes;
};

class broken_response_test : public http_client_test,
                             public testing::WithParamInterface<broken_response> {};

// Guards against a response that breaks off halfway and counts as complete.
TEST_P(broken_response_test, IsNoAnswer) {
  raw_server server(GetParam().bytes, "", /*endless=*/false);
  EXPECT_EQ(Send(server).stage, exchange_stage::kSent);
}

INSTANTIATE_TEST_SUITE_P(
    responses, broken_response_test,
    testing::Values(broken_response{"header", kOk + "Content-Le"},
                    broken_response{"body", kOk + "Content-Length: 10\r\n\r\nhalf"},
                    broken_response{"chunk", kOk + "Transfer-Encoding: chunked\r\n\r\na\r\nhalf"},
                    broken_response{"last_chunk",
                                    kOk + "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"}),
    [](const auto& info) { return std::string(info.param.name); });

// Guards against a cancellation that arrives together with the response: the connection was reused
// and then closed while the next request was running on it.
TEST_F(http_client_test, CancelledExchangeDoesNotBreakTheNextRequest) {
  http_server server(runtime_, {.address = {"127.0.0.1", 0}},
                     [](const http_request& request, cancellation&) {
                       if (request.target == "/next") SleepFor(milliseconds(50));
                       return http_response{200, {}, request.target};
                     });
  ASSERT_EQ(server.Start(), "");
  http_result next;
  runtime_.Run(0, [&] {
    const support::socket_address address{"127.0.0.1", server.port()};
    const auto deadline = steady_clock::now() + milliseconds(2'000);
    cancellation cancel;
    const exchange_options cancel_on_response{.is_matching_response = [&](const http_response&) {
      cancel.Cancel();
      return true;
    }};
    client_.Send(address, {"GET", "/first", {}, {}, "host"}, deadline, &cancel, cancel_on_response);
    next = client_.Send(address, {"GET", "/next", {}, {}, "host"}, deadline);
  });
  EXPECT_EQ(next.stage, exchange_stage::kAnswered) << next.error;
  EXPECT_EQ(next.response.body, "/next");
  runtime_.Run(0, [&] { client_.CloseIdle(); });
  server.Stop();
}

// Guards against aborting a large response on a slow link again and again: a node on a busy link of
// 10 Mbit/s asked the store for the same configuration for 4 s.
TEST_F(http_client_test, DeadlineIsExtendedWhileTheResponseKeepsArriving) {
  const std::string head = kOk + "Content-Length: 40\r\n\r\n";
  raw_server server(head, "0123456789", /*endless=*/true, milliseconds(80));
  EXPECT_EQ(Send(server, milliseconds(200)).stage, exchange_stage::kSent);
  const http_result result =
      Send(server, milliseconds(200), {.progress_extension = milliseconds(5'000)});
  EXPECT_EQ(result.stage, exchange_stage::kAnswered) << result.error;
  EXPECT_EQ(result.response.body.size(), 40U);
}

// Guards against an extended deadline without a bound.
TEST_F(http_client_test, ExtensionOfTheDeadlineIsBounded) {
  raw_server server(kOk + "Content-Length: 4000\r\n\r\n", "0123456789", /*endless=*/true,
                    milliseconds(20));
  const auto started_at = steady_clock::now();
  const http_result result =
      Send(server, milliseconds(100), {.progress_extension = milliseconds(300)});
  EXPECT_TRUE(result.timed_out);
  EXPECT_LT(steady_clock::now() - started_at, milliseconds(3'000));
}

// Guards against an exception in one handler that ends the process and with it all other requests.
TEST_F(http_client_test, ThrowingHandlerFailsOneRequestOnly) {
  http_server server(runtime_, {.address = {"127.0.0.1", 0}},
                     [](const http_request& request, cancellation&) {
                       if (request.target == "/throw") throw std::bad_alloc();
                       return http_response{200, {}, request.target};
                     });
  ASSERT_EQ(server.Start(), "");
  std::vector<unsigned> statuses;
  runtime_.Run(0, [&] {
    for (const char* target : {"/throw", "/next"}) {
      const auto result =
          client_.Send({"127.0.0.1", server.port()}, {"GET", target, {}, {}, "host"},
                       steady_clock::now() + milliseconds(2'000));
      statuses.push_back(result.response.status);
    }
    client_.CloseIdle();
  });
  EXPECT_EQ(statuses, (std::vector<unsigned>{500, 200}));
  server.Stop();
}

// Guards against an exception of the HTTP library, which its callers don't expect, for a request
// that it refuses.
TEST_F(http_client_test, RequestThatCannotBeBuiltIsNotSent) {
  raw_server server(kOk + "Content-Length: 0\r\n\r\n", "", /*endless=*/false);
  const http_request trace{"TRACE", "/", {}, "body", "host"};
  const http_request no_method{"", "/", {}, {}, "host"};
  const http_request long_field{"GET", "/", {{"Name", std::string(70'000, 'x')}}, {}, "host"};
  const http_request long_name{"GET", "/", {{std::string(70'000, 'x'), "value"}}, {}, "host"};
  for (const http_request& request : {trace, no_method, long_field, long_name}) {
    EXPECT_TRUE(FindRequestProblem(request)) << request.method;
    http_result result;
    runtime_.Run(0, [&] {
      result = client_.Send(server.address(), request, steady_clock::now() + milliseconds(500));
    });
    EXPECT_EQ(result.stage, exchange_stage::kNotSent) << request.method;
    EXPECT_FALSE(result.error.empty());
  }
  EXPECT_FALSE(FindRequestProblem({"TRACE", "/", {}, {}, "host"}));
  EXPECT_FALSE(FindRequestProblem({"GET", "/", {}, "body", "host"}));
  EXPECT_EQ(server.accepted(), 0);
}

// Guards against a second copy of a response that arrives late, when the connection is in use
// again: the next request got it as its own response.
TEST_F(http_client_test, LateSecondCopyOfAResponseIsNotTheNextResponse) {
  const auto respond = [](const std::string& id) {
    return kOk + "Content-Length: 1\r\nRequest-Id: " + id + "\r\n\r\nx";
  };
  raw_server server(respond("first"), respond("first") + respond("second"), /*endless=*/false);
  for (const char* id : {"first", "second"}) {
    const http_result result = Send(server, milliseconds(500),
                                    {.is_matching_response = [&](const http_response& response) {
                                      return FindField(response.fields, "Request-Id") == id;
                                    }});
    if (result.stage != exchange_stage::kAnswered) continue;
    EXPECT_EQ(FindField(result.response.fields, "Request-Id"), id);
  }
}

TEST(ResponseMatch, IsDecidedByTheId) {
  const exchange_options optional{.request_id = "a", .id_field = "Id"};
  const exchange_options required{.request_id = "a", .id_field = "Id", .id_required = true};
  const exchange_options without_id{.id_field = "Id", .id_required = true};
  for (const exchange_options& options : {optional, required}) {
    EXPECT_EQ(MatchResponse({200, {{"id", "a"}}, {}}, options), response_match::kOwn);
    EXPECT_EQ(MatchResponse({200, {{"Id", "b"}}, {}}, options), response_match::kOther);
  }
  EXPECT_EQ(MatchResponse({200, {}, {}}, optional), response_match::kUnidentified);
  EXPECT_EQ(MatchResponse({200, {}, {}}, required), response_match::kOther);
  EXPECT_EQ(MatchResponse({400, {}, {}}, without_id), response_match::kUnidentified);
  EXPECT_EQ(MatchResponse({200, {{"Id", "b"}}, {}}, without_id), response_match::kOther);
  EXPECT_EQ(MatchResponse({200, {}, {}}, {}), response_match::kOwn);
}

// Guards against a late second copy of a response without an id that is taken for the next
// response: nothing tells them apart, so the connection must not be used again.
TEST_F(http_client_test, ConnectionIsNotReusedAfterAResponseWithoutAnId) {
  raw_server server(kOk + "Content-Length: 1\r\n\r\na", kOk + "Content-Length: 1\r\n\r\nb",
                    /*endless=*/false, milliseconds(100));
  for (const char* id : {"1", "2", "3"}) {
    const http_result result =
        Send(server, milliseconds(2'000), {.request_id = id, .id_field = "Id"});
    EXPECT_EQ(result.response.body, "a") << result.error;
  }
  EXPECT_EQ(server.accepted(), 3);
}

// Guards against one connection for each request to a server that identifies its responses.
TEST_F(http_client_test, ConnectionIsReusedAfterAResponseWithItsId) {
  http_server server(runtime_, {.address = {"127.0.0.1", 0}},
                     [](const http_request& request, cancellation&) {
                       const std::string id(FindField(request.fields, "Id"));
                       return http_response{200, {{"Id", id}}, {}};
                     });
  ASSERT_EQ(server.Start(), "");
  runtime_.Run(0, [&] {
    const support::socket_address address{"127.0.0.1", server.port()};
    for (const std::string id : {"1", "2", "3"}) {
      const auto result = client_.Send(address, {"GET", "/", {{"Id", id}}, {}, "host"},
                                       steady_clock::now() + milliseconds(2'000), nullptr,
                                       {.request_id = id, .id_field = "Id"});
      EXPECT_EQ(result.stage, exchange_stage::kAnswered) << result.error;
    }
    client_.CloseIdle();
  });
  server.Stop();
}

// Guards against a header section that breaks off, at any byte, and counts as a complete response
// with an empty or short body.
TEST_F(http_client_test, BrokenHeaderSectionIsNoAnswer) {
  const std::string fields = "Request-Id: r\r\nServer-Stamp: s\r\n";
  for (const std::string& interim : {std::string(), std::string("HTTP/1.1 100 Continue\r\n\r\n")}) {
    for (const std::string& length : {std::string(), std::string("Content-Length: 4\r\n")}) {
      const std::string header = kOk + fields + length + "\r\n";
      for (std::size_t size = 0; size < header.size(); ++size) {
        raw_server server(interim + header.substr(0, size), "", /*endless=*/false);
        EXPECT_EQ(Send(server).stage, exchange_stage::kSent) << interim + header.substr(0, size);
      }
    }
  }
}

// Guards against a second copy of a refusal that is taken for the response to the same request when
// it is sent again on the same connection and runs.
TEST_F(http_client_test, RequestIsNotSentTwiceOnOneConnection) {
  const std::string refusal = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\nRequest-Id: same\r\n\r\n";
  const std::string response = kOk + "Content-Length: 1\r\nRequest-Id: same\r\n\r\nx";
  // The copy of the refusal arrives after the second request was sent.
  raw_server server(refusal, refusal + response, /*endless=*/false, milliseconds(200));
  const exchange_options options{.request_id = "same"};
  EXPECT_EQ(Send(server, milliseconds(5'000), options).response.status, 503U);
  Send(server, milliseconds(5'000), options);
  EXPECT_EQ(server.accepted(), 2);
}

}  // namespace
}  // namespace siskinrack::net
