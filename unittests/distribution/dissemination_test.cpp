#include <gtest/gtest.h>

#include "simulated_fleet.h"

namespace siskinrack::distribution::test {
namespace {

const std::vector<std::string> kNames = {"a1", "a2", "a3", "b1", "b2", "b3", "c1", "c2", "c3"};

void AddNodes(simulated_fleet& all) {
  for (const std::string& name : kNames) all.Add(name, name.substr(0, 1));
}

/// Sets the version floor of all nodes to 0 by the reply of a platform without a head.
void SetFloorsToZero(simulated_fleet& all) {
  for (auto& [name, node] : all.members()) node.agent->OnPlatformHead(0);
}

void ExpectAllServe(simulated_fleet& all, std::uint64_t version) {
  for (const auto& [name, node] : all.members()) {
    EXPECT_EQ(node.active->config.version, version) << name;
  }
}

/// Offers a version to one running node of each failure domain, as the operator program does.
void SubmitConfigInEachDomain(simulated_fleet& all, const config::mesh_config& config) {
  std::set<std::string> done;
  for (auto& [name, node] : all.members()) {
    if (node.running && done.insert(node.domain).second) all.SubmitConfig(name, config);
  }
}

// Guards against a version that doesn't reach all nodes from one node. The operator program pushes
// versions to nodes while the platform is down or no watcher runs.
TEST(Dissemination, VersionPushedToOneNodeReachesAll) {
  simulated_fleet all(3);
  AddNodes(all);
  SetFloorsToZero(all);
  all.SubmitConfig("b2", MakeConfig(1));
  all.Run(milliseconds(5'000));
  ExpectAllServe(all, 1);
}

// Guards against full copies although the sender has the receiver's base version.
TEST(Dissemination, LaterVersionsAreSentAsDeltas) {
  simulated_fleet all(4);
  AddNodes(all);
  SetFloorsToZero(all);
  all.SubmitConfig("a1", MakeConfig(1));
  all.Run(milliseconds(1'000));
  for (auto& [name, node] : all.members()) node.full_copies = 0;
  for (std::uint64_t version = 2; version <= 5; ++version) {
    all.SubmitConfig("a1", MakeConfig(version));
    all.Run(milliseconds(1'000));
  }
  ExpectAllServe(all, 5);
  for (const auto& [name, node] : all.members()) EXPECT_EQ(node.full_copies, 0U) << name;
}

// Checks the invariants and the convergence of all nodes. Guards against a node serving an older
// version than before, or an invalid one, when messages are lost, repeated and reordered and nodes
// are restarted with empty memory while the platform is down.
TEST(Dissemination, HoldsUnderRandomLossRepetitionReorderingAndRestarts) {
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    simulated_fleet all(seed);
    AddNodes(all);
    SetFloorsToZero(all);
    std::uint64_t version = 0;
    for (int step = 0; step < 2'500; ++step) {
      if (step % 250 == 0) SubmitConfigInEachDomain(all, MakeConfig(++version));
      // One node after the other is killed and restarted with empty memory after 2 s of simulated
      // time.
      const std::string& next = kNames[static_cast<std::size_t>(step / 400) % kNames.size()];
      if (step % 400 == 100) all.Kill(next);
      if (step % 400 == 300) all.Start(next);
      const auto pick = [&] { return kNames[all.random()() % kNames.size()]; };
      all.Exchange(pick(), pick());
      all.Advance(milliseconds(10));
      for (int i = 0; i < 6; ++i) all.DeliverOne(0.2, 0.2);
      ExpectInvariants(all);
      if (testing::Test::HasFailure()) return;
    }
    all.Run(milliseconds(8'000));
    for (const std::string& name : kNames) {
      for (const std::string& other : kNames) all.Exchange(other, name);
    }
    all.Run(milliseconds(3'000));
    ExpectInvariants(all);
    ExpectAllServe(all, version);
    if (testing::Test::HasFailure()) return;
  }
}

// Guards against a restarted node that serves the outdated version of the first peer that it
// reaches while the platform is down.
TEST(Dissemination, RestartedNodeDoesNotServeTheOlderVersionOfItsFirstPeer) {
  simulated_fleet all(5);
  AddNodes(all);
  SetFloorsToZero(all);
  all.SubmitConfig("a1", MakeConfig(1));
  all.Run(milliseconds(1'000));
  all.Kill("b1");
  all.SubmitConfig("a1", MakeConfig(2));
  all.Run(milliseconds(3'000));
  ASSERT_EQ(all.at("a1").highest_served, 2U);
  all.at("b1").running = true;  // resumes with version 1
  all.Kill("a1");
  all.Start("a1");
  all.Exchange("b1", "a1");
  all.Run(milliseconds(4'000));
  EXPECT_EQ(all.at("a1").active->config.version, 0U) << "served before the floor was known";
  all.Run(milliseconds(4'000));
  EXPECT_EQ(all.at("a1").active->config.version, 2U);
}

// Guards against a node that can't start for the first time while the platform is down.
TEST(Dissemination, NewNodeStartsFromPeersWhileThePlatformIsDown) {
  simulated_fleet all(6);
  AddNodes(all);
  SetFloorsToZero(all);
  all.SubmitConfig("a1", MakeConfig(1));
  all.Run(milliseconds(1'000));
  all.Add("d1", "d");
  all.Exchange("c1", "d1");
  all.Run(milliseconds(7'000));
  EXPECT_EQ(all.at("d1").active->config.version, 1U);
}

}  // namespace
}  // namespace siskinrack::distribution::test
