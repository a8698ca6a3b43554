#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <thread>

#include "mesh_fleet.h"

namespace siskinrack::test {
namespace {

using std::chrono::milliseconds;

/// Time that callers wait before they leave, and time for which a node gets no processor time.
constexpr milliseconds kPatience{300};
constexpr milliseconds kSuspension{1'000};

class left_callers_test : public testing::Test {
 protected:
  static constexpr std::size_t kNodes = 3;

  void SetUp() override {
    fleet_.Configure(1);
    for (std::size_t i = 0; i < kNodes; ++i) fleet_.StartNode(i);
    ASSERT_TRUE(fleet_.AwaitReady()) << fleet_.ReadLog(0);
    // The links between the nodes are dialled.
    for (int i = 0; i < 8; ++i) ASSERT_EQ(fleet_.Send(0, "/dock/").response.status, 200U);
  }

  /// Sends requests to the node of machine 0 while the node of `suspended` gets no processor time,
  /// and closes their connections before it runs again. Returns how many of them have run 1.5 s
  /// later.
  std::size_t CountRunsForLeftCallers(std::vector<std::size_t> suspended) {
    for (const std::size_t machine : suspended) {
      fleet_.node(machine).Signal(SIGSTOP);
      // A request must not run before the signal has taken effect.
      siginfo_t state{};
      const auto pid = static_cast<id_t>(fleet_.node(machine).pid());
      EXPECT_EQ(waitid(P_PID, pid, &state, WSTOPPED | WNOWAIT), 0);
    }
    std::vector<int> callers(60);
    for (std::size_t i = 0; i < callers.size(); ++i) callers[i] = SendRequest(i);
    std::this_thread::sleep_for(kPatience);
    for (const int caller : callers) close(caller);
    std::this_thread::sleep_for(kSuspension - kPatience);
    for (const std::size_t machine : suspended) fleet_.node(machine).Signal(SIGCONT);
    std::this_thread::sleep_for(milliseconds(1'500));
    std::size_t runs = 0;
    for (std::size_t i = 0; i < kNodes; ++i) {
      for (const observed_run& run : fleet_.instance(i).runs()) runs += run.target == "/dock/left";
    }
    return runs;
  }

  int SendRequest(std::size_t number) {
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    const support::socket_address to = fleet_.caller(0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(to.port);
    inet_pton(AF_INET, to.ip.c_str(), &address.sin_addr);
    EXPECT_EQ(connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address), 0);
    const std::string request =
        "GET /dock/left HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: left-" +
        std::to_string(number) + "\r\nDeadline-Ms: 3000\r\n\r\n";
    EXPECT_EQ(send(fd, request.data(), request.size(), MSG_NOSIGNAL),
              static_cast<ssize_t>(request.size()));
    return fd;
  }

  mesh_fleet fleet_{{"shop", "dock", "dock"}};
};

// Guards against requests that are sent on after their callers have left, because the node that
// read them had no processor time before.
TEST_F(left_callers_test, StarvedEntryNodeSendsNothingOn) {
  EXPECT_EQ(CountRunsForLeftCallers({0}), 0U);
}

// Guards against calls that reach an upstream after their cancellations have arrived at its starved
// node.
TEST_F(left_callers_test, StarvedServingNodesSendNothingOn) {
  EXPECT_EQ(CountRunsForLeftCallers({1, 2}), 0U);
}

}  // namespace
}  // namespace siskinrack::test
