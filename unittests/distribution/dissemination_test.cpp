#include <gtest/gtest.h>

#include "simulated_fleet.h"

namespace siskinrack::distribution::test {
namespace {

const std::vector<std::string> kNames = {"a1", "a2", "a3", "b1", "b2", "b3", "c1", "c2", "c3"};

void AddNodes(simulated_fleet& fleet) {
  for (const std::string& name : kNames) fleet.Add(name, name.substr(0, 1));
}

/// Sets the version floor of all nodes to 0 by the reply of a platform without a head.
void SetFloorsToZero(simulated_fleet& fleet) {
  for (auto& [name, node] : fleet.members()) node.agent->OnPlatformHead(0);
}

void ExpectAllServe(simulated_fleet& fleet, std::uint64_t version) {
  for (const auto& [name, node] : fleet.members()) {
    EXPECT_EQ(node.active->config.version, version) << name;
  }
}

/// Offers a version to one running node of each failure domain, as the operator program does.
void SubmitConfigInEachDomain(simulated_fleet& fleet, const config::mesh_config& config) {
  std::set<std::string> done;
  for (auto& [name, node] : fleet.members()) {
    if (node.running && done.insert(node.domain).second) fleet.SubmitConfig(name, config);
  }
}

// Guards against a version that doesn't reach all nodes from one node. The operator program pushes
// versions to nodes while the platform is down or no watcher runs.
TEST(Dissemination, VersionPushedToOneNodeReachesAll) {
  simulated_fleet fleet(3);
  AddNodes(fleet);
  SetFloorsToZero(fleet);
  fleet.SubmitConfig("b2", MakeConfig(1));
  fleet.Run(milliseconds(5'000));
  ExpectAllServe(fleet, 1);
}

// Guards against full copies although the sender has the receiver's base version.
TEST(Dissemination, LaterVersionsAreSentAsDeltas) {
  simulated_fleet fleet(4);
  AddNodes(fleet);
  SetFloorsToZero(fleet);
  fleet.SubmitConfig("a1", MakeConfig(1));
  fleet.Run(milliseconds(1'000));
  for (auto& [name, node] : fleet.members()) node.full_copies = 0;
  for (std::uint64_t version = 2; version <= 5; ++version) {
    fleet.SubmitConfig("a1", MakeConfig(version));
    fleet.Run(milliseconds(1'000));
  }
  ExpectAllServe(fleet, 5);
  for (const auto& [name, node] : fleet.members()) EXPECT_EQ(node.full_copies, 0U) << name;
}

// Checks the invariants and the convergence of all nodes. Guards against a node serving an older
// version than before, or an invalid one, when messages are lost, repeated and reordered and nodes
// are restarted with empty memory while the platform is down.
TEST(Dissemination, HoldsUnderRandomLossRepetitionReorderingAndRestarts) {
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    simulated_fleet fleet(seed);
    AddNodes(fleet);
    SetFloorsToZero(fleet);
    std::uint64_t version = 0;
    for (int step = 0; step < 2'500; ++step) {
      if (step % 250 == 0) SubmitConfigInEachDomain(fleet, MakeConfig(++version));
      // One node after the other is killed and restarted with empty memory after 2 s of simulated
      // time.
      const std::string& next = kNames[static_cast<std::size_t>(step / 400) % kNames.size()];
      if (step % 400 == 100) fleet.Kill(next);
      if (step % 400 == 300) fleet.Start(next);
      const auto pick = [&] { return kNames[fleet.random()() % kNames.size()]; };
      fleet.Exchange(pick(), pick());
      fleet.Advance(milliseconds(10));
      for (int i = 0; i < 6; ++i) fleet.DeliverOne(0.2, 0.2);
      ExpectInvariants(fleet);
      if (testing::Test::HasFailure()) return;
    }
    fleet.Run(milliseconds(8'000));
    for (const std::string& name : kNames) {
      for (const std::string& other : kNames) fleet.Exchange(other, name);
    }
    fleet.Run(milliseconds(3'000));
    ExpectInvariants(fleet);
    ExpectAllServe(fleet, version);
    if (testing::Test::HasFailure()) return;
  }
}

// Guards against a restarted node that serves the outdated version of the first peer that it
// reaches while the platform is down.
TEST(Dissemination, RestartedNodeDoesNotServeTheOlderVersionOfItsFirstPeer) {
  simulated_fleet fleet(5);
  AddNodes(fleet);
  SetFloorsToZero(fleet);
  fleet.SubmitConfig("a1", MakeConfig(1));
  fleet.Run(milliseconds(1'000));
  fleet.Kill("b1");
  fleet.SubmitConfig("a1", MakeConfig(2));
  fleet.Run(milliseconds(3'000));
  ASSERT_EQ(fleet.at("a1").highest_served, 2U);
  fleet.at("b1").running = true;  // resumes with version 1
  fleet.Kill("a1");
  fleet.Start("a1");
  fleet.Exchange("b1", "a1");
  fleet.Run(milliseconds(4'000));
  EXPECT_EQ(fleet.at("a1").active->config.version, 0U) << "served before the floor was known";
  fleet.Run(milliseconds(4'000));
  EXPECT_EQ(fleet.at("a1").active->config.version, 2U);
}

// Guards against a node that can't start for the first time while the platform is down.
TEST(Dissemination, NewNodeStartsFromPeersWhileThePlatformIsDown) {
  simulated_fleet fleet(6);
  AddNodes(fleet);
  SetFloorsToZero(fleet);
  fleet.SubmitConfig("a1", MakeConfig(1));
  fleet.Run(milliseconds(1'000));
  fleet.Add("d1", "d");
  fleet.Exchange("c1", "d1");
  fleet.Run(milliseconds(7'000));
  EXPECT_EQ(fleet.at("d1").active->config.version, 1U);
}

}  // namespace
}  // namespace siskinrack::distribution::test
