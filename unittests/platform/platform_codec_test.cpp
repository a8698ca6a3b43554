#include <gtest/gtest.h>

#include <boost/json.hpp>

#include "configuration_codec.h"
#include "instance_codec.h"
#include "request_codec.h"
#include "rollout_codec.h"
#include "settings_file.h"

namespace siskinrack::platform_adapter {
namespace {

using std::chrono::milliseconds;

constexpr std::string_view kSettings = R"({
  "node": "sidecar-a-1", "zone": "a", "region": "r", "ip": "10.1.0.35",
  "listen": {"inbound": "10.1.0.35:8145", "outbound": "10.1.0.35:8141",
             "ready": "10.1.0.35:8140", "control": "10.1.0.35:8146"},
  "portRange": [7660, 7675], "limits": {"cpuShare": 0.2, "memoryMb": 260, "maxFds": 4100},
  "heartbeatS": 1.5,
  "bounds": ["configApplyS=2.5", "drainS=2", "graceS=6", "budgetRatio=0.2", "budgetWindowS=10", "budgetExtra=62",
             "someFlag=true"],
  "appAddr": "10.1.0.35:8147", "service": "huvo11a", "somethingNew": [1, 2],
  "platform": {"address": "10.200.1.7:8142"}})";

TEST(MachineSettings, AreReadFromThePlatformsFile) {
  support::findings problems;
  const machine_settings settings = ParseSettings(kSettings, problems);
  EXPECT_TRUE(problems.empty()) << problems.ToText();
  EXPECT_EQ(settings.caller_address.ToText(), "10.1.0.35:8141");
  EXPECT_EQ(settings.heartbeat_address.ToText(), "10.1.0.35:8146");
  EXPECT_EQ(settings.store_address.ToText(), "10.200.1.7:8142");
  EXPECT_EQ(settings.heartbeat_interval, milliseconds(1500));
  EXPECT_EQ(settings.activation_limit, milliseconds(2500));
  EXPECT_EQ(settings.drain_period, milliseconds(2000));
  EXPECT_DOUBLE_EQ(settings.retries.extra, 62);
  EXPECT_EQ(settings.memory_bytes, 260'000'000U);
  EXPECT_EQ(settings.max_descriptors, 4'100U);
}

// Guards against a node that doesn't start because its settings don't state every limit.
TEST(MachineSettings, LimitOfDescriptorsMayBeMissing) {
  std::string text(kSettings);
  constexpr std::string_view kLimit = ", \"maxFds\": 4100";
  text.erase(text.find(kLimit), kLimit.size());
  support::findings problems;
  EXPECT_EQ(ParseSettings(text, problems).max_descriptors, 1'024U);
  EXPECT_TRUE(problems.empty()) << problems.ToText();
}

// Guards against bounds of tenants that are not read: "true" is a word, not a number.
TEST(MachineSettings, BoundsOfTenantsAreRead) {
  std::string text(kSettings);
  support::findings problems;
  machine_settings settings = ParseSettings(text, problems);
  EXPECT_EQ(settings.revocation_limit, milliseconds(0));
  EXPECT_EQ(settings.caps, tenancy::cap_tolerance());
  text.replace(text.find("\"someFlag=true\""), 15,
               R"("revokeStrict=true", "revokeS=5", "quotaWindowS=4", "quotaExcess=0.1",
                  "quotaSlack=20")");
  settings = ParseSettings(text, problems);
  EXPECT_TRUE(problems.empty()) << problems.ToText();
  EXPECT_EQ(settings.revocation_limit, milliseconds(5'000));
  EXPECT_EQ(settings.caps, (tenancy::cap_tolerance{4, 0.1, 20}));
  text.replace(text.find("revokeStrict=true"), 17, "revokeStrict=false");
  EXPECT_EQ(ParseSettings(text, problems).revocation_limit, milliseconds(0));
}

// Guards against a parser that reports only the first problem.
TEST(MachineSettings, AllProblemsAreReportedTogether) {
  support::findings problems;
  ParseSettings(R"({"node": 7, "listen": {"inbound": "nowhere"}, "heartbeatS": -1,
                    "limits": {"memoryMb": 0}, "bounds": ["drainS"]})",
                problems);
  const std::string text = problems.ToText();
  for (const char* place : {"node", "listen.inbound", "listen.outbound", "heartbeatS",
                            "limits.memoryMb", "bounds", "appAddr", "service", "platform"}) {
    EXPECT_NE(text.find(place), std::string::npos) << place << " in\n" << text;
  }
}

TEST(MachineSettings, TextThatIsNotJsonIsAFinding) {
  support::findings problems;
  ParseSettings("{", problems);
  EXPECT_EQ(problems.size(), 1U);
  support::findings missing;
  ReadSettings("/nowhere/settings.json", missing);
  EXPECT_EQ(missing.size(), 1U);
}

constexpr std::string_view kConfiguration = R"({
  "version": 7,
  "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutS": 3,
             "idleTimeoutS": 15},
  "listeners": [{"host": "ficu95.example", "rules": [
    {"name": "r1", "kind": "non_idempotent", "targetLatencyS": 1.2, "priority": 2,
     "match": {"pathPrefix": "/pufi791/"},
     "action": {"service": "huvo11a", "timeoutS": 2, "attempts": 2}},
    {"name": "r2", "kind": "idempotent", "targetLatencyS": 0.5, "priority": 1,
     "match": {"pathPrefix": "/lohu930/"},
     "action": {"split": [{"service": "huvo11a", "weight": 90}, {"service": "w", "weight": 10}],
                "timeoutS": 1.5, "attempts": 2}}]}],
  "clusters": [{"name": "huvo11a", "healthPath": "/healthz", "maxConns": 130},
               {"name": "w", "healthPath": "/healthz", "maxConns": 130}]})";

TEST(Configuration, IsReadAsAWhole) {
  support::findings problems;
  const auto config = ReadConfiguration(boost::json::parse(kConfiguration), problems);
  ASSERT_TRUE(config) << problems.ToText();
  EXPECT_EQ(config->version, 7U);
  EXPECT_EQ(config->limits.idle_timeout, milliseconds(15'000));
  ASSERT_EQ(config->routes.size(), 2U);
  EXPECT_EQ(config->routes[0].repeats, routing::repeatability::kAtMostOnce);
  EXPECT_EQ(config->routes[1].repeats, routing::repeatability::kRepeatable);
  EXPECT_EQ(config->routes[1].timeout, milliseconds(1500));
  EXPECT_EQ(config->routes[1].targets[1].weight, 10U);
}

// Guards against tenants that are read in part, and against routes that are open by default.
TEST(Configuration, TenantsAreRead) {
  boost::json::value document = boost::json::parse(kConfiguration);
  document.as_object()["tenants"] = boost::json::parse(
      R"([{"name": "pulo780", "apiKeys": ["k1", "k2"], "priority": 1, "ratePerS": 64.5,
           "burst": 643}, {"name": "free", "apiKeys": []}])");
  auto& rules = document.as_object()["listeners"].as_array()[0].as_object()["rules"].as_array();
  rules[0].as_object()["public"] = true;
  support::findings problems;
  const auto config = ReadConfiguration(document, problems);
  ASSERT_TRUE(config) << problems.ToText();
  ASSERT_EQ(config->tenants.size(), 2U);
  EXPECT_EQ(config->tenants[0].keys.size(), 2U);
  EXPECT_EQ(config->tenants[0].keys[1], tenancy::ComputeKeyDigest("k2"));
  EXPECT_EQ(config->tenants[0].priority, 1U);
  EXPECT_DOUBLE_EQ(config->tenants[0].rate_per_second, 64.5);
  EXPECT_DOUBLE_EQ(config->tenants[0].burst, 643);
  EXPECT_FALSE(config->tenants[1].priority);
  EXPECT_DOUBLE_EQ(config->tenants[1].rate_per_second, 0);
  EXPECT_TRUE(config->routes[0].open);
  EXPECT_FALSE(config->routes[1].open);
}

// Guards against a finding, which is logged, that contains a key.
TEST(Configuration, FindingsContainNoKey) {
  boost::json::value document = boost::json::parse(kConfiguration);
  document.as_object()["tenants"] =
      boost::json::parse(R"([{"name": 1, "apiKeys": ["secretkey", 7], "ratePerS": -1}])");
  support::findings problems;
  EXPECT_FALSE(ReadConfiguration(document, problems));
  EXPECT_EQ(problems.size(), 3U) << problems.ToText();
  EXPECT_EQ(problems.ToText().find("secretkey"), std::string::npos);
}

// Guards against a key, or a forged name of a tenant, that stays in the request.
TEST(CallerRequest, KeyIsTakenOffTheRequest) {
  const auto take = [](std::vector<net::http_field> fields) {
    net::http_request request;
    request.fields = std::move(fields);
    auto key = TakeApiKey(request);
    EXPECT_TRUE(request.fields.empty());
    return key;
  };
  EXPECT_EQ(take({{"authorization", "bearer abc"}, {"TENANT", "forged"}}), "abc");
  EXPECT_EQ(take({{"Tenant", "forged"}}), std::nullopt);
  // One that can't be read, or several, are unknown keys and not missing ones.
  EXPECT_EQ(take({{"Authorization", "Basic abc"}}), "");
  EXPECT_EQ(take({{"Authorization", "Bearer "}}), "");
  EXPECT_EQ(take({{"Authorization", "Bearer a"}, {"Authorization", "Bearer b"}}), "");
}

// Guards against large answers that are lost with their upstream although the platform lets the
// request run again: a download was sent at most once.
TEST(Configuration, DownloadsMayBeRepeated) {
  const auto read = [](std::string_view kind) {
    boost::json::value document = boost::json::parse(kConfiguration);
    document.at("listeners").at(0).at("rules").at(0).as_object()["kind"] = kind;
    support::findings problems;
    return ReadConfiguration(document, problems).value().routes[0].repeats;
  };
  EXPECT_EQ(read("download"), routing::repeatability::kRepeatable);
  EXPECT_EQ(read("a kind of a later version"), routing::repeatability::kAtMostOnce);
}

// Guards against a version that is activated in part.
TEST(Configuration, AnyProblemRejectsTheWholeVersion) {
  const auto broken = [](auto change) {
    boost::json::value document = boost::json::parse(kConfiguration);
    change(document.as_object());
    support::findings problems;
    const auto config = ReadConfiguration(document, problems);
    return !config && !problems.empty();
  };
  EXPECT_TRUE(broken([](auto& config) { config.erase("version"); }));
  EXPECT_TRUE(broken([](auto& config) { config["listeners"].as_array()[0] = 1; }));
  EXPECT_TRUE(broken([](auto& config) { config["clusters"].as_array().pop_back(); }));
  EXPECT_TRUE(
      broken([](auto& config) { config["listeners"].as_array()[0].as_object().erase("host"); }));
  EXPECT_TRUE(broken([](auto& config) {
    auto& rule = config["listeners"].as_array()[0].as_object()["rules"].as_array()[0];
    rule.as_object()["match"].as_object()["pathPrefix"] = "no-slash";
  }));
}

net::http_request MakeHeartbeat(std::string body) {
  return {"PUT", "/api/instances/i-1", {}, std::move(body)};
}

TEST(InstanceCalls, HeartbeatIsRead) {
  support::findings problems;
  const auto call = ReadInstanceCall(MakeHeartbeat(R"({"address":"10.1.0.9:80","born":1700000000000,
        "info":{"service":"s","version":"v1","zone":"z","slots":6},
        "status":{"state":"draining","seq":4,"coldLeftS":1.5}})"),
                                     problems);
  const auto* report = std::get_if<routing::instance_report>(&call);
  ASSERT_NE(report, nullptr) << problems.ToText();
  EXPECT_EQ(report->life.instance_id, "i-1");
  EXPECT_EQ(report->life.born_ms, 1700000000000);
  EXPECT_EQ(report->state, routing::instance_state::kDraining);
  EXPECT_EQ(report->cold_left, milliseconds(1500));
  EXPECT_EQ(report->software_version, "v1");
}

// Guards against an upstream that is created from an invalid heartbeat.
TEST(InstanceCalls, UnreadableHeartbeatNamesNoUpstream) {
  for (const char* body :
       {"", "[]", "{\"address\":1}",
        R"({"address":"a:1","born":1.5,"info":{"service":"s","zone":"z","slots":6},
            "status":{"state":"ready","seq":4}})",
        R"({"address":"a:1","born":1,"info":{"service":"s","zone":"z","slots":"6"},
            "status":{"state":"ready","seq":4}})",
        R"({"address":"a:1","born":1,"info":{"service":"s","zone":"z","slots":6},
            "status":{"state":"asleep","seq":4}})"}) {
    support::findings problems;
    ReadInstanceCall(MakeHeartbeat(body), problems);
    EXPECT_FALSE(problems.empty()) << body;
  }
}

// Guards against a caller that sets header fields that only this system may set.
TEST(RequestFields, CallerCannotSetReservedFields) {
  net::http_request request{"GET",
                            "/",
                            {{"Request-Id", "r"},
                             {"Deadline-Ms", "1500"},
                             {"caller", "forged"},
                             {"Expect-Instance", "forged"},
                             {"X-Other", "kept"}},
                            {}};
  const caller_request caller = ExtractCallerFields(request);
  EXPECT_EQ(caller.id, "r");
  EXPECT_EQ(caller.deadline, milliseconds(1500));
  AddUpstreamFields({milliseconds(900), "i-1", "shop"}, request.fields);
  EXPECT_EQ(request.fields.size(), 5U);
  EXPECT_EQ(net::FindField(request.fields, "Caller"), "shop");
  EXPECT_EQ(net::FindField(request.fields, "Expect-Instance"), "i-1");
  EXPECT_EQ(net::FindField(request.fields, "Deadline-Ms"), "900");
}

// Guards against a request that is reported as not run although it may have run.
TEST(UpstreamAnswers, OnlyTheUpstreamCanReportNotRun) {
  EXPECT_FALSE(ReadUpstreamAnswer({503, {}, {}}).not_run);
  EXPECT_FALSE(ReadUpstreamAnswer({429, {{"Server-Stamp", "s"}}, {}}).not_run);
  EXPECT_TRUE(ReadUpstreamAnswer({503, {{"Not-Run", "1"}}, {}}).not_run);
  EXPECT_TRUE(ReadUpstreamAnswer({421, {}, {}}).wrong_instance);
  EXPECT_TRUE(ReadUpstreamAnswer({200, {{"Server-Stamp", "s"}}, {}}).stamped);
}

// Guards against a limit or a departure that is overlooked, and against a limit that is no number.
TEST(UpstreamAnswers, NameALimitAndADeparture) {
  EXPECT_EQ(ReadUpstreamAnswer({200, {{"server-limit", "18.4"}}, {}}).requests_per_second, 18.4);
  EXPECT_EQ(ReadUpstreamAnswer({503, {{"Server-Limit", "0"}}, {}}).requests_per_second, 0.0);
  for (const char* text : {"", "-1", "nan", "inf", "18.4/s"}) {
    EXPECT_FALSE(ReadUpstreamAnswer({200, {{"Server-Limit", text}}, {}}).requests_per_second)
        << text;
  }
  EXPECT_TRUE(ReadUpstreamAnswer({200, {{"Server-Leaving", "1"}}, {}}).leaving);
  EXPECT_FALSE(ReadUpstreamAnswer({200, {}, {}}).leaving);
}

// Guards against the use of an answer to an earlier request on the same connection.
TEST(UpstreamAnswers, BelongToTheRequestWithTheirId) {
  const net::exchange_options options = MakeExchangeOptions("a");
  EXPECT_EQ(net::MatchResponse({200, {{"request-id", "a"}}, {}}, options),
            net::response_match::kOwn);
  EXPECT_EQ(net::MatchResponse({200, {{"Request-Id", "b"}}, {}}, options),
            net::response_match::kOther);
  EXPECT_EQ(net::MatchResponse({200, {}, {}}, options), net::response_match::kOther);
}

TEST(LocalResponses, ContainRetryAfter) {
  const auto answer = MakeLocalResponse(503, "r", "busy", milliseconds(1250));
  EXPECT_EQ(net::FindField(answer.fields, "Retry-After"), "1.250");
  EXPECT_EQ(net::FindField(answer.fields, "Request-Id"), "r");
}

// Guards against roll-outs on a deployment that doesn't call for them, and against other bounds
// than the deployment's.
TEST(MachineSettings, RolloutBoundsAreReadOnlyWithTheirContract) {
  support::findings problems;
  EXPECT_FALSE(ParseSettings(kSettings, problems).rollouts);
  std::string text(kSettings);
  text.insert(text.rfind('}'), R"(, "contracts": ["base", "rollout"])");
  const auto defaults = ParseSettings(text, problems).rollouts;
  ASSERT_TRUE(defaults);
  EXPECT_DOUBLE_EQ(defaults->share, 0.1);
  text.replace(text.find("someFlag=true"), 13,
               "canaryShare=0.2\", \"canarySlack=7\", \"rollbackS=3");
  const auto bounds = ParseSettings(text, problems).rollouts;
  ASSERT_TRUE(bounds);
  EXPECT_DOUBLE_EQ(bounds->share, 0.2);
  EXPECT_DOUBLE_EQ(bounds->slack, 7);
  EXPECT_EQ(bounds->rollback_limit, milliseconds(3'000));
  EXPECT_TRUE(problems.empty()) << problems.ToText();
}

versioned_object MakeRollout(std::string_view spec, std::string_view status) {
  return {"huvo11a", 7, boost::json::parse(spec), {}, boost::json::parse(status)};
}

// Guards against an order that is not recognised, and against the result of an earlier order that
// is taken for that of the current one.
TEST(RolloutCodec, OrderAndItsStateAreRead) {
  constexpr std::string_view kSpec =
      R"({"service":"huvo11a","targetVersion":"v2","durationS":12.5,"new":1})";
  support::findings problems;
  const auto running = ReadRolloutOrder(MakeRollout(kSpec, "null"), problems);
  ASSERT_TRUE(running) << problems.ToText();
  EXPECT_EQ(running->service, "huvo11a");
  EXPECT_EQ(running->target_version, "v2");
  EXPECT_EQ(running->duration, milliseconds(12'500));
  EXPECT_EQ(running->revision, 7U);
  EXPECT_EQ(running->state, rollout::order_state::kRunning);
  for (const auto state : {rollout::order_state::kDone, rollout::order_state::kRolledBack}) {
    versioned_object object = MakeRollout(kSpec, "null");
    object.status = MakeRolloutStatus(*running, state);
    EXPECT_EQ(ReadRolloutOrder(object, problems)->state, state);
    object.status.as_object()["targetVersion"] = "v1";
    EXPECT_EQ(ReadRolloutOrder(object, problems)->state, rollout::order_state::kRunning);
  }
  EXPECT_EQ(boost::json::serialize(MakeRolloutStatus(*running, rollout::order_state::kRolledBack)),
            R"({"state":"rolled_back","targetVersion":"v2"})");
}

// Guards against the use of an order by another writer with missing or mistyped fields.
TEST(RolloutCodec, UnreadableOrdersAreFindings) {
  for (const char* spec : {"null", "{}", R"({"service":"a","targetVersion":3,"durationS":1})",
                           R"({"service":"a","targetVersion":"v2","durationS":"soon"})"}) {
    support::findings problems;
    EXPECT_FALSE(ReadRolloutOrder(MakeRollout(spec, "null"), problems)) << spec;
    EXPECT_FALSE(problems.empty()) << spec;
  }
  support::findings problems;
  const auto order = ReadRolloutOrder(
      MakeRollout(R"({"targetVersion":"v2","durationS":1})", R"({"state":["done"]})"), problems);
  ASSERT_TRUE(order) << problems.ToText();
  EXPECT_EQ(order->service, "huvo11a");
  EXPECT_EQ(order->state, rollout::order_state::kRunning);
}

}  // namespace
}  // namespace siskinrack::platform_adapter
