#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include "mutator.h"
#include "siskinrack/net/http_server.h"
#include "siskinrack/wire/frame.h"

namespace siskinrack {
namespace {

using test::mutator;

std::span<const std::uint8_t> ToBytes(const std::string& text) {
  return {reinterpret_cast<const std::uint8_t*>(text.data()), text.size()};
}

/// Returns one encoded frame for each of four message types.
std::vector<std::string> MakeSampleFrames() {
  wire::exchange_t exchange;
  exchange.config_digest = std::string(64, 'a');
  for (int i = 0; i < 4; ++i) {
    exchange.records.push_back(std::make_unique<wire::member_record_t>());
    exchange.records.back()->node_id = "node-" + std::to_string(i);
  }
  wire::config_update_t update;
  update.payload.assign(300, 'x');
  wire::call_answer_t answer;
  answer.headers.push_back(std::make_unique<wire::header_field_t>());
  answer.headers.back()->value = "v";
  return {wire::EncodeFrame(wire::MakeEnvelope(std::move(exchange))),
          wire::EncodeFrame(wire::MakeEnvelope(std::move(update))),
          wire::EncodeFrame(wire::MakeEnvelope(std::move(answer))),
          wire::EncodeFrame(wire::MakeEnvelope(wire::version_notice_t{}))};
}

// Guards against a damaged frame that decodes but can't be encoded and forwarded, and, with the
// address sanitizer, against reads beyond its end.
TEST(Property, AcceptedFramesCanBeReencoded) {
  mutator input_mutator(7,
                        {std::string(4, '\0'), "\xff\xff\xff\x7f", "\x01", std::string(8, '\xff')});
  int accepted = 0;
  for (const std::string& frame : MakeSampleFrames()) {
    for (int i = 0; i < 4'000; ++i) {
      const std::string damaged = input_mutator.Mutate(frame.substr(wire::kLengthPrefixBytes));
      const auto message = wire::DecodeEnvelope(ToBytes(damaged));
      if (message == nullptr) continue;
      ++accepted;
      const std::string reencoded = wire::EncodeFrame(*message);
      ASSERT_NE(wire::DecodeEnvelope(ToBytes(reencoded).subspan(wire::kLengthPrefixBytes)),
                nullptr);
    }
  }
  EXPECT_GT(accepted, 0);
}

/// Sends `bytes` to a port of 127.0.0.1, shuts down the sending side and returns what the server
/// sends until it closes the connection or nothing arrives for 5 s.
std::string SendAndReceive(std::uint16_t port, const std::string& bytes) {
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  EXPECT_EQ(connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address), 0);
  const timeval limit{5, 0};
  setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  (void)send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
  shutdown(fd, SHUT_WR);
  std::string response;
  char buffer[4096];
  for (ssize_t size = 0; (size = recv(fd, buffer, sizeof buffer, 0)) > 0;) {
    response.append(buffer, static_cast<std::size_t>(size));
  }
  close(fd);
  return response;
}

// Guards against a server that, after damaged requests, sends bytes that aren't an HTTP response,
// stops answering or leaks requests in flight.
TEST(Property, HttpServerSurvivesDamagedRequests) {
  net::fiber_runtime runtime(2);
  net::http_server server(runtime, {.address = {"127.0.0.1", 0}, .limits = {.body_bytes = 1000}},
                          [](const net::http_request& request, net::cancellation&) {
                            return net::http_response{200, {}, request.body};
                          });
  ASSERT_EQ(server.Start(), "");
  mutator input_mutator(
      8, {"\r\n", "\r\n\r\n", "Content-Length: 5\r\n", "Content-Length: -1\r\n",
          "Transfer-Encoding: chunked\r\n", "ffffffffffffffff\r\n", "GET / HTTP/1.1\r\n",
          std::string(1, '\0'), "HTTP/9.9", ": ", std::string(3000, 'x')});
  const std::string samples[] = {
      "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nhello",
      "POST /b HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
      "GET /c HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\n\r\n"};
  for (int i = 0; i < 600; ++i) {
    const std::string response = SendAndReceive(
        server.port(),
        input_mutator.Mutate(samples[input_mutator.RandomBelow(std::size(samples))]));
    ASSERT_TRUE(response.empty() || response.starts_with("HTTP/1.")) << response;
  }
  const std::string final_response = SendAndReceive(server.port(), samples[0]);
  EXPECT_TRUE(final_response.starts_with("HTTP/1.1 200") && final_response.ends_with("hello"))
      << final_response;
  EXPECT_EQ(server.in_flight(), 0U);
  server.Stop();
}

}  // namespace
}  // namespace siskinrack
