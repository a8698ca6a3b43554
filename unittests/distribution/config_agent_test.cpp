#include "siskinrack/distribution/config_agent.h"

#include <gtest/gtest.h>

#include "simulated_fleet.h"

namespace siskinrack::distribution::test {
namespace {

const time_point kStart{std::chrono::hours(1)};

class config_agent_test : public testing::Test {
 protected:
  config_agent_test() { agent_.OnPlatformHead(0); }

  void Offer(std::uint64_t version) {
    support::findings problems;
    agent_.OnConfig(config::ToJson(MakeConfig(version)), "platform", problems);
    EXPECT_TRUE(problems.empty()) << problems;
  }
  std::vector<activation> Advance(milliseconds after) {
    agent_.Advance(peers_, kStart + after, random_);
    return agent_.TakeActivations();
  }

  witness_table table_;
  config_agent agent_{"n", "a", table_, kStart};
  random_engine random_{1};
  std::vector<peer_view> peers_ = {{"a1", "a"}, {"b1", "b"}, {"c1", "c"}, {"c2", "c"}};
};

// Guards against a version being served before other nodes recorded it: after a restart of this
// node there would be no record that it was served.
TEST_F(config_agent_test, VersionIsServedOnlyOnceWitnessesRecordedIt) {
  Offer(1);
  EXPECT_TRUE(Advance(milliseconds(0)).empty());
  std::vector<std::string> queried;
  for (const outgoing_message& message : agent_.TakeMessages()) {
    if (message.body.Aswitness_request() != nullptr) queried.push_back(message.to);
  }
  ASSERT_EQ(queried.size(), 3U);
  EXPECT_EQ(queried[0], "a1") << "own failure domain first";
  EXPECT_NE(queried[1][0], queried[2][0]) << "distinct failure domains";
  agent_.OnWitnessReply(queried[0], 1, true);
  agent_.OnWitnessReply(queried[1], 1, true);
  agent_.OnWitnessReply(queried[1], 1, true);
  EXPECT_TRUE(Advance(milliseconds(10)).empty()) << "a repeated reply was counted twice";
  agent_.OnWitnessReply(queried[2], 1, true);
  const auto active = Advance(milliseconds(20));
  ASSERT_EQ(active.size(), 1U);
  EXPECT_EQ(active[0].witnesses, 3U);
}

TEST_F(config_agent_test, ReplyForAnotherVersionIsNotCounted) {
  Offer(2);
  Advance(milliseconds(0));
  for (const peer_view& peer : peers_) agent_.OnWitnessReply(peer.node_id, 1, true);
  EXPECT_TRUE(Advance(milliseconds(10)).empty());
}

// Guards against a restarted node serving an older version that it received from its first peer.
TEST_F(config_agent_test, VersionBelowTheFloorIsHeldButNotServed) {
  config_agent restarted("n", "a", table_, kStart);
  restarted.OnPlatformHead(7);
  support::findings problems;
  restarted.OnConfig(config::ToJson(MakeConfig(6)), "a1", problems);
  restarted.Advance(peers_, kStart, random_);
  restarted.Advance(peers_, kStart + milliseconds(9'000), random_);
  EXPECT_EQ(restarted.held()->config.version, 6U);
  EXPECT_TRUE(restarted.TakeActivations().empty());
  restarted.OnConfig(config::ToJson(MakeConfig(7)), "a1", problems);
  restarted.Advance(peers_, kStart + milliseconds(9'100), random_);
  restarted.Advance(peers_, kStart + milliseconds(11'100), random_);
  EXPECT_EQ(restarted.TakeActivations().size(), 1U);
}

// Guards against a change that never takes effect because no witness answers.
TEST_F(config_agent_test, UnreachableWitnessesDelayAVersionByTwoSecondsAtMost) {
  Offer(1);
  Advance(milliseconds(0));
  EXPECT_TRUE(Advance(milliseconds(1'990)).empty());
  const auto active = Advance(milliseconds(2'000));
  ASSERT_EQ(active.size(), 1U);
  EXPECT_EQ(active[0].witnesses, 0U);
  EXPECT_EQ(active[0].witnesses_required, 3U);
}

TEST_F(config_agent_test, WitnessRecordsOnlyVersionsThatItHolds) {
  wire::witness_request_t request;
  request.node_id = "x";
  request.version = 1;
  request.digest =
      CheckConfig(config::ToJson(MakeConfig(1)), *std::make_unique<support::findings>())->digest;
  EXPECT_FALSE(agent_.Answer("x", request, kStart).recorded);
  Offer(1);
  EXPECT_TRUE(agent_.Answer("x", request, kStart).recorded);
  EXPECT_EQ(table_.Find("x"), 1U);
  request.digest = "other";
  EXPECT_FALSE(agent_.Answer("x", request, kStart).recorded);
}

// Guards against a rejected version being removed from the status page too early or never.
TEST_F(config_agent_test, RejectionIsKeptUntilANewerValidVersionIsInForce) {
  Offer(1);
  config::mesh_config bad = MakeConfig(3);
  bad.resources.routes[0].service = "missing";
  support::findings problems;
  agent_.OnConfig(config::ToJson(bad), "platform", problems);
  EXPECT_FALSE(problems.empty());
  Advance(milliseconds(0));
  ASSERT_EQ(Advance(milliseconds(2'000)).size(), 1U);
  ASSERT_TRUE(agent_.rejected().has_value()) << "version 1 doesn't replace the rejected version 3";
  EXPECT_EQ(agent_.rejected()->version, 3U);
  Offer(4);
  Advance(milliseconds(2'100));
  EXPECT_TRUE(agent_.rejected().has_value());
  ASSERT_EQ(Advance(milliseconds(4'200)).size(), 1U);
  EXPECT_FALSE(agent_.rejected().has_value());
}

// Guards against applying an update that was damaged in transit or made for another base.
TEST_F(config_agent_test, UpdateWithAnotherBaseOrDigestLeadsToAFullCopy) {
  wire::config_update_t update;
  update.version = 5;
  update.digest = "d";
  update.base_version = 4;
  update.base_digest = "unknown";
  agent_.OnUpdate("a1", update, kStart);
  const auto messages = agent_.TakeMessages();
  ASSERT_EQ(messages.size(), 1U);
  ASSERT_NE(messages[0].body.Asconfig_request(), nullptr);
  EXPECT_TRUE(messages[0].body.Asconfig_request()->full);
  update.full = true;
  const std::string text = config::ToJson(MakeConfig(5));
  update.payload.assign(text.begin(), text.end());
  agent_.OnUpdate("a1", update, kStart);
  EXPECT_EQ(agent_.held()->config.version, 0U);
  EXPECT_FALSE(agent_.rejected().has_value())
      << "a damaged copy is no reason to reject the version";
}

// Guards against a floor that is determined by less than a majority of the failure domains.
TEST(version_floor_test, NeedsAMajorityOfTheKnownDomainsAndFiveSeconds) {
  version_floor floor("a", kStart);
  const std::vector<peer_view> peers = {{"a1", "a"}, {"b1", "b"}, {"c1", "c"}};
  wire::floor_reply_t reply;
  reply.failure_domain = "b";
  reply.known = true;
  reply.served_version = 7;
  floor.OnReply(reply);
  floor.Evaluate(peers, kStart + milliseconds(9'000));
  EXPECT_FALSE(floor.is_known());
  reply.failure_domain = "c";
  reply.served_version = 4;
  floor.OnReply(reply);
  floor.Evaluate(peers, kStart + milliseconds(4'999));
  EXPECT_FALSE(floor.is_known());
  floor.Evaluate(peers, kStart + milliseconds(5'000));
  EXPECT_TRUE(floor.is_known());
  EXPECT_EQ(floor.version(), 7U);
}

// Guards against nodes that restarted at the same time reporting a floor of 0 to each other.
TEST(version_floor_test, NodeWithUnknownFloorSendsNoReply) {
  witness_table table;
  config_agent agent("n", "a", table, kStart);
  EXPECT_FALSE(agent.Answer(wire::floor_request_t{}, {}).has_value());
  agent.OnPlatformHead(0);
  EXPECT_TRUE(agent.Answer(wire::floor_request_t{}, {}).has_value());
}

// Guards against the floor of a restarted node being lost when its new member record, with served
// version 0, replaces the old one.
TEST(witness_table_test, LowerVersionDoesNotReplaceAHigherOne) {
  witness_table table;
  table.Record("n", 6);
  table.Record("n", 0);
  EXPECT_EQ(table.Find("n"), 6U);
  EXPECT_FALSE(table.Find("m").has_value());
}

}  // namespace
}  // namespace siskinrack::distribution::test
