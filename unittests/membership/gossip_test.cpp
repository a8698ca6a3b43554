#include "siskinrack/membership/gossip.h"

#include <gtest/gtest.h>

#include "simulated_mesh.h"

namespace siskinrack::membership {
namespace {

using test::mesh_options;
using test::simulated_mesh;

constexpr time_ms kJoinTime{20'000};
constexpr std::uint64_t kSeed = 20261204;

mesh_options MakeOptions(std::size_t members, std::size_t failure_domains) {
  mesh_options options;
  options.members = members;
  options.failure_domains = failure_domains;
  options.seed = kSeed;
  constexpr double kFarLoss = 0.01;
  options.far.loss = kFarLoss;
  return options;
}

/// Starts all members and waits until their tables have converged.
void Join(simulated_mesh& mesh) {
  mesh.StartAll();
  mesh.RunUntil([&] { return mesh.HasConverged(); }, kJoinTime, time_ms(100));
  ASSERT_TRUE(mesh.HasConverged()) << "seed " << kSeed;
}

std::optional<wire::member_health> FindHealth(simulated_mesh& mesh, std::size_t observer,
                                              std::size_t member) {
  const auto record = mesh.at(observer).table->Find(mesh.at(member).node_id);
  return record ? std::optional(record->health) : std::nullopt;
}

bool IsAliveAt(simulated_mesh& mesh, std::size_t observer, std::size_t member) {
  return FindHealth(mesh, observer, member) == wire::member_health::alive;
}

bool IsGoneAt(simulated_mesh& mesh, std::size_t observer, std::size_t member) {
  return FindHealth(mesh, observer, member).value_or(wire::member_health::dead) ==
         wire::member_health::dead;
}

// Guards against a number of transmissions that grows linearly with the members instead of with
// their logarithm.
TEST(DisseminationQueue, LimitsTransmissions) {
  EXPECT_EQ(TransmissionLimit(2), 3U);
  EXPECT_EQ(TransmissionLimit(550), 28U);
  dissemination_queue queue;
  queue.Add("a", false, false);
  for (unsigned i = 0; i < TransmissionLimit(8); ++i) {
    ASSERT_EQ(queue.size(), 1U);
    queue.CountSent("a", TransmissionLimit(8));
  }
  EXPECT_EQ(queue.size(), 0U);
}

// Guards against peers that are skipped or visited twice in a round, also after others were
// removed.
TEST(PeerList, VisitsEveryPeerOncePerRound) {
  std::mt19937_64 random(kSeed);
  peer_list peers;
  for (int i = 0; i < 40; ++i) peers.Add("own-" + std::to_string(i), true, random);
  for (int round = 0; round < 5; ++round) {
    std::map<std::string, int> visits;
    for (int i = 0; i < 40; ++i) ++visits[*peers.Next(true, random)];
    EXPECT_EQ(visits.size(), 40U) << "seed " << kSeed;
  }
  peers.Next(true, random);
  for (int i = 0; i < 20; ++i) peers.Remove("own-" + std::to_string(i));
  std::set<std::string> visited;
  for (int i = 0; i < 40; ++i) visited.insert(*peers.Next(true, random));
  EXPECT_EQ(visited.size(), 20U);
}

// Guards against failures that are detected late when a large group fails, and against running
// members that are declared dead along with the group.
TEST(Gossip, ThirdOfTheMembersKilled) {
  simulated_mesh mesh(MakeOptions(30, 3));
  Join(mesh);
  for (std::size_t i = 0; i < 10; ++i) mesh.Kill(i * 3);
  const auto gone = [&] {
    for (std::size_t observer = 0; observer < 30; ++observer) {
      for (std::size_t i = 0; i < 30; i += 3) {
        if (observer % 3 != 0 && !IsGoneAt(mesh, observer, i)) return false;
      }
    }
    return true;
  };
  EXPECT_LE(mesh.RunUntil(gone, time_ms(60'000)), time_ms(12'000)) << "seed " << kSeed;
  EXPECT_TRUE(mesh.HasConverged());
  EXPECT_EQ(mesh.CountEvents(member_change::kDead), 10U * 20U);
  mesh.Run(kRemovalDelay + time_ms(10'000));
  EXPECT_EQ(mesh.at(1).table->size(), 20U);
}

// Guards against a resumed member that stays dead in the tables of others, and against one that
// declares the others dead because its timers expired during the pause.
TEST(Gossip, PausedMemberReturns) {
  simulated_mesh mesh(MakeOptions(12, 3));
  Join(mesh);
  mesh.Pause(5);
  mesh.Run(time_ms(20'000));
  for (std::size_t observer = 0; observer < 12; ++observer)
    EXPECT_EQ(observer != 5, IsGoneAt(mesh, observer, 5)) << observer;
  const std::size_t deaths = mesh.CountEvents(member_change::kDead);
  mesh.Resume(5);
  mesh.Run(time_ms(15'000));
  EXPECT_TRUE(mesh.HasConverged()) << "seed " << kSeed;
  EXPECT_EQ(mesh.CountEvents(member_change::kDead), deaths);
}

// Guards against a member that is declared dead although it resumes within the suspicion period and
// could refute.
TEST(Gossip, ShortPauseIsRefuted) {
  simulated_mesh mesh(MakeOptions(30, 3));
  Join(mesh);
  mesh.Pause(5);
  mesh.Run(time_ms(4'000));
  mesh.Resume(5);
  mesh.Run(time_ms(10'000));
  EXPECT_GT(mesh.CountEvents(member_change::kSuspect), 0U);
  EXPECT_EQ(mesh.CountEvents(member_change::kDead), 0U) << "seed " << kSeed;
  EXPECT_TRUE(mesh.HasConverged());
}

// Guards against a failure domain that returns but is not added to the tables again.
TEST(Gossip, FailureDomainLostAndReturned) {
  simulated_mesh mesh(MakeOptions(30, 3));
  Join(mesh);
  for (std::size_t i = 1; i < 30; i += 3) mesh.Kill(i);
  mesh.Run(time_ms(30'000));
  EXPECT_TRUE(mesh.HasConverged()) << "seed " << kSeed;
  constexpr std::uint64_t kLaterIncarnation = 50'000;
  for (std::size_t i = 1; i < 30; i += 3) mesh.Start(i, kLaterIncarnation);
  mesh.Run(time_ms(15'000));
  EXPECT_TRUE(mesh.HasConverged()) << "seed " << kSeed;
}

// Guards against a partitioned mesh that never merges again: after an hour each side has removed
// the members of the other.
TEST(Gossip, MergesAfterAPartitionOfAnHour) {
  simulated_mesh mesh(MakeOptions(12, 3));
  Join(mesh);
  const auto is_isolated = [](std::size_t member) { return member % 3 == 2; };
  mesh.SetPartition([&](std::size_t a, std::size_t b) { return is_isolated(a) != is_isolated(b); });
  mesh.Run(time_ms(3'600'000));
  for (std::size_t observer = 0; observer < 12; ++observer) {
    for (std::size_t i = 0; i < 12; ++i) {
      EXPECT_EQ(IsAliveAt(mesh, observer, i), is_isolated(observer) == is_isolated(i))
          << observer << ' ' << i;
    }
  }
  mesh.SetPartition(nullptr);
  mesh.Run(time_ms(60'000));
  EXPECT_TRUE(mesh.HasConverged()) << "seed " << kSeed;
}

// Guards against records of a previous run that supersede those of a member restarted with a clock
// that is behind the start of that run or equal to it.
TEST(Gossip, RestartWithOlderClock) {
  for (const std::uint64_t incarnation : {0U, 999U, 1'000U}) {
    simulated_mesh mesh(MakeOptions(12, 3));
    Join(mesh);
    mesh.Kill(5);
    mesh.Run(time_ms(500));
    mesh.Start(5, incarnation);
    mesh.Run(time_ms(15'000));
    EXPECT_TRUE(mesh.HasConverged()) << "seed " << kSeed << " incarnation " << incarnation;
    const auto record = mesh.at(0).table->Find(mesh.at(5).node_id);
    ASSERT_TRUE(record.has_value());
    EXPECT_EQ(record->peer_address, mesh.at(5).address) << "incarnation " << incarnation;
  }
}

// Guards against nodes that still route new work to an upstream 3 s after its drain began, the
// bound of requirement R4.
TEST(Gossip, DrainIsKnownEverywhereWithinThreeSeconds) {
  simulated_mesh mesh(MakeOptions(60, 3));
  Join(mesh);
  mesh.Run(time_ms(60'000));
  for (std::size_t drained = 0; drained < 10; ++drained) {
    mesh.SetState(drained, wire::upstream_state::draining);
    const auto known = [&] {
      for (std::size_t observer = 0; observer < 60; ++observer) {
        if (mesh.at(observer).table->Find(mesh.at(drained).node_id)->state !=
            wire::upstream_state::draining) {
          return false;
        }
      }
      return true;
    };
    EXPECT_LE(mesh.RunUntil(known, time_ms(10'000)), time_ms(3'000)) << "seed " << kSeed;
  }
}

// Guards against a departure that is treated as a failure.
TEST(Gossip, MemberLeavesWithoutSuspicion) {
  simulated_mesh mesh(MakeOptions(30, 3));
  Join(mesh);
  mesh.SetState(4, wire::upstream_state::left);
  mesh.Run(time_ms(100));
  mesh.Kill(4);
  mesh.Run(time_ms(10'000));
  EXPECT_TRUE(mesh.HasConverged()) << "seed " << kSeed;
  EXPECT_EQ(mesh.CountEvents(member_change::kDead), 0U);
  mesh.Run(kRemovalDelay);
  EXPECT_EQ(mesh.at(0).table->size(), 29U);
}

// Guards against messages whose size grows with the number of members.
TEST(Gossip, RecordsPerMessageAreBounded) {
  simulated_mesh mesh(MakeOptions(100, 4));
  Join(mesh);
  for (std::size_t i = 0; i < 100; ++i) {
    mesh.SetState(i, wire::upstream_state::starting);
  }
  mesh.Run(time_ms(10'000));
  EXPECT_LE(mesh.max_record_bytes(), kMaxRecordBytes);
  EXPECT_GT(mesh.max_record_bytes(), kMaxRecordBytes / 2);
}

}  // namespace
}  // namespace siskinrack::membership
