#include <gtest/gtest.h>

#include <algorithm>
#include <csignal>
#include <thread>

#include "mesh_fleet.h"

namespace siskinrack::test {
namespace {

namespace json = boost::json;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr std::string_view kKey = "gxprymh2rrytapjsujqu";
constexpr std::string_view kOtherKey = "rtyiikdrbn4ryrbbkf83";
constexpr std::string_view kUnknownKey = "zzunknownzzunknownzz";
constexpr unsigned kUnauthorized = 401;
constexpr unsigned kTooMany = 429;

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

json::object MakeTenant(std::string_view name, const std::vector<std::string_view>& keys,
                        double per_second = 0, double burst = 0) {
  json::array list;
  for (const std::string_view key : keys) list.emplace_back(key);
  return {{"name", name},
          {"apiKeys", list},
          {"priority", 0},
          {"ratePerS", per_second},
          {"burst", burst}};
}

class tenants_test : public testing::Test {
 protected:
  void TearDown() override {
    if (!HasFailure()) return;
    for (std::size_t i = 0; i < 3; ++i) std::cout << fleet_.ReadLog(i) << '\n';
  }

  void Start(json::array tenants, const std::vector<std::string>& bounds = {}) {
    fleet_.AddBounds(bounds);
    fleet_.SetTenants(std::move(tenants));
    fleet_.Configure(1);
    for (std::size_t i = 0; i < 3; ++i) fleet_.StartNode(i);
    ASSERT_TRUE(fleet_.AwaitReady()) << fleet_.ReadLog(0);
  }

  net::http_result SendWithKey(std::size_t machine, const std::string& target,
                               std::string_view key) {
    return fleet_.Send(machine, target, "GET", {},
                       {{"Authorization", "Bearer " + std::string(key)}, {"Tenant", "forged"}});
  }
  unsigned GetStatus(std::size_t machine, const std::string& target, std::string_view key) {
    return SendWithKey(machine, target, key).response.status;
  }

  std::vector<observed_run> FindRuns(std::string_view target) {
    std::vector<observed_run> found;
    for (std::size_t i = 0; i < 3; ++i) {
      for (const observed_run& run : fleet_.instance(i).runs()) {
        if (run.target == target) found.push_back(run);
      }
    }
    return found;
  }

  mesh_fleet fleet_{{"shop", "dock", "dock"}};
};

// Guards against requests that run without a key or with one that no tenant holds, against a tenant
// name that the caller forges, and against a key that reaches an upstream.
TEST_F(tenants_test, KeyDecidesAboutAccess) {
  Start({MakeTenant("first", {kKey}), MakeTenant("second", {kOtherKey})});
  EXPECT_EQ(GetStatus(0, "/dock/first", kKey), 200U);
  EXPECT_EQ(GetStatus(1, "/shop/second", kOtherKey), 200U);
  const auto unknown = SendWithKey(0, "/dock/unknown", kUnknownKey);
  EXPECT_EQ(unknown.response.status, kUnauthorized);
  EXPECT_EQ(net::FindField(unknown.response.fields, "WWW-Authenticate"), "Bearer");
  EXPECT_EQ(fleet_.Send(0, "/dock/none").response.status, kUnauthorized);
  EXPECT_EQ(
      fleet_.Send(0, "/dock/basic", "GET", {}, {{"Authorization", "Basic eDp5"}}).response.status,
      kUnauthorized);
  EXPECT_EQ(fleet_.Send(0, "/once/dock/open", "GET", {}, {{"Tenant", "forged"}}).response.status,
            200U);
  for (const auto& [target, tenant] :
       {std::pair("/dock/first", "first"), {"/shop/second", "second"}, {"/once/dock/open", ""}}) {
    const auto runs = FindRuns(target);
    ASSERT_EQ(runs.size(), 1U) << target;
    EXPECT_EQ(runs[0].tenant, tenant) << target;
    EXPECT_EQ(runs[0].authorization, "") << target;
  }
  for (const std::string_view target : {"/dock/unknown", "/dock/none", "/dock/basic"}) {
    EXPECT_TRUE(FindRuns(target).empty()) << target;
  }
}

// Guards against a key in a log, in the metrics, or in an answer. The log is all that the time line
// is made of.
TEST_F(tenants_test, KeyAppearsInNoOutput) {
  Start({MakeTenant("first", {kKey}, 2, 2), MakeTenant("second", {kOtherKey})});
  std::string seen;
  for (std::size_t i = 0; i < 3; ++i) {
    for (const std::string target : {"/dock/a", "/dock/refuse", "/once/dock/break", "/nowhere/"}) {
      for (const std::string_view key : {kKey, kOtherKey, kUnknownKey}) {
        const auto result = SendWithKey(i, target, key);
        seen += result.response.body;
        for (const auto& field : result.response.fields) seen += field.name + field.value;
      }
    }
  }
  // A configuration that is rejected, with the key where a name is expected.
  json::object odd = MakeTenant("third", {kKey});
  odd["apiKeys"] = json::array{kKey, 7};
  fleet_.SetTenants({odd});
  fleet_.Configure(2);
  EXPECT_TRUE(Eventually(milliseconds(3'000), [&] {
    return fleet_.ReadLog(0).find("config_rejected") != std::string::npos;
  }));
  for (std::size_t i = 0; i < 3; ++i) seen += fleet_.ReadLog(i) + fleet_.ReadMetrics(i);
  EXPECT_NE(seen.find("siskinrack_tenant_requests_total{tenant=\"first\"}"), std::string::npos);
  for (const std::string_view key : {kKey, kOtherKey, kUnknownKey}) {
    EXPECT_EQ(seen.find(key), std::string::npos);
  }
}

// Guards against a change for deployments without tenants.
TEST_F(tenants_test, WithoutTenantsTheFieldIsPassedOn) {
  Start({});
  EXPECT_EQ(GetStatus(0, "/dock/plain", kKey), 200U);
  const auto runs = FindRuns("/dock/plain");
  ASSERT_EQ(runs.size(), 1U);
  EXPECT_EQ(runs[0].authorization, "Bearer " + std::string(kKey));
  EXPECT_EQ(runs[0].tenant, "forged");
}

// Guards against a removed key that stays usable, and against an added one that isn't.
TEST_F(tenants_test, ChangedKeysTakeEffect) {
  Start({MakeTenant("first", {kKey})});
  EXPECT_EQ(GetStatus(0, "/dock/a", kKey), 200U);
  fleet_.SetTenants({MakeTenant("first", {kOtherKey})});
  fleet_.Configure(2);
  std::this_thread::sleep_for(milliseconds(2'000));
  for (std::size_t i = 0; i < 3; ++i) {
    EXPECT_EQ(GetStatus(i, "/dock/a", kKey), kUnauthorized);
    EXPECT_EQ(GetStatus(i, "/dock/a", kOtherKey), 200U);
  }
}

// Guards against keys that are used although the store can't be read: one may have been removed.
// 503 says that the request has not run; requests without a key are served on.
TEST_F(tenants_test, KeysAreRefusedWithoutAProof) {
  Start({MakeTenant("first", {kKey})}, {"revokeStrict=true", "revokeS=3"});
  for (std::size_t i = 0; i < 3; ++i) {
    EXPECT_TRUE(
        Eventually(milliseconds(3'000), [&] { return GetStatus(i, "/dock/a", kKey) == 200; }));
  }
  fleet_.store().SetDown(true);
  std::this_thread::sleep_for(milliseconds(3'000));
  for (std::size_t i = 0; i < 3; ++i) {
    const auto refused = SendWithKey(i, "/dock/down", kKey);
    EXPECT_EQ(refused.response.status, 503U);
    EXPECT_FALSE(net::FindField(refused.response.fields, "Retry-After").empty());
    EXPECT_EQ(GetStatus(i, "/dock/down", kUnknownKey), 503U);
    EXPECT_EQ(fleet_.Send(i, "/dock/down").response.status, kUnauthorized);
    EXPECT_EQ(fleet_.Send(i, "/once/dock/open").response.status, 200U);
  }
  EXPECT_TRUE(FindRuns("/dock/down").empty());
  fleet_.store().SetDown(false);
  for (std::size_t i = 0; i < 3; ++i) {
    EXPECT_TRUE(
        Eventually(milliseconds(2'500), [&] { return GetStatus(i, "/dock/b", kKey) == 200; }));
  }
}

// Guards against a node that wakes and uses keys that were removed while it was stopped.
TEST_F(tenants_test, StoppedNodeUsesNoOldKeys) {
  Start({MakeTenant("first", {kKey})}, {"revokeStrict=true", "revokeS=3"});
  EXPECT_TRUE(
      Eventually(milliseconds(3'000), [&] { return GetStatus(0, "/dock/a", kKey) == 200; }));
  fleet_.node(0).Signal(SIGSTOP);
  fleet_.SetTenants({MakeTenant("first", {kOtherKey})});
  fleet_.Configure(2);
  std::this_thread::sleep_for(milliseconds(3'500));
  fleet_.node(0).Signal(SIGCONT);
  for (int i = 0; i < 20; ++i) EXPECT_NE(GetStatus(0, "/dock/woken", kKey), 200U);
  EXPECT_TRUE(FindRuns("/dock/woken").empty());
}

// Guards against store reads of every node: the proofs of two provers serve the failure domain.
TEST_F(tenants_test, FewNodesReadTheStore) {
  Start({MakeTenant("first", {kKey})}, {"revokeStrict=true", "revokeS=5"});
  std::this_thread::sleep_for(milliseconds(1'500));
  const std::size_t before = fleet_.store().CountNonStaleCalls("config");
  std::this_thread::sleep_for(milliseconds(5'000));
  // Two provers, each about one read per second.
  constexpr std::size_t kReads = 11;
  EXPECT_LE(fleet_.store().CountNonStaleCalls("config"), before + kReads);
  for (std::size_t i = 0; i < 3; ++i) EXPECT_EQ(GetStatus(i, "/dock/a", kKey), 200U);
}

// Guards against a silent watch of the configuration that a change of an endpoint hides: the node
// used the old version for 12 s and more.
TEST_F(tenants_test, SilentWatchOfTheConfigurationIsNoticed) {
  Start({});
  // Until the feeds wait for changes.
  std::this_thread::sleep_for(milliseconds(1'500));
  fleet_.store().SilenceWatches("config");
  fleet_.Configure(2, "dock");
  fleet_.SendHeartbeat(2, "draining");
  for (std::size_t i = 0; i < 3; ++i) {
    EXPECT_TRUE(Eventually(milliseconds(4'000), [&] {
      return fleet_.Send(i, "/extra/1").response.status == 200;
    })) << i;
  }
}

// Guards against the same for the endpoints, hidden by a change of the configuration.
TEST_F(tenants_test, SilentWatchOfTheEndpointsIsNoticed) {
  Start({});
  // Until the feeds wait for changes.
  std::this_thread::sleep_for(milliseconds(1'500));
  fleet_.store().SilenceWatches("siskinrack-endpoints");
  fleet_.SendHeartbeat(1, "draining");
  fleet_.Configure(2, "dock");
  EXPECT_TRUE(Eventually(milliseconds(4'000), [&] {
    return fleet_.ReadLog(0).find("event=endpoint_changed instance=i-1") != std::string::npos;
  }));
}

// Guards against a cap that each node keeps by itself, and against a 429 without a time.
TEST_F(tenants_test, CapHoldsOverAllNodes) {
  constexpr double kRate = 10;
  constexpr double kBurst = 10;
  Start({MakeTenant("first", {kKey}, kRate, kBurst), MakeTenant("second", {kOtherKey})},
        {"quotaWindowS=5", "quotaExcess=0.1", "quotaSlack=5"});
  std::size_t served = 0;
  std::size_t refused = 0;
  const auto start = steady_clock::now();
  while (steady_clock::now() - start < milliseconds(3'000)) {
    for (std::size_t i = 0; i < 3; ++i) {
      const auto result = SendWithKey(i, "/dock/a", kKey);
      served += result.response.status == 200;
      if (result.response.status != kTooMany) continue;
      ++refused;
      EXPECT_FALSE(net::FindField(result.response.fields, "Retry-After").empty());
    }
  }
  const std::chrono::duration<double> took = steady_clock::now() - start;
  EXPECT_LE(static_cast<double>(served), (kRate * took.count() + kBurst) * 1.1 + 5);
  EXPECT_GE(static_cast<double>(served), kRate * 2);
  EXPECT_GT(refused, 0U);
  EXPECT_EQ(GetStatus(0, "/dock/a", kOtherKey), 200U);
}

}  // namespace
}  // namespace siskinrack::test
