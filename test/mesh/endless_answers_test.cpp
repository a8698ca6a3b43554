#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <thread>

#include "mesh_fleet.h"

namespace siskinrack::test {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kMemoryMb = 160;

/// Answers each connection with `begin`, and then with `rest` again and again until it is closed.
class endless_upstream {
 public:
  endless_upstream(const support::socket_address& address, std::string begin, std::string rest)
      : begin_(std::move(begin)), rest_(std::move(rest)) {
    listener_ = socket(AF_INET, SOCK_STREAM, 0);
    const int on = 1;
    setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    setsockopt(listener_, SOL_SOCKET, SO_REUSEPORT, &on, sizeof on);
    sockaddr_in native{};
    native.sin_family = AF_INET;
    native.sin_port = htons(address.port);
    inet_pton(AF_INET, address.ip.c_str(), &native.sin_addr);
    EXPECT_EQ(bind(listener_, reinterpret_cast<const sockaddr*>(&native), sizeof native), 0);
    EXPECT_EQ(listen(listener_, 64), 0);
    thread_ = std::thread([this] { Accept(); });
  }
  ~endless_upstream() {
    stopped_ = true;
    thread_.join();
    close(listener_);
    for (std::thread& connection : connections_) connection.join();
  }
  endless_upstream(const endless_upstream&) = delete;
  endless_upstream& operator=(const endless_upstream&) = delete;

  [[nodiscard]] std::size_t answers() const { return answers_; }

 private:
  void Accept() {
    while (!stopped_) {
      pollfd waiting{listener_, POLLIN, 0};
      if (poll(&waiting, 1, 20) <= 0) continue;
      const int fd = accept(listener_, nullptr, nullptr);
      if (fd >= 0) connections_.emplace_back([this, fd] { Answer(fd); });
    }
  }
  void Answer(int fd) {
    const timeval limit{.tv_sec = 1, .tv_usec = 0};
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
    char request[4096];
    if (recv(fd, request, sizeof request, 0) > 0) {
      ++answers_;
      send(fd, begin_.data(), begin_.size(), MSG_NOSIGNAL);
      while (!stopped_ && send(fd, rest_.data(), rest_.size(), MSG_NOSIGNAL) > 0) {
      }
    }
    close(fd);
  }

  std::string begin_;
  std::string rest_;
  int listener_ = -1;
  std::atomic<bool> stopped_ = false;
  std::atomic<std::size_t> answers_ = 0;
  std::vector<std::thread> connections_;
  std::thread thread_;
};

struct endless_answer {
  const char* name;
  std::string begin;
  std::string rest;
};

class endless_answers_test : public testing::TestWithParam<endless_answer> {
 protected:
  static constexpr std::size_t kNodes = 2;
  static constexpr std::size_t kCallers = 40;

  void SetUp() override {
    fleet_.SetSlots(kCallers);
    fleet_.Configure(1);
    for (std::size_t i = 0; i < kNodes; ++i) fleet_.StartNode(i);
    ASSERT_TRUE(fleet_.AwaitReady()) << fleet_.ReadLog(0);
  }
  double ReadResidentMb(std::size_t machine) {
    const std::string page = fleet_.ReadMetrics(machine);
    const std::string name = "\nsiskinrack_resident_bytes ";
    const std::size_t at = page.find(name);
    return at == std::string::npos ? 0 : std::stod(page.substr(at + name.size())) / 1e6;
  }

  mesh_fleet fleet_{{"shop", "dock"}, machine_limits{.memory_mb = kMemoryMb}};
};

// Guards against a node that keeps all bytes of a faulty upstream: many answers without end at once
// on a machine of 160 MB. The requests of other callers on both machines go on.
TEST_P(endless_answers_test, TakeBoundedMemoryAndNoOtherRequest) {
  fleet_.instance(1).Stop();
  endless_upstream upstream(fleet_.upstream(1), GetParam().begin, GetParam().rest);
  std::atomic<std::size_t> open = kCallers;
  std::atomic<int> successes = 0;
  std::vector<std::thread> callers;
  for (std::size_t i = 0; i < kCallers; ++i) {
    callers.emplace_back([&, i] {
      if (fleet_.Send(i % kNodes, "/once/dock/endless").response.status == 200) ++successes;
      --open;
    });
  }
  double most_mb = 0;
  int others = 0;
  while (open > 0) {
    for (std::size_t i = 0; i < kNodes; ++i) {
      most_mb = std::max(most_mb, ReadResidentMb(i));
      EXPECT_EQ(fleet_.Send(i, "/shop/other").response.status, 200U);
      ++others;
    }
    std::this_thread::sleep_for(milliseconds(10));
  }
  for (std::thread& caller : callers) caller.join();
  for (std::size_t i = 0; i < kNodes; ++i) EXPECT_FALSE(fleet_.node(i).Poll()) << "node " << i;
  EXPECT_LT(most_mb, kMemoryMb);
  EXPECT_GE(upstream.answers(), kCallers / 2);
  EXPECT_EQ(successes, 0);
  RecordProperty("most_mb", std::to_string(most_mb));
  std::cout << GetParam().name << ": " << most_mb << " MB at most, " << upstream.answers()
            << " answers, " << others << " other requests\n";
}

const std::string kBlock(16'384, 'x');
const std::string kStart = "HTTP/1.1 200 OK\r\nServer-Stamp: s\r\n";

INSTANTIATE_TEST_SUITE_P(
    answers, endless_answers_test,
    testing::Values(
        endless_answer{"no_http", "", kBlock},
        endless_answer{"status_line", "HTTP/1.1 200 ", kBlock},
        endless_answer{"field", kStart + "A: ", kBlock},
        endless_answer{"fields", kStart, "A: b\r\nC: d\r\n"},
        endless_answer{"interim", "", "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n"},
        endless_answer{"length", kStart + "Content-Length: 999999999999\r\n\r\n", kBlock},
        endless_answer{"no_length", kStart + "\r\n", kBlock},
        endless_answer{"chunks", kStart + "Transfer-Encoding: chunked\r\n\r\n",
                       "4000\r\n" + kBlock + "\r\n"},
        endless_answer{"chunk_header", kStart + "Transfer-Encoding: chunked\r\n\r\n4;", kBlock},
        endless_answer{"other_answers", "",
                       "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: 1\r\n\r\nx"}),
    [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace siskinrack::test
