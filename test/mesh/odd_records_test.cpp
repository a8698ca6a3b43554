#include <gtest/gtest.h>

#include <thread>

#include "mesh_fleet.h"

namespace siskinrack::test {
namespace {

namespace json = boost::json;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr const char* kEndpointKind = "siskinrack-endpoints";

template <typename Check>
bool Eventually(milliseconds timeout, Check check) {
  const auto end = steady_clock::now() + timeout;
  while (!check()) {
    if (steady_clock::now() > end) return false;
    std::this_thread::sleep_for(milliseconds(20));
  }
  return true;
}

json::value Nest(json::value value, int levels) {
  for (int i = 0; i < levels; ++i) value = json::array{std::move(value)};
  return value;
}

/// Returns a record that is valid except for `name`, which has `value`.
json::value MakeRecord(const std::string& name, json::value value) {
  json::object record{{"instance", "i-odd"},  {"born_ms", 1}, {"service", "dock"},
                      {"zone", "zone-a"},     {"slots", 4},   {"state", "ready"},
                      {"node", "127.0.0.1:1"}};
  record[name] = std::move(value);
  return record;
}

/// Returns records that another writer could leave, by their names.
std::map<std::string, json::value> MakeOddRecords() {
  std::map<std::string, json::value> records{
      {"deep", Nest(1, 150)},
      {"deep-member", MakeRecord("zone", Nest(1, 150))},
      {"deep-unknown", MakeRecord("unknown", Nest(json::object{{"a", 1}}, 150))},
      {"large-unsigned", MakeRecord("born_ms", std::uint64_t{18'446'744'073'709'551'615U})},
      {"large-signed", MakeRecord("born_ms", std::int64_t{9'223'372'036'854'775'807})},
      {"large-double", MakeRecord("slots", 1e300)},
      {"negative", MakeRecord("slots", -1)},
      {"null", nullptr},
      {"text", "record"},
      {"empty", json::object{}},
      {"long", MakeRecord("instance", json::string(900'000, 'x'))},
      {"instance-control", MakeRecord("instance", "a\r\nb: c")},
      {"state", MakeRecord("state", "asleep")},
      // The next page of a list is requested by a name.
      {"name with spaces", MakeRecord("state", "asleep")},
      {"name&waitMs=30000", MakeRecord("state", "asleep")},
      {"name%20?#/", MakeRecord("state", "asleep")},
      {"name\r\nX: y", MakeRecord("state", "asleep")},
      {"zzz", MakeRecord("state", "asleep")},
  };
  int number = 0;
  for (const char* address : {"127.0.0.1:70000", "127.0.0.1:-1", "127.0.0.1:0", "127.0.0.1:", ":80",
                              "0.0.0.0:1", "224.0.0.1:1", "255.255.255.255:1", "[::1]:80",
                              "host:80", "127.0.0.1:99999999999999999999"}) {
    records["port-" + std::to_string(++number)] = MakeRecord("node", address);
  }
  return records;
}

class odd_records_test : public testing::Test {
 protected:
  static constexpr std::size_t kNodes = 3;

  void SetUp() override {
    fleet_.Configure(1);
    for (std::size_t i = 0; i < kNodes; ++i) fleet_.StartNode(i);
    ASSERT_TRUE(fleet_.AwaitReady()) << fleet_.ReadLog(0);
  }
  void TearDown() override {
    if (!HasFailure()) return;
    for (std::size_t i = 0; i < kNodes; ++i)
      std::cout << fleet_.ReadLog(i).substr(0, 6'000) << '\n';
  }

  /// Checks that all nodes run, serve, and follow a change of the configuration.
  void ExpectWorkingMesh(const std::string& when) {
    fleet_.Configure(++version_);
    const std::string line = "siskinrack_config_version " + std::to_string(version_) + '\n';
    for (std::size_t i = 0; i < kNodes; ++i) {
      EXPECT_FALSE(fleet_.node(i).Poll()) << "node " << i << " ended, " << when;
      EXPECT_TRUE(Eventually(milliseconds(4'000),
                             [&] { return fleet_.ReadMetrics(i).find(line) != std::string::npos; }))
          << "node " << i << " doesn't follow the configuration, " << when;
      EXPECT_TRUE(Eventually(milliseconds(4'000),
                             [&] { return fleet_.Send(i, "/dock/x").response.status == 200; }))
          << "node " << i << " doesn't serve, " << when;
    }
  }

  mesh_fleet fleet_{{"shop", "dock", "dock"}};
  std::uint64_t version_ = 1;
};

// Guards against an entry of another writer that ends the nodes that read it, or that they can't
// get past: each comes with a watch first, and with the list of restarted nodes afterwards.
TEST_F(odd_records_test, EndNoNodeAndHideNoOtherRecord) {
  for (const auto& [name, record] : MakeOddRecords()) {
    fleet_.store().Write(kEndpointKind, name, record);
    fleet_.store().Write("config", "odd-" + name, record);
    std::this_thread::sleep_for(milliseconds(20));
  }
  ExpectWorkingMesh("after watches");
  for (std::size_t i = 0; i < kNodes; ++i) fleet_.StartNode(i);
  ExpectWorkingMesh("after lists");
}

// Guards against a heartbeat of another writer that ends the node or replaces its upstream.
TEST_F(odd_records_test, HeartbeatsEndNoNode) {
  for (const auto& [name, record] : MakeOddRecords()) {
    for (const json::value& body :
         {record, json::value{{"born", record}, {"address", name}},
          json::value{{"born", 1}, {"address", "x:70000"}, {"info", record}, {"status", record}}}) {
      fleet_.SendHeartbeatBody(0, "i-other", json::serialize(body));
      fleet_.SendHeartbeatBody(1, "i-1", json::serialize(body));
    }
  }
  for (const char* text : {"", "{", "[[[[", "{\"born\":1e999}", "{\"born\":-1e999,\"status\":1}",
                           "{\"born\":123456789012345678901234567890}", "\xff\xfe", "nul"}) {
    fleet_.SendHeartbeatBody(1, "i-1", text);
  }
  fleet_.SendHeartbeatBody(1, "i-1", std::string(100'000, '['));
  ExpectWorkingMesh("after heartbeats");
}

}  // namespace
}  // namespace siskinrack::test
