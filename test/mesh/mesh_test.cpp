#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <functional>
#include <map>
#include <mutex>
#include <thread>

#include "mesh_fleet.h"

namespace siskinrack::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

/// Repeats `check` until it returns true; returns false after `timeout`.
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
    ASSERT_TRUE(fleet_.AwaitReady()) << fleet_.ReadLog(0);
  }
  void TearDown() override {
    if (!HasFailure()) return;
    for (std::size_t i = 0; i < 3; ++i) std::cout << fleet_.ReadLog(i) << '\n';
  }

  std::size_t CountRuns(const std::string& target) {
    std::size_t count = 0;
    for (std::size_t i = 0; i < 3; ++i) {
      for (const observed_run& run : fleet_.instance(i).runs()) count += run.target == target;
    }
    return count;
  }

  /// Returns how often `text` occurs in the log of a machine.
  std::size_t CountLines(std::size_t machine, std::string_view text) {
    const std::string log = fleet_.ReadLog(machine);
    std::size_t count = 0;
    for (std::size_t at = 0; (at = log.find(text, at)) != std::string::npos; ++at) ++count;
    return count;
  }

  /// Upstreams that a request may crash: the platform allows three crashes and three repetitions.
  static constexpr std::size_t kMaxCrasherRuns = 6;

  /// Sends a crashing request at each node in turn, each time after `before`, with pauses in which
  /// the upstreams come back. Returns how often it has run since the start of the test.
  std::size_t CountRunsOfRepeatedCrasher(const std::function<void(std::size_t)>& before =
                                             [](std::size_t) {}) {
    constexpr std::size_t kRepetitions = 8;
    for (std::size_t i = 0; i < kRepetitions; ++i) {
      before(i);
      fleet_.Send(i % 3, "/dock/crash");
      std::this_thread::sleep_for(milliseconds(1'500));
    }
    return CountRuns("/dock/crash");
  }

  mesh_fleet fleet_{{"shop", "dock", "dock"}};
};

// Guards against requests that are altered on the way, and against a caller name that the caller
// forges.
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

// Guards against bodies larger than a frame: they closed their link and failed every other call on
// it.
TEST_F(mesh_test, LongBodiesPassBothWays) {
  const std::string body(5'000'000, 'x');
  const auto result = fleet_.Send(0, "/once/dock/echo", "POST", body);
  ASSERT_EQ(result.response.status, 200U) << result.error;
  EXPECT_EQ(result.response.body, body);
}

TEST_F(mesh_test, UnknownRouteIsNotFound) {
  EXPECT_EQ(fleet_.Send(0, "/nowhere/").response.status, 404U);
}

// Guards against a request that ends a link between two nodes or keeps a slot of its upstream: 36
// TRACE requests with a body stopped a service for good. Sends every method with and without a
// body, and each kind of odd framing, more often than the two upstreams have slots.
TEST_F(mesh_test, OddRequestsEndOnlyThemselves) {
  std::vector<std::string> requests;
  const auto add = [&](const std::string& start, const std::string& rest) {
    const std::string head = start + " HTTP/1.1\r\nHost: shop.example\r\nConnection: close\r\n" +
                             "Request-Id: odd-" + std::to_string(requests.size()) + "\r\n";
    requests.push_back(head + rest);
  };
  constexpr std::string_view kNoBody = "\r\n";
  constexpr std::string_view kLength = "Content-Length: 3\r\n\r\nabc";
  constexpr std::string_view kChunks = "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n";
  for (const char* method : {"GET", "HEAD", "POST", "PUT", "DELETE", "CONNECT", "OPTIONS", "TRACE",
                             "PATCH", "PROPFIND", "M-SEARCH", "OTHER", "get"}) {
    for (const std::string_view rest : {kNoBody, kLength, kChunks}) {
      add(std::string(method) + " /dock/odd", std::string(rest));
    }
  }
  for (const char* rest : {"Content-Length: 0\r\n\r\n",
                           "Content-Length: -1\r\n\r\n",
                           "Content-Length: 3x\r\n\r\nabc",
                           "Content-Length: 99999999999999999999\r\n\r\n",
                           "Content-Length: 3\r\n\r\nabcdef",
                           "Content-Length: 9\r\n\r\nabc",
                           "Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc",
                           "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                           "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
                           "Transfer-Encoding: identity\r\n\r\n",
                           "Transfer-Encoding: chunked\r\n\r\nx\r\n",
                           "Transfer-Encoding: chunked\r\n\r\n3;a=b\r\nabc\r\n0\r\nT: 1\r\n\r\n",
                           "Transfer-Encoding: chunked\r\n\r\nffffffffffffffffff\r\n",
                           "Expect: 100-continue\r\nContent-Length: 3\r\n\r\nabc",
                           "Expect: other\r\n\r\n",
                           "Upgrade: websocket\r\nConnection: upgrade\r\n\r\n",
                           "Connection: Host, Content-Length\r\nContent-Length: 3\r\n\r\nabc",
                           "No-Colon\r\n\r\n",
                           ": empty\r\n\r\n",
                           "Folded: a\r\n b\r\n\r\n",
                           "Bare: a\nb: c\r\n\r\n",
                           "Deadline-Ms: -1\r\n\r\n",
                           "Deadline-Ms: nan\r\n\r\n",
                           "Deadline-Ms: 1e300\r\n\r\n",
                           "Host: other\r\n\r\n"}) {
    add("POST /dock/odd", rest);
  }
  requests.push_back("\r\n\r\n");
  requests.push_back("GET\r\n\r\n");
  requests.push_back("GET /dock/odd HTTP/3.0\r\n\r\n");
  requests.push_back("GET /dock/odd HTTP/1.0\r\n\r\n");
  requests.push_back("GET  HTTP/1.1\r\nHost: shop.example\r\n\r\n");
  add("GET /dock/" + std::string(12'000, 'x'), std::string(kNoBody));

  constexpr std::size_t kSenders = 8;
  // More than the two upstreams have slots, so that a slot that is not freed shows.
  constexpr std::size_t kRepetitions = 10;
  std::atomic<std::size_t> next = 0;
  std::atomic<bool> sending = true;
  // Runs on the same links all the time.
  std::thread steady([&] {
    while (sending) {
      const auto result = fleet_.Send(0, "/once/dock/slow", "POST", "order");
      EXPECT_NE(result.response.status, 502U) << result.response.body;
    }
  });
  std::vector<std::thread> senders;
  for (std::size_t i = 0; i < kSenders; ++i) {
    senders.emplace_back([&] {
      for (std::size_t k = next++; k < requests.size() * kRepetitions; k = next++) {
        const std::string& request = requests[k % requests.size()];
        const std::string answer = fleet_.SendBytes(0, request);
        EXPECT_FALSE(answer.starts_with("HTTP/1.1 500")) << request.substr(0, 200) << answer;
        EXPECT_FALSE(answer.starts_with("HTTP/1.1 502")) << request.substr(0, 200) << answer;
      }
    });
  }
  for (std::thread& sender : senders) sender.join();
  sending = false;
  steady.join();
  for (std::size_t i = 0; i < 3; ++i) EXPECT_EQ(CountLines(i, "event=handler_failed"), 0U);
  for (int i = 0; i < 100; ++i) {
    EXPECT_EQ(fleet_.Send(0, "/once/dock/after", "POST", "order").response.status, 200U);
  }
}

// Guards against an at-most-once request that is sent again, or reported as not run, after its
// connection broke.
TEST_F(mesh_test, BrokenExchangeOfAnAtMostOnceRequestIsUnknown) {
  const auto result = fleet_.Send(0, "/once/dock/break", "POST", "order");
  // Both statuses mean that the request may have run; 503 would mean that it has not.
  EXPECT_TRUE(result.response.status == 502 || result.response.status == 504)
      << result.response.status;
  EXPECT_EQ(CountRuns("/once/dock/break"), 1U);
}

// Guards against failing a request that one upstream refused although another could run it.
TEST_F(mesh_test, RefusalOfOneUpstreamSendsTheRequestToAnother) {
  fleet_.instance(1).SetRefusing(true);
  for (int i = 0; i < 8; ++i) {
    EXPECT_EQ(fleet_.Send(0, "/once/dock/" + std::to_string(i), "POST").response.status, 200U);
    EXPECT_EQ(CountRuns("/once/dock/" + std::to_string(i)), 1U);
  }
  fleet_.instance(2).SetRefusing(true);
  const auto result = fleet_.Send(0, "/once/dock/none", "POST");
  EXPECT_EQ(result.response.status, 503U);
  EXPECT_FALSE(net::FindField(result.response.fields, "Retry-After").empty());
  EXPECT_EQ(CountRuns("/once/dock/none"), 0U);
}

// Guards against a success response that no upstream has made.
TEST_F(mesh_test, SuccessWithoutTheUpstreamsStampIsNotPassedOn) {
  EXPECT_EQ(fleet_.Send(0, "/once/dock/unstamped", "POST").response.status, 502U);
}

// Guards against requests to a draining upstream after the drain period (1 s) that begins with the
// acknowledgement of its heartbeat, also while the store is unavailable.
TEST_F(mesh_test, LeavingUpstreamGetsNoWorkAfterTheDrainPeriod) {
  fleet_.store().SetDown(true);
  ASSERT_TRUE(fleet_.SendHeartbeat(1, "draining"));
  const auto acknowledged = steady_clock::now();
  while (steady_clock::now() < acknowledged + milliseconds(1'800)) {
    EXPECT_EQ(fleet_.Send(0, "/dock/drain").response.status, 200U);
  }
  for (const observed_run& run : fleet_.instance(1).runs()) {
    EXPECT_LE(run.at - acknowledged, milliseconds(1'000));
  }
}

// Guards against a version that becomes active late, or not at all when the store has discarded its
// history.
TEST_F(mesh_test, NewVersionIsActiveEverywhereWithinTwoSeconds) {
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

// Guards against store calls at full cost whose number grows with the fleet times the changes: each
// version of a series ended one watch call of every node.
TEST_F(mesh_test, SeriesOfVersionsCausesFewWatchCalls) {
  ASSERT_EQ(fleet_.Send(0, "/dock/x").response.status, 200U);
  const std::size_t before = fleet_.store().CountNonStaleCalls("config");
  const auto end = steady_clock::now() + milliseconds(5'000);
  std::uint64_t version = 10;
  for (; steady_clock::now() < end; ++version) {
    fleet_.Configure(version);
    std::this_thread::sleep_for(milliseconds(50));
  }
  fleet_.Configure(version, "dock");
  EXPECT_TRUE(Eventually(milliseconds(2'000),
                         [&] { return fleet_.Send(0, "/extra/1").response.status == 200; }));
  // Each node makes two watch calls, a read every 0.8 s, and at the end one read and one watch
  // call.
  EXPECT_LE(fleet_.store().CountNonStaleCalls("config") - before, 3U * (2 + 7 + 2));
}

// Guards against an older version that replaces the active one.
TEST_F(mesh_test, OlderVersionIsNotActivated) {
  fleet_.Configure(5, "dock");
  ASSERT_TRUE(Eventually(milliseconds(2'000),
                         [&] { return fleet_.Send(0, "/extra/1").response.status == 200; }));
  fleet_.Configure(3);
  std::this_thread::sleep_for(milliseconds(1'200));
  EXPECT_EQ(fleet_.Send(0, "/extra/1").response.status, 200U);
}

// Guards against a watch that keeps waiting for a store that stopped answering meanwhile: it hid
// changes for 3.6 s after the store had recovered.
TEST_F(mesh_test, ChangeAfterTheStoreStoppedAnsweringIsApplied) {
  fleet_.store().SetSilent(true);
  std::this_thread::sleep_for(milliseconds(4'000));
  fleet_.store().SetSilent(false);
  fleet_.Configure(5, "dock");
  EXPECT_TRUE(Eventually(milliseconds(3'000),
                         [&] { return fleet_.Send(0, "/extra/1").response.status == 200; }));
}

// Guards against an object of another writer that can't be decoded and keeps all nodes from
// starting: they listed the endpoints as a whole.
TEST_F(mesh_test, UnreadableRecordOfAnotherWriterDoesNotHideTheOthers) {
  boost::json::value nested = 1;
  for (int i = 0; i < 40; ++i) nested = boost::json::array{nested};
  fleet_.store().Write("siskinrack-endpoints", "another", {{"instance", nested}});
  EXPECT_TRUE(Eventually(milliseconds(5'000), [&] {
    return CountLines(0, "event=object_unreadable kind=siskinrack-endpoints name=another") == 1;
  }));
  for (std::size_t i = 0; i < 3; ++i) fleet_.StartNode(i);
  EXPECT_TRUE(Eventually(milliseconds(10'000),
                         [&] { return fleet_.Send(0, "/dock/x").response.status == 200; }));
}

// Guards against losing the active configuration to one that can't be decoded, and against not
// applying the next one.
TEST_F(mesh_test, UnreadableConfigurationKeepsTheLastVersion) {
  boost::json::value nested = 1;
  for (int i = 0; i < 40; ++i) nested = boost::json::array{nested};
  fleet_.store().Write("config", "main", {{"version", 2}, {"listeners", nested}});
  EXPECT_TRUE(Eventually(milliseconds(5'000), [&] {
    return CountLines(0, "event=config_rejected") == 1 && CountLines(0, "kept_version=1") == 1;
  }));
  EXPECT_EQ(fleet_.Send(0, "/dock/x").response.status, 200U);
  fleet_.Configure(3, "dock");
  EXPECT_TRUE(Eventually(milliseconds(5'000),
                         [&] { return fleet_.Send(0, "/extra/1").response.status == 200; }));
}

// Guards against requests that are cut off by a shutdown: one is running, others keep arriving.
TEST_F(mesh_test, ShutdownAnswersEveryRequest) {
  std::atomic<int> slow_status = 0;
  std::thread slow(
      [&] { slow_status = static_cast<int>(fleet_.Send(0, "/dock/slow").response.status); });
  std::this_thread::sleep_for(milliseconds(150));
  fleet_.node(0).Signal(SIGTERM);
  const auto started_at = steady_clock::now();
  int answered = 0;
  while (!fleet_.node(0).Poll() && steady_clock::now() < started_at + milliseconds(8'000)) {
    const auto result = fleet_.Send(0, "/dock/late");
    if (result.stage == net::exchange_stage::kAnswered) ++answered;
    // A request may be lost if it arrives as the process exits; a request that was read is
    // answered.
    if (result.stage == net::exchange_stage::kSent) {
      EXPECT_TRUE(Eventually(milliseconds(500), [&] { return fleet_.node(0).Poll().has_value(); }));
    }
    std::this_thread::sleep_for(milliseconds(10));
  }
  slow.join();
  EXPECT_EQ(slow_status, 200);
  EXPECT_GT(answered, 20);
  EXPECT_EQ(fleet_.node(0).Poll(), 0);
  EXPECT_LE(steady_clock::now() - started_at, milliseconds(6'000));
}

// Guards against an at-most-once request that arrives late in the grace period, runs for longer
// than it and is cut off without an answer, or is reported as not run although it runs.
TEST_F(mesh_test, LateRequestsOfALongShutdownAreAnsweredTruthfully) {
  fleet_.SetRouteTimeout(std::chrono::seconds(10));
  fleet_.Configure(2);
  ASSERT_TRUE(Eventually(milliseconds(2'000), [&] {
    return fleet_.ReadLog(0).find("config_active version=2") != std::string::npos;
  }));
  fleet_.node(0).Signal(SIGTERM);
  const auto started_at = steady_clock::now();
  std::mutex mutex;
  std::map<std::string, net::http_result> results;
  std::vector<std::thread> callers;
  while (!fleet_.node(0).Poll() && steady_clock::now() < started_at + milliseconds(8'000)) {
    const std::string kind = callers.size() % 2 == 0 ? "/long" : "/slow";
    callers.emplace_back([&, target = "/once/dock/" + std::to_string(callers.size()) + kind] {
      net::http_result result = fleet_.Send(0, target, "POST");
      const std::lock_guard lock(mutex);
      results[target] = std::move(result);
    });
    std::this_thread::sleep_for(milliseconds(100));
  }
  for (std::thread& caller : callers) caller.join();
  EXPECT_EQ(fleet_.node(0).Poll(), 0);
  std::size_t answered = 0;
  for (const auto& [target, result] : results) {
    const bool promised_not_run =
        result.stage == net::exchange_stage::kAnswered && result.response.status == 503;
    if (result.stage == net::exchange_stage::kAnswered) ++answered;
    // A request that crosses the close of its connection is not passed on.
    if (promised_not_run || result.stage != net::exchange_stage::kAnswered) {
      EXPECT_EQ(CountRuns(target), 0U) << target << ' ' << result.response.status << result.error;
    }
  }
  EXPECT_GT(answered, 20U);
}

// Guards against a request that is cut off because it waits in another node's queue when the node
// that accepted it exits, whether it arrived before or after the SIGTERM.
TEST_F(mesh_test, ShutdownAnswersRequestsThatWaitAtOtherNodes) {
  fleet_.SetRouteTimeout(std::chrono::seconds(9));
  fleet_.Configure(5, "dock");
  ASSERT_TRUE(Eventually(milliseconds(2'000),
                         [&] { return fleet_.Send(0, "/extra/1").response.status == 200; }));
  // Both upstreams have four slots.
  std::vector<std::thread> callers;
  callers.reserve(10);
  for (int i = 0; i < 8; ++i) {
    callers.emplace_back([&] { fleet_.Send(1, "/once/dock/long", "POST"); });
  }
  ASSERT_TRUE(Eventually(milliseconds(2'000), [&] { return CountRuns("/once/dock/long") == 8; }));
  std::array<net::http_result, 2> results;
  callers.emplace_back([&] { results[0] = fleet_.Send(0, "/once/dock/before", "POST"); });
  std::this_thread::sleep_for(milliseconds(100));
  fleet_.node(0).Signal(SIGTERM);
  std::this_thread::sleep_for(milliseconds(1'500));
  callers.emplace_back([&] { results[1] = fleet_.Send(0, "/once/dock/after", "POST"); });
  for (std::thread& caller : callers) caller.join();
  for (const net::http_result& result : results) {
    EXPECT_EQ(result.response.status, 503U) << result.error;
  }
  EXPECT_EQ(CountRuns("/once/dock/before") + CountRuns("/once/dock/after"), 0U);
}

// Guards against calls to a stopping node: other nodes called it again after each short ejection,
// and those calls that were unread at its exit ended as unknown.
TEST_F(mesh_test, StoppingNodeRefusesEachOtherNodeOnce) {
  fleet_.node(1).Signal(SIGTERM);
  const auto started_at = steady_clock::now();
  while (!fleet_.node(1).Poll() && steady_clock::now() < started_at + milliseconds(8'000)) {
    EXPECT_EQ(fleet_.Send(0, "/once/dock/x", "POST").response.status, 200U);
  }
  EXPECT_EQ(fleet_.node(1).Poll(), 0);
  EXPECT_LE(CountLines(1, "cause=draining"), 1U);
}

// Guards against a SIGHUP that terminates the process.
TEST_F(mesh_test, ReloadKeepsServing) {
  fleet_.node(0).Signal(SIGHUP);
  EXPECT_TRUE(Eventually(milliseconds(2'000), [&] {
    return fleet_.ReadLog(0).find("event=reloaded") != std::string::npos;
  }));
  EXPECT_EQ(fleet_.Send(0, "/dock/x").response.status, 200U);
}

// Guards against a heartbeat that arrives late at the next process of a node: the process before
// was killed after it had acknowledged the departure, and the upstream got requests again.
TEST_F(mesh_test, AcknowledgedDepartureBindsTheNextProcess) {
  ASSERT_TRUE(fleet_.SendDeparture(1));
  fleet_.node(1).Signal(SIGKILL);
  fleet_.node(1).Wait();
  fleet_.StartNode(1);
  ASSERT_TRUE(Eventually(milliseconds(10'000), [&] { return fleet_.SendHeartbeat(1, "ready"); }));
  const std::size_t before = fleet_.instance(1).runs().size();
  for (int i = 0; i < 50; ++i) {
    EXPECT_EQ(fleet_.Send(0, "/dock/x").response.status, 200U);
    fleet_.SendHeartbeat(1, "ready");
    std::this_thread::sleep_for(milliseconds(20));
  }
  EXPECT_EQ(fleet_.instance(1).runs().size(), before);
  const auto record = fleet_.store().Read("siskinrack-endpoints", "i-1");
  ASSERT_TRUE(record.is_object());
  EXPECT_EQ(record.at("state"), "departed");
}

// Guards against an upstream that restarts with the id that it had and is never used again because
// its earlier lifetime departed.
TEST_F(mesh_test, UpstreamThatReturnsAfterItsDepartureIsUsed) {
  ASSERT_TRUE(fleet_.SendDeparture(1));
  ASSERT_TRUE(Eventually(milliseconds(5'000), [&] {
    const auto record = fleet_.store().Read("siskinrack-endpoints", "i-1");
    return record.is_object() && record.at("state") == "departed";
  }));
  fleet_.RestartInstance(1);
  const std::size_t before = fleet_.instance(1).runs().size();
  EXPECT_TRUE(Eventually(milliseconds(10'000), [&] {
    fleet_.Send(0, "/dock/x");
    return fleet_.instance(1).runs().size() > before;
  }));
}

// Guards against a record that stays wrong because the answer to its write was lost.
TEST_F(mesh_test, RecordIsCorrectedAfterALostWriteAnswer) {
  fleet_.store().LoseWriteAnswers(1);
  fleet_.SendHeartbeat(1, "draining");
  EXPECT_TRUE(Eventually(milliseconds(6'000), [&] {
    const auto record = fleet_.store().Read("siskinrack-endpoints", "i-1");
    return record.is_object() && record.at("state") == "draining";
  }));
}

// Guards against the record of a node that is permanently gone: it stayed "ready" in the store, and
// calls were sent to its address. A node that runs again writes its record again.
TEST_F(mesh_test, RecordOfALostNodeIsRemovedAndRestoredWithIt) {
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

// Guards against store calls at full cost whose number grows with the fleet: each change of an
// endpoint ends one watch call of every node.
TEST_F(mesh_test, EndpointsAreWatchedWithStaleReads) {
  const std::size_t before = fleet_.store().CountNonStaleCalls("siskinrack-endpoints");
  fleet_.SendHeartbeat(1, "draining");
  EXPECT_TRUE(Eventually(milliseconds(3'000), [&] {
    return fleet_.ReadLog(0).find("event=endpoint_changed instance=i-1") != std::string::npos;
  }));
  // The one call is the write of the record itself.
  EXPECT_EQ(fleet_.store().CountNonStaleCalls("siskinrack-endpoints"), before + 1);
}

// Guards against a stale list that is older than the store's history and so is repeated at once: a
// compaction cost hundreds of calls per node.
TEST_F(mesh_test, StaleListOlderThanTheHistoryIsNotRepeated) {
  fleet_.store().FreezeStaleReads(true);
  fleet_.Configure(5, "dock");
  ASSERT_TRUE(Eventually(milliseconds(2'000),
                         [&] { return fleet_.Send(0, "/extra/1").response.status == 200; }));
  const std::size_t before = fleet_.store().CountLists("siskinrack-endpoints");
  fleet_.store().ForgetHistory();
  std::this_thread::sleep_for(milliseconds(1'500));
  EXPECT_LE(fleet_.store().CountLists("siskinrack-endpoints"), before + 3);
  EXPECT_EQ(fleet_.Send(1, "/dock/x").response.status, 200U);
}

// Guards against store calls at full cost that every node repeats during an outage.
TEST_F(mesh_test, StoreOutageCausesOnlyStaleReads) {
  fleet_.store().SetDown(true);
  const std::size_t before = fleet_.store().CountNonStaleCalls("config");
  std::this_thread::sleep_for(milliseconds(3'000));
  // The three watch calls that wait when the outage begins were counted before it.
  EXPECT_EQ(fleet_.store().CountNonStaleCalls("config"), before);
  fleet_.store().SetDown(false);
  fleet_.Configure(5, "dock");
  EXPECT_TRUE(Eventually(milliseconds(2'000),
                         [&] { return fleet_.Send(0, "/extra/1").response.status == 200; }));
}

// Guards against a request that crashes one upstream after another, also if it is repeated at
// another VM.
TEST_F(mesh_test, RequestThatCrashesItsUpstreamsIsQuarantinedEverywhere) {
  EXPECT_EQ(fleet_.Send(0, "/dock/crash").response.status, 502U);
  const std::size_t crashes = CountRuns("/dock/crash");
  EXPECT_EQ(crashes, 2U);
  std::this_thread::sleep_for(milliseconds(1'500));
  for (std::size_t i = 0; i < 3; ++i) {
    EXPECT_EQ(fleet_.Send(i, "/dock/crash").response.status, 503U) << i;
    EXPECT_EQ(fleet_.Send(i, "/dock/innocent").response.status, 200U) << i;
  }
  EXPECT_EQ(CountRuns("/dock/crash"), crashes);
}

// Guards against a refusal or a failure of an overloaded upstream that counts as proof that the
// request is harmless: it cleared the crash evidence, and the request crashed upstreams without
// end.
TEST_F(mesh_test, RefusedOrFailedRunDoesNotClearCrashEvidence) {
  fleet_.instance(2).SetRefusing(true);
  EXPECT_NE(fleet_.Send(0, "/dock/crash").response.status, 200U);
  std::this_thread::sleep_for(milliseconds(300));
  for (int i = 0; i < 4; ++i) EXPECT_NE(fleet_.Send(0, "/dock/crash").response.status, 200U);
  fleet_.instance(2).SetRefusing(false);
  fleet_.instance(2).SetFailing(true);
  for (int i = 0; i < 4; ++i) EXPECT_NE(fleet_.Send(0, "/dock/crash").response.status, 200U);
  fleet_.instance(2).SetFailing(false);
  EXPECT_LE(CountRunsOfRepeatedCrasher(), kMaxCrasherRuns);
}

// Guards against a request that is reported as not run because its last attempt was refused,
// although an earlier attempt has run.
TEST_F(mesh_test, RefusalAfterARunIsNotReportedAsNotRun) {
  fleet_.instance(2).SetRefusing(true);
  // The first attempt may reach the instance that refuses, and the second one the other.
  for (int i = 0; i < 4 && CountRuns("/dock/crash") == 0; ++i) {
    EXPECT_EQ(fleet_.Send(0, "/dock/crash").response.status, 502U);
  }
  EXPECT_EQ(CountRuns("/dock/crash"), 1U);
}

// Guards against a crash that is lost because another connection broke harmlessly just before it.
TEST_F(mesh_test, HarmlessBreaksDoNotHideCrashes) {
  EXPECT_LE(CountRunsOfRepeatedCrasher([&](std::size_t i) {
              fleet_.Send(i % 3, "/dock/" + std::to_string(i) + "/malformed");
            }),
            kMaxCrasherRuns);
  for (std::size_t i = 0; i < 3; ++i) {
    EXPECT_EQ(fleet_.Send(i, "/dock/innocent").response.status, 200U) << i;
  }
}

// Guards against a quarantine that ends when the route of the request moves to another service.
TEST_F(mesh_test, QuarantineFollowsTheRouteToAnotherService) {
  fleet_.Configure(2, "dock");
  ASSERT_TRUE(Eventually(milliseconds(2'000),
                         [&] { return fleet_.Send(0, "/extra/1").response.status == 200; }));
  EXPECT_EQ(fleet_.Send(0, "/extra/crash").response.status, 502U);
  std::this_thread::sleep_for(milliseconds(1'500));
  fleet_.Configure(3, "shop");
  ASSERT_TRUE(Eventually(milliseconds(2'000),
                         [&] { return fleet_.Send(0, "/extra/2").response.body == "by i-0"; }));
  const std::size_t crashes = CountRuns("/extra/crash");
  EXPECT_EQ(fleet_.Send(0, "/extra/crash").response.status, 503U);
  EXPECT_EQ(CountRuns("/extra/crash"), crashes);
}

// Guards against a node that lets a crashing request through because it started after the crashes.
TEST_F(mesh_test, NodesThatStartAfterTheCrashesRefuseTheRequest) {
  EXPECT_EQ(fleet_.Send(0, "/dock/crash").response.status, 502U);
  const std::size_t crashes = CountRuns("/dock/crash");
  std::this_thread::sleep_for(milliseconds(1'500));
  const std::string_view received = "event=crash_history_received";
  for (std::size_t i = 0; i < 3; ++i) {
    const std::size_t before = CountLines(i, received);
    fleet_.StartNode(i);
    ASSERT_TRUE(fleet_.AwaitReady());
    // The time after its start from which the platform counts a node as in touch.
    EXPECT_TRUE(Eventually(milliseconds(3'000), [&] { return CountLines(i, received) > before; }));
  }
  for (std::size_t i = 0; i < 3; ++i) {
    // A restarted node uses its upstream from the next heartbeat on.
    EXPECT_TRUE(Eventually(milliseconds(3'000), [&] {
      return fleet_.Send(i, "/dock/innocent").response.status == 200;
    })) << i;
    EXPECT_EQ(fleet_.Send(i, "/dock/crash").response.status, 503U) << i;
  }
  EXPECT_EQ(CountRuns("/dock/crash"), crashes);
}

// Guards against an upstream that gets more requests than the limit that it names, also from a node
// that has forgotten the limit in a restart.
TEST_F(mesh_test, UpstreamGetsNoMoreThanItsNamedLimit) {
  constexpr double kLimit = 10;
  constexpr double kWindowS = 4;
  for (std::size_t i = 1; i < 3; ++i) fleet_.instance(i).SetNamedLimit(kLimit);
  std::atomic<bool> stopped = false;
  std::vector<std::thread> callers;
  for (std::size_t i = 0; i < 9; ++i) {
    callers.emplace_back([&, i] {
      while (!stopped) {
        fleet_.Send(i % 2, "/dock/limited");
        std::this_thread::sleep_for(milliseconds(5));
      }
    });
  }
  // The time that the platform allows until the limit holds.
  std::this_thread::sleep_for(std::chrono::seconds(3));
  const auto begin = steady_clock::now();
  std::this_thread::sleep_for(std::chrono::seconds(2));
  fleet_.StartNode(2);
  std::this_thread::sleep_for(std::chrono::seconds(5));
  stopped = true;
  for (std::thread& caller : callers) caller.join();
  for (std::size_t i = 1; i < 3; ++i) {
    std::size_t most = 0;
    const std::vector<observed_run> runs = fleet_.instance(i).runs();
    for (const observed_run& first : runs) {
      if (first.at < begin) continue;
      const auto end = first.at + std::chrono::duration<double>(kWindowS);
      most = std::max<std::size_t>(
          most, std::count_if(runs.begin(), runs.end(),
                              [&](const auto& run) { return run.at >= first.at && run.at < end; }));
    }
    EXPECT_LE(most, 1.5 * kLimit * kWindowS + 5) << "instance " << i;
    EXPECT_GE(most, kLimit * kWindowS / 2) << "instance " << i;
  }
}

// Guards against requests to an upstream that has announced its departure in an answer, also while
// the store is unavailable, no heartbeat says so and its node has forgotten it in a restart.
TEST_F(mesh_test, DepartureAnnouncedInAnAnswerEndsNewWork) {
  fleet_.store().SetDown(true);
  fleet_.instance(1).SetLeaving();
  ASSERT_TRUE(Eventually(milliseconds(2'000), [&] {
    return fleet_.Send(0, "/dock/announce").response.body == "by i-1";
  }));
  std::this_thread::sleep_for(milliseconds(1'000));
  const std::size_t before = fleet_.instance(1).runs().size();
  for (int i = 0; i < 40; ++i) {
    if (i == 20) fleet_.StartNode(1);
    EXPECT_EQ(fleet_.Send(0, "/dock/later").response.body, "by i-2");
    std::this_thread::sleep_for(milliseconds(50));
  }
  EXPECT_EQ(fleet_.instance(1).runs().size(), before);
}

// Guards against a node that doesn't rejoin the mesh after it was killed.
TEST_F(mesh_test, KilledNodeServesAgain) {
  fleet_.node(1).Signal(SIGKILL);
  fleet_.node(1).Wait();
  EXPECT_EQ(fleet_.Send(0, "/dock/meanwhile").response.status, 200U);
  fleet_.StartNode(1);
  EXPECT_TRUE(fleet_.AwaitReady());
}

}  // namespace
}  // namespace siskinrack::test
