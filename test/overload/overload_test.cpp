#include <gtest/gtest.h>

#include <chrono>
#include <iostream>
#include <thread>

#include "program_under_test.h"
#include "raw_client.h"

namespace siskinrack::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

/// The memory of the node's machine.
constexpr std::size_t kMaxPeakBytes = kMemoryMb * 1'000'000;
/// The descriptors of the node's machine less the 200 that are kept for files.
constexpr std::size_t kMaxSockets = kMaxDescriptors - 200;

/// Connections with a body, whose bodies together exceed the memory of the machine.
constexpr std::size_t kBodies = 80;
/// Size of one body, inside the limit of both programs.
constexpr std::size_t kBodyBytes = 1'000'000;
constexpr std::size_t kSmallChunkBytes = 16;
/// Connections that send framing data without end.
constexpr std::size_t kEndlessSenders = 4;
constexpr std::size_t kEndlessBytes = 32'000'000;
/// Size of a body far over the limit of both programs.
constexpr std::size_t kHugeBodyBytes = 256'000'000;
/// Bytes of a huge body that are sent unless the connection is closed.
constexpr std::size_t kHugeBodySentBytes = 8'000'000;
constexpr std::size_t kDrippingHeads = 400;
/// Size of an unfinished header section, below the limit of both programs.
constexpr std::size_t kHeadBytes = 15'000;
constexpr int kDrips = 10;
/// More connections than the machine has descriptors.
constexpr std::size_t kIdleConnections = 800;
/// Receive buffer of a slow reader, the smallest that the kernel sets.
constexpr int kSmallReceiveBuffer = 2'048;
constexpr std::size_t kSlowReaders = 30;
constexpr std::size_t kPipeliningClients = 20;
constexpr std::size_t kPipelinedRequests = 400;
constexpr std::size_t kPipelinedBodyBytes = 20'000;
constexpr std::size_t kPeerLinks = 20;
constexpr std::size_t kFrameBytes = 8'000'000;
constexpr std::size_t kEndlessAnswers = 50;
/// Ends a test whose node doesn't answer.
constexpr milliseconds kAnswerTimeout{20'000};

/// Sends `block` repeatedly until `bytes` are sent or the connection is closed.
void SendRepeatedly(const raw_client& client, std::string_view block, std::size_t bytes) {
  for (std::size_t sent = 0; sent < bytes; sent += block.size()) {
    if (!client.Send(block)) return;
  }
}

class overload_test : public testing::TestWithParam<std::string> {
 protected:
  void SetUp() override {
    program_ = GetParam() == "mesh" ? StartMeshNode() : StartOwnNode();
    initial_bytes_ = ReadPeakMemory(program_->pid());
    ASSERT_EQ(SendOrdinaryRequest(), 200U);
  }
  void TearDown() override {
    if (HasFailure() && program_ != nullptr)
      std::cout << program_->ReadLog().substr(0, kMaxLogBytes) << '\n';
  }

  [[nodiscard]] std::string MakeHead(const std::string& fields) const {
    return MakeRequestHead(*program_, fields);
  }
  [[nodiscard]] std::string MakeChunkedHead() const {
    return MakeHead("Transfer-Encoding: chunked\r\n\r\n");
  }
  [[nodiscard]] std::string MakeRequest(const std::string& body) const {
    return MakeHead("Content-Length: " + std::to_string(body.size()) + "\r\n\r\n") + body;
  }

  /// Sends one small request on a new connection, and again after a refusal. Returns the status of
  /// the last response; 0 if there is none.
  [[nodiscard]] unsigned SendOrdinaryRequest() const {
    unsigned status = 0;
    for (const auto end = steady_clock::now() + kAnswerTimeout;
         status != 200 && steady_clock::now() < end && program_->Poll() == std::nullopt;) {
      const raw_client client(program_->caller());
      client.Send("POST " + program_->target() +
                  " HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: ordinary\r\n"
                  "Deadline-Ms: 3000\r\nContent-Length: 5\r\n\r\norder");
      status = client.ReadStatus();
      if (status != 200) std::this_thread::sleep_for(milliseconds(50));
    }
    return status;
  }

  /// Checks that the node lives, that its memory and its sockets are bounded and that it answers an
  /// ordinary request. Called while the crowd is connected.
  void CheckNode() const {
    const std::size_t sockets = CountSockets(program_->pid());
    const unsigned status = SendOrdinaryRequest();
    const std::size_t peak = ReadPeakMemory(program_->pid());
    std::cout << "initial memory " << initial_bytes_ << ", peak " << peak << ", sockets " << sockets
              << ", ordinary request " << status << '\n';
    EXPECT_EQ(program_->Poll(), std::nullopt) << "the process ended";
    EXPECT_LE(peak, kMaxPeakBytes);
    EXPECT_LE(sockets, kMaxSockets);
    EXPECT_EQ(status, 200U);
  }

  static constexpr std::size_t kMaxLogBytes = 20'000;

  std::unique_ptr<program_under_test> program_;
  std::size_t initial_bytes_ = 0;
};

// Guards against a trailer section that is buffered without a bound.
TEST_P(overload_test, TrailersWithoutEnd) {
  const std::string field = "X-Trailer: " + std::string(1'000, 't') + "\r\n";
  const auto crowd = OpenCrowd(kEndlessSenders, program_->caller(), [&](const raw_client& client) {
    client.Send(MakeChunkedHead() + "1\r\nx\r\n0\r\n");
    SendRepeatedly(client, field, kEndlessBytes);
  });
  CheckNode();
}

// Guards against a chunk header that is buffered without a bound.
TEST_P(overload_test, ChunkExtensionsWithoutEnd) {
  const std::string extension = ";name=" + std::string(1'000, 'e');
  const auto crowd = OpenCrowd(kEndlessSenders, program_->caller(), [&](const raw_client& client) {
    client.Send(MakeChunkedHead() + "1");
    SendRepeatedly(client, extension, kEndlessBytes);
  });
  CheckNode();
}

// Guards against bodies that are inside the limit one by one and exceed the memory together.
TEST_P(overload_test, SmallChunksThatStopShort) {
  const std::string chunk = "10\r\n" + std::string(kSmallChunkBytes, 'x') + "\r\n";
  std::string body;
  for (std::size_t i = 0; i < kBodyBytes / kSmallChunkBytes; ++i) body += chunk;
  const auto crowd = OpenCrowd(kBodies, program_->caller(), [&](const raw_client& client) {
    client.Send(MakeChunkedHead());
    client.Send(body);
  });
  CheckNode();
}

// Like SmallChunksThatStopShort; a large chunk may be buffered on another path.
TEST_P(overload_test, LargeChunksThatStopShort) {
  const std::string body(kBodyBytes - 1, 'x');
  const auto crowd = OpenCrowd(kBodies, program_->caller(), [&](const raw_client& client) {
    client.Send(MakeChunkedHead() + "f4240\r\n");
    client.Send(body);
  });
  CheckNode();
}

// Like SmallChunksThatStopShort, for bodies with a length.
TEST_P(overload_test, AnnouncedBodiesThatStopShort) {
  const std::string body(kBodyBytes - 1, 'x');
  const auto crowd = OpenCrowd(kBodies, program_->caller(), [&](const raw_client& client) {
    client.Send(MakeHead("Content-Length: " + std::to_string(kBodyBytes) + "\r\n\r\n"));
    client.Send(body);
  });
  CheckNode();
}

// Guards against memory that is taken for the announcement of a body.
TEST_P(overload_test, AnnouncedBodiesFarOverTheLimit) {
  const std::string block(kBodyBytes, 'x');
  const auto crowd = OpenCrowd(kBodies, program_->caller(), [&](const raw_client& client) {
    client.Send(MakeHead("Content-Length: " + std::to_string(kHugeBodyBytes) + "\r\n\r\n"));
    SendRepeatedly(client, block, kHugeBodySentBytes);
  });
  CheckNode();
}

// Guards against a limit that is checked only when a body is complete.
TEST_P(overload_test, ChunkedBodiesFarOverTheLimit) {
  const std::string chunk = "f4240\r\n" + std::string(kBodyBytes, 'x') + "\r\n";
  const auto crowd = OpenCrowd(kBodies, program_->caller(), [&](const raw_client& client) {
    client.Send(MakeChunkedHead());
    SendRepeatedly(client, chunk, kHugeBodySentBytes);
  });
  CheckNode();
}

// Guards against header sections that hold their connections and buffers without end.
TEST_P(overload_test, HeadsThatDrip) {
  const std::string head = MakeHead("X-Filler: ") + std::string(kHeadBytes, 'h');
  const auto crowd = OpenCrowd(kDrippingHeads, program_->caller(),
                               [&](const raw_client& client) { client.Send(head); });
  for (int i = 0; i < kDrips; ++i) {
    for (const raw_client& client : crowd) client.Send("h");
    CheckNode();
  }
}

// Guards against idle connections that take all descriptors.
TEST_P(overload_test, IdleConnections) {
  const auto crowd = OpenCrowd(kIdleConnections, program_->caller(), [](const raw_client&) {});
  CheckNode();
}

// Guards against answers that are held for callers that don't read them.
TEST_P(overload_test, SlowReadersOfLargeAnswers) {
  const std::string request = MakeRequest(program_->MakeBodyOfLargeAnswer());
  std::vector<raw_client> crowd;
  for (std::size_t i = 0; i < kSlowReaders; ++i) {
    crowd.emplace_back(program_->caller(), kSmallReceiveBuffer);
    crowd.back().Send(request);
    crowd.back().AwaitAnswer();
  }
  CheckNode();
}

// Guards against requests that are read although the answers before theirs aren't.
TEST_P(overload_test, FurtherRequestsWithoutReadingAnswers) {
  const std::string body(kPipelinedBodyBytes, 'x');
  std::string requests;
  for (std::size_t i = 0; i < kPipelinedRequests; ++i) requests += MakeRequest(body);
  const auto crowd = OpenCrowd(kPipeliningClients, program_->caller(),
                               [&](const raw_client& client) { client.Send(requests); });
  CheckNode();
}

// Guards against frames of other nodes that are buffered without a common bound.
TEST_P(overload_test, PeerFramesThatStopShort) {
  std::string frame;
  for (std::size_t i = 0; i < 4; ++i) {
    frame += static_cast<char>((kFrameBytes >> (8U * i)) & 0xffU);
  }
  frame.append(kFrameBytes - 1, '\0');
  const auto crowd = OpenCrowd(kPeerLinks, program_->peer(),
                               [&](const raw_client& client) { client.Send(frame); });
  CheckNode();
}

// Guards against answers that are received without a common bound.
TEST_P(overload_test, UpstreamAnswersWithoutEnd) {
  const endless_upstream upstream(program_->ReleaseUpstream());
  const auto crowd = OpenCrowd(kEndlessAnswers, program_->caller(), [&](const raw_client& client) {
    client.Send(MakeRequest({}));
    client.AwaitAnswer();
  });
  CheckNode();
}

INSTANTIATE_TEST_SUITE_P(programs, overload_test, testing::Values("mesh", "own"),
                         [](const auto& program) { return program.param; });

}  // namespace
}  // namespace siskinrack::test
