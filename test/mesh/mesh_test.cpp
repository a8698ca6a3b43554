#include <gtest/gtest.h>

#include <csignal>
#include <thread>

#include "mesh_fleet.h"

namespace siskinrack::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

/// Repeats `check` until it holds; false after `timeout`.
template <typename Check>
bool Eventually(milliseconds timeout, Check check) {
  const auto end = steady_clock::now() + timeout;
  while (!check()) {
    if (steady_clock::now() > end) return false;
    std::this_thread::sleep_for(milliseconds(20));
  }
  return true;
}

class mesh_test : public testing::Test {
 protected:
  void SetUp() override {
    fleet_.Configure(1);
    for (std::size_t i = 0; i < 3; ++i) fleet_.StartNode(i);
    ASSERT_TRUE(fleet_.AwaitReady()) << fleet_.Log(0);
  }
  void TearDown() override {
    if (!HasFailure()) return;
    for (std::size_t i = 0; i < 3; ++i) std::cout << fleet_.Log(i) << '\n';
  }

  std::size_t Runs(const std::string& target) {
    std::size_t count = 0;
    for (std::size_t i = 0; i < 3; ++i) {
      for (const observed_run& run : fleet_.instance(i).runs()) count += run.target == target;
    }
    return count;
  }

  mesh_fleet fleet_{{"shop", "dock", "dock"}};
};

// Guards against requests that are changed on the way, and against a caller that names itself.
TEST_F(mesh_test, RequestReachesAnotherMachinesUpstreamUnchanged) {
  const auto result = fleet_.Send(0, "/dock/a/b?x=1&y=%20", "POST", "some body");
  ASSERT_EQ(result.response.status, 200U) << result.error;
  EXPECT_EQ(net::FindField(result.response.fields, "Server-Stamp"), "stamp");
  std::vector<observed_run> runs = fleet_.instance(1).runs();
  for (const observed_run& run : fleet_.instance(2).runs()) runs.push_back(run);
  const auto found = std::find_if(runs.begin(), runs.end(), [](const observed_run& run) {
    return run.target == "/dock/a/b?x=1&y=%20";
  });
  ASSERT_NE(found, runs.end());
  EXPECT_EQ(found->method, "POST");
  EXPECT_EQ(found->body, "some body");
  EXPECT_EQ(found->caller, "shop");
}

// Guards against a body that is larger than a frame: its link was closed, and with it every other
// call on it.
TEST_F(mesh_test, LongBodiesPassBothWays) {
  const std::string body(5'000'000, 'x');
  const auto result = fleet_.Send(0, "/once/dock/echo", "POST", body);
  ASSERT_EQ(result.response.status, 200U) << result.error;
  EXPECT_EQ(result.response.body, body);
}

TEST_F(mesh_test, UnknownRouteIsNotFound) {
  EXPECT_EQ(fleet_.Send(0, "/nowhere/").response.status, 404U);
}

// Guards against a request that may run once and is sent again, or called "not run", after its
// exchange broke.
TEST_F(mesh_test, BrokenExchangeOfAnAtMostOnceRequestIsUnknown) {
  const auto result = fleet_.Send(0, "/once/dock/break", "POST", "order");
  // Either says nothing about whether the request has run; 503 would promise that it has not.
  EXPECT_TRUE(result.response.status == 502 || result.response.status == 504)
      << result.response.status;
  EXPECT_EQ(Runs("/once/dock/break"), 1U);
}

// Guards against a repeatable request that is given up although another upstream could answer.
TEST_F(mesh_test, RefusalOfOneUpstreamSendsTheRequestToAnother) {
  fleet_.instance(1).SetRefusing(true);
  for (int i = 0; i < 8; ++i) {
    EXPECT_EQ(fleet_.Send(0, "/once/dock/" + std::to_string(i), "POST").response.status, 200U);
    EXPECT_EQ(Runs("/once/dock/" + std::to_string(i)), 1U);
  }
  fleet_.instance(2).SetRefusing(true);
  const auto result = fleet_.Send(0, "/once/dock/none", "POST");
  EXPECT_EQ(result.response.status, 503U);
  EXPECT_FALSE(net::FindField(result.response.fields, "Retry-After").empty());
  EXPECT_EQ(Runs("/once/dock/none"), 0U);
}

// Guards against a success that no upstream has made.
TEST_F(mesh_test, SuccessWithoutTheUpstreamsProofIsNotPassedOn) {
  EXPECT_EQ(fleet_.Send(0, "/once/dock/unstamped", "POST").response.status, 502U);
}

// Guards against work for an upstream whose departure was acknowledged, also while the store is
// away.
TEST_F(mesh_test, LeavingUpstreamGetsNoWorkAfterTheDrainPeriod) {
  fleet_.store().SetDown(true);
  ASSERT_TRUE(fleet_.Beat(1, "draining"));
  const auto acknowledged = steady_clock::now();
  while (steady_clock::now() < acknowledged + milliseconds(1'800)) {
    EXPECT_EQ(fleet_.Send(0, "/dock/drain").response.status, 200U);
  }
  for (const observed_run& run : fleet_.instance(1).runs()) {
    EXPECT_LE(run.at - acknowledged, milliseconds(1'000));
  }
}

// Guards against a version that comes into force late, or not at all while the store has forgotten
// its history.
TEST_F(mesh_test, NewVersionIsInForceEverywhereWithinTwoSeconds) {
  EXPECT_EQ(fleet_.Send(0, "/extra/1").response.status, 404U);
  fleet_.Configure(5, "dock");
  for (std::size_t i = 0; i < 3; ++i) {
    EXPECT_TRUE(Eventually(milliseconds(2'000), [&] {
      return fleet_.Send(i, "/extra/1").response.status == 200;
    })) << i;
  }
  fleet_.store().ForgetHistory();
  fleet_.Configure(9);
  for (std::size_t i = 0; i < 3; ++i) {
    EXPECT_TRUE(Eventually(milliseconds(2'000), [&] {
      return fleet_.Send(i, "/extra/1").response.status == 404;
    })) << i;
  }
}

// Guards against an older version that is put into force again.
TEST_F(mesh_test, OlderVersionIsNotTakenOver) {
  fleet_.Configure(5, "dock");
  ASSERT_TRUE(Eventually(milliseconds(2'000),
                         [&] { return fleet_.Send(0, "/extra/1").response.status == 200; }));
  fleet_.Configure(3);
  std::this_thread::sleep_for(milliseconds(1'200));
  EXPECT_EQ(fleet_.Send(0, "/extra/1").response.status, 200U);
}

// Guards against a watch that waits for an answer of a store that went silent meanwhile: it hid
// changes for 3.6 s after the store's return.
TEST_F(mesh_test, ChangeAfterASilentTimeOfTheStoreIsSeen) {
  fleet_.store().SetSilent(true);
  std::this_thread::sleep_for(milliseconds(4'000));
  fleet_.store().SetSilent(false);
  fleet_.Configure(5, "dock");
  EXPECT_TRUE(Eventually(milliseconds(3'000),
                         [&] { return fleet_.Send(0, "/extra/1").response.status == 200; }));
}

// Guards against requests that are cut off by a shutdown: one is at work, others keep coming.
TEST_F(mesh_test, ShutdownAnswersEveryRequest) {
  std::atomic<int> slow_status = 0;
  std::thread slow(
      [&] { slow_status = static_cast<int>(fleet_.Send(0, "/dock/slow").response.status); });
  std::this_thread::sleep_for(milliseconds(150));
  fleet_.node(0).Signal(SIGTERM);
  const auto begun = steady_clock::now();
  int answered = 0;
  while (!fleet_.node(0).Poll() && steady_clock::now() < begun + milliseconds(8'000)) {
    const auto result = fleet_.Send(0, "/dock/late");
    if (result.stage == net::exchange_stage::kAnswered) ++answered;
    // A connection that crosses the end is not passed on; a request that was read is answered.
    if (result.stage == net::exchange_stage::kSent) {
      EXPECT_TRUE(Eventually(milliseconds(500), [&] { return fleet_.node(0).Poll().has_value(); }));
    }
    std::this_thread::sleep_for(milliseconds(10));
  }
  slow.join();
  EXPECT_EQ(slow_status, 200);
  EXPECT_GT(answered, 20);
  EXPECT_EQ(fleet_.node(0).Poll(), 0);
  EXPECT_LE(steady_clock::now() - begun, milliseconds(6'000));
}

// Guards against a SIGHUP that ends the process.
TEST_F(mesh_test, ReloadKeepsServing) {
  fleet_.node(0).Signal(SIGHUP);
  EXPECT_TRUE(Eventually(milliseconds(2'000), [&] {
    return fleet_.Log(0).find("event=reloaded") != std::string::npos;
  }));
  EXPECT_EQ(fleet_.Send(0, "/dock/x").response.status, 200U);
}

// Guards against a record that stays wrong because the answer to its write was lost.
TEST_F(mesh_test, LostAnswerToARecordsWriteIsMadeUpFor) {
  fleet_.store().LoseWriteAnswers(1);
  fleet_.Beat(1, "draining");
  EXPECT_TRUE(Eventually(milliseconds(6'000), [&] {
    const auto record = fleet_.store().Read("siskinrack-endpoints", "i-1");
    return record.is_object() && record.at("state") == "draining";
  }));
}

// Guards against the record of a node that is gone for good: it kept "ready" in the store, and
// calls went to its address. A node that lives writes its record again.
TEST_F(mesh_test, RecordOfALostNodeIsRemovedAndComesBackWithIt) {
  const auto recorded = [&] {
    return fleet_.store().Read("siskinrack-endpoints", "i-1").is_object();
  };
  fleet_.node(1).Signal(SIGKILL);
  fleet_.node(1).Wait();
  EXPECT_TRUE(Eventually(milliseconds(25'000), [&] {
    EXPECT_EQ(fleet_.Send(0, "/dock/x").response.status, 200U);
    return !recorded();
  }));
  fleet_.StartNode(1);
  EXPECT_TRUE(Eventually(milliseconds(5'000), recorded));
}

// Guards against store calls that grow with the fleet at the full price: each change of an endpoint
// ends one watch call of every node.
TEST_F(mesh_test, EndpointsAreWatchedAtTheLowPrice) {
  const std::size_t before = fleet_.store().FullPriceCalls("siskinrack-endpoints");
  fleet_.Beat(1, "draining");
  EXPECT_TRUE(Eventually(milliseconds(3'000), [&] {
    return fleet_.Log(0).find("event=endpoint_changed instance=i-1") != std::string::npos;
  }));
  // The write of the record itself.
  EXPECT_EQ(fleet_.store().FullPriceCalls("siskinrack-endpoints"), before + 1);
}

// Guards against a list that is older than the history of the store, and so is made again at once:
// a compaction cost hundreds of calls a node.
TEST_F(mesh_test, HistoryThatIsNewerThanStaleReadsIsListedOnce) {
  fleet_.store().FreezeStaleReads(true);
  fleet_.Configure(5, "dock");
  ASSERT_TRUE(Eventually(milliseconds(2'000),
                         [&] { return fleet_.Send(0, "/extra/1").response.status == 200; }));
  const std::size_t before = fleet_.store().Lists("siskinrack-endpoints");
  fleet_.store().ForgetHistory();
  std::this_thread::sleep_for(milliseconds(1'500));
  EXPECT_LE(fleet_.store().Lists("siskinrack-endpoints"), before + 3);
  EXPECT_EQ(fleet_.Send(1, "/dock/x").response.status, 200U);
}

// Guards against an outage in which every node repeats calls at the full price.
TEST_F(mesh_test, OutageOfTheStoreIsWaitedOutWithCheapCalls) {
  fleet_.store().SetDown(true);
  const std::size_t before = fleet_.store().FullPriceCalls("config");
  std::this_thread::sleep_for(milliseconds(3'000));
  // The three watch calls that wait when the outage begins are counted before it.
  EXPECT_EQ(fleet_.store().FullPriceCalls("config"), before);
  fleet_.store().SetDown(false);
  fleet_.Configure(5, "dock");
  EXPECT_TRUE(Eventually(milliseconds(2'000),
                         [&] { return fleet_.Send(0, "/extra/1").response.status == 200; }));
}

// Guards against a request that crashes one upstream after the other, at whichever machine it comes
// again.
TEST_F(mesh_test, RequestThatCrashesItsUpstreamsIsHeldBackEverywhere) {
  EXPECT_EQ(fleet_.Send(0, "/dock/crash").response.status, 502U);
  const std::size_t crashes = Runs("/dock/crash");
  EXPECT_EQ(crashes, 2U);
  std::this_thread::sleep_for(milliseconds(1'500));
  for (std::size_t i = 0; i < 3; ++i) {
    EXPECT_EQ(fleet_.Send(i, "/dock/crash").response.status, 503U) << i;
    EXPECT_EQ(fleet_.Send(i, "/dock/innocent").response.status, 200U) << i;
  }
  EXPECT_EQ(Runs("/dock/crash"), crashes);
}

// Guards against a node that doesn't find its way back after it was killed.
TEST_F(mesh_test, KilledNodeServesAgain) {
  fleet_.node(1).Signal(SIGKILL);
  fleet_.node(1).Wait();
  EXPECT_EQ(fleet_.Send(0, "/dock/meanwhile").response.status, 200U);
  fleet_.StartNode(1);
  EXPECT_TRUE(fleet_.AwaitReady());
}

}  // namespace
}  // namespace siskinrack::test
