#include "siskinrack/tenancy/usage_cap.h"

#include <gtest/gtest.h>

#include <set>

#include "cap_fleet.h"

namespace siskinrack::tenancy {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using test::cap_fleet;

constexpr cap_tolerance kTolerance{.window_s = 5, .excess = 0.1, .slack = 20};
constexpr usage_cap kLarge{600, 600};
/// Six times the cap of kLarge, over all nodes.
constexpr double kHotDemand = 3'600;

// Guards against a bucket that grants more than the cap, and against an owner that takes over with
// tokens that the one before it may have granted.
TEST(CapBucket, StartsEmptyAndFillsAtTheRate) {
  const cap_bucket::time_point start{};
  const usage_cap cap{10, 20};
  const cap_plan plan{.depth = 20, .validity = milliseconds(300)};
  cap_bucket bucket(start);
  EXPECT_EQ(bucket.Take(cap, plan, 5, start).tokens, 0U);
  EXPECT_EQ(bucket.Take(cap, plan, 50, start + seconds(1)).tokens, 10U);
  EXPECT_EQ(bucket.Take(cap, plan, 50, start + seconds(60)).tokens, 20U);
  // A lower cap also applies to what was saved up.
  EXPECT_EQ(bucket.Take({1, 1}, {1, milliseconds(300)}, 50, start + seconds(120)).tokens, 1U);
}

// Guards against a 429 without a time to come back, and against one time for all refused callers.
TEST(CapBucket, RefusalNamesTheTimeOfTheNextToken) {
  const cap_bucket::time_point start{};
  const usage_cap cap{10, 20};
  const cap_plan plan{.depth = 20, .validity = milliseconds(300)};
  cap_bucket bucket(start);
  const auto first = bucket.Take(cap, plan, 1, start).refill;
  EXPECT_NEAR(static_cast<double>(first.count()), 101, 1);
  const auto second = bucket.Take(cap, plan, 1, start).refill;
  EXPECT_NEAR(static_cast<double>(second.count()), 201, 1);
}

// Guards against one owner that has to answer hundreds of demands a second, and against shards that
// together allow more than the cap.
TEST(CapShards, DivideLargeCapsOnly) {
  EXPECT_EQ(CountShards({3.8, 3.8}), 1U);
  EXPECT_EQ(CountShards({39, 39}), 1U);
  EXPECT_EQ(CountShards({88, 88}), 4U);
  const std::uint32_t shards = CountShards(kLarge);
  EXPECT_EQ(shards, 30U);
  const usage_cap part = DivideCap(kLarge, shards);
  EXPECT_DOUBLE_EQ(part.per_second * shards, kLarge.per_second);
  EXPECT_DOUBLE_EQ(part.burst * shards, kLarge.burst);
  EXPECT_DOUBLE_EQ(DivideTolerance(kTolerance, shards).slack * shards, kTolerance.slack);
}

// Guards against tokens that are used long after they were granted.
TEST(TokenStock, TokensExpire) {
  const token_stock::time_point start{seconds(10)};
  token_stock stock;
  stock.Add(2, start + milliseconds(300));
  EXPECT_TRUE(stock.Take(start));
  EXPECT_FALSE(stock.Take(start + milliseconds(300)));
  EXPECT_EQ(stock.expired(), 1U);
}

// Guards against refusals of what is owed: at a demand of 0.63 of the cap, at most 1 in 100 may be
// refused, for tenants with less than a request per node and minute as for large ones.
TEST(CapFleet, DemandBelowTheCapIsServed) {
  for (const usage_cap cap : {usage_cap{3.8, 3.8}, usage_cap{40, 40}, kLarge}) {
    cap_fleet fleet(60, cap, kTolerance);
    fleet.RunFor(seconds(5), 0);
    fleet.RunFor(seconds(60), cap.per_second * 0.63);
    EXPECT_LE(fleet.refused() * 100, fleet.asked()) << cap.per_second;
    EXPECT_LE(fleet.WorstExcess(), 0) << cap.per_second;
  }
}

// Guards against caps that are judged for each node or zone: all traffic from one zone, then all
// from another.
TEST(CapFleet, HoldsForTrafficThatMoves) {
  cap_fleet fleet(60, kLarge, kTolerance);
  fleet.RunFor(seconds(8), kHotDemand, 0, 20);
  fleet.RunFor(seconds(8), kHotDemand, 20, 40);
  EXPECT_LE(fleet.WorstExcess(), 0);
  // What the cap allows is served.
  EXPECT_GE(static_cast<double>(fleet.served()), kLarge.per_second * 16 * 0.85);
}

// Guards against a burst that is refused although it was saved up in a lull.
TEST(CapFleet, BurstAfterALullIsServed) {
  cap_fleet fleet(60, {10, 50}, kTolerance);
  fleet.RunFor(seconds(12), 0);
  fleet.RunFor(seconds(1), 50);
  EXPECT_EQ(fleet.refused(), 0U);
  EXPECT_LE(fleet.WorstExcess(), 0);
}

// Guards against an owner without a proof for a moment that starts with an empty bucket although no
// other node has granted tokens.
TEST(CapFleet, OwnerThatWasOutOfTouchKeepsItsBucket) {
  cap_fleet fleet(60, {10, 50}, kTolerance);
  fleet.RunFor(seconds(12), 5);
  fleet.CutOff({0});
  fleet.RunFor(seconds(4), 0);
  fleet.Heal();
  fleet.RunFor(seconds(2), 0);
  const std::size_t before = fleet.refused();
  fleet.RunFor(seconds(1), 40);
  EXPECT_EQ(fleet.refused(), before);
  EXPECT_LE(fleet.WorstExcess(), 0);
}

// Guards against a cap that is lowered far below the demand and takes effect late; a raised cap and
// one that is removed serve the demand again.
TEST(CapFleet, ChangedCapTakesEffect) {
  cap_fleet fleet(60, kLarge, kTolerance);
  fleet.RunFor(seconds(6), kLarge.per_second * 0.6);
  fleet.SetCap({20, 20});
  // The lower cap binds one window after it is in force.
  fleet.RunFor(seconds(1), kLarge.per_second * 0.6);
  fleet.ForgetRuns();
  fleet.RunFor(seconds(10), kLarge.per_second * 0.6);
  EXPECT_LE(fleet.WorstExcess(), 0);
  fleet.SetCap(kLarge);
  fleet.RunFor(seconds(1), kLarge.per_second * 0.6);
  const std::size_t refused = fleet.refused();
  fleet.RunFor(seconds(5), kLarge.per_second * 0.6);
  EXPECT_LE(fleet.refused(), refused + 18);
  fleet.SetCap({0, 0});
  const std::size_t before = fleet.refused();
  fleet.RunFor(seconds(2), kHotDemand);
  EXPECT_EQ(fleet.refused(), before);
}

// Guards against tokens that a killed owner and its successor grant both, and against a tenant that
// isn't served while its owner is down or after it has come back.
TEST(CapFleet, KilledOwnerIsReplaced) {
  cap_fleet fleet(60, kLarge, kTolerance);
  fleet.RunFor(seconds(6), kHotDemand);
  fleet.Kill(0);
  fleet.RunFor(seconds(1), kHotDemand);
  const std::size_t before = fleet.served();
  fleet.RunFor(seconds(3), kHotDemand);
  EXPECT_GE(static_cast<double>(fleet.served() - before), kLarge.per_second * 3 * 0.7);
  fleet.Restart(0);
  fleet.RunFor(seconds(8), kHotDemand);
  EXPECT_GE(static_cast<double>(fleet.served() - before), kLarge.per_second * 11 * 0.7);
  EXPECT_LE(fleet.WorstExcess(), 0);
}

// Guards against a successor that takes over a second time with the tokens that were saved up since
// the first.
TEST(CapFleet, SuccessorStartsEmptyEachTime) {
  cap_fleet fleet(60, kLarge, kTolerance);
  fleet.RunFor(seconds(6), kHotDemand);
  fleet.Kill(0);
  fleet.RunFor(seconds(4), kHotDemand);
  fleet.Restart(0);
  fleet.RunFor(seconds(6), kHotDemand);
  fleet.RunFor(seconds(12), 0);
  fleet.RunFor(milliseconds(500), kHotDemand);
  fleet.Kill(0);
  fleet.RunFor(seconds(6), kHotDemand);
  EXPECT_LE(fleet.WorstExcess(), 0);
}

// Guards against an owner that is killed and back at once, and then grants the burst again.
TEST(CapFleet, RestartedOwnerStartsEmpty) {
  cap_fleet fleet(60, kLarge, kTolerance);
  fleet.RunFor(seconds(10), 0);
  fleet.RunFor(seconds(1), kHotDemand);
  fleet.Kill(0);
  fleet.RunFor(milliseconds(300), kHotDemand);
  fleet.Restart(0);
  fleet.RunFor(seconds(6), kHotDemand);
  EXPECT_LE(fleet.WorstExcess(), 0);
}

// Guards against an owner that wakes and grants what it saved up while another one granted.
TEST(CapFleet, FrozenOwnerStartsEmpty) {
  for (const auto frozen_for : {milliseconds(1'000), milliseconds(2'000), milliseconds(6'000)}) {
    for (const bool suspended : {false, true}) {
      cap_fleet fleet(60, kLarge, kTolerance);
      fleet.RunFor(seconds(6), kHotDemand);
      fleet.Freeze(0, suspended);
      fleet.RunFor(frozen_for, kHotDemand);
      fleet.Wake(0);
      fleet.RunFor(seconds(8), kHotDemand);
      EXPECT_LE(fleet.WorstExcess(), 0) << frozen_for.count() << ' ' << suspended;
    }
  }
}

// Guards against two owners, each for the nodes that it can reach, while both are in touch with the
// store.
TEST(CapFleet, OwnerThatHalfOfTheNodesCannotReachStaysTheOnlyOne) {
  cap_fleet fleet(60, kLarge, kTolerance);
  fleet.RunFor(seconds(6), kHotDemand);
  for (std::size_t node = 30; node < 60; ++node) fleet.Cut(0, node);
  fleet.RunFor(seconds(10), kHotDemand);
  EXPECT_LE(fleet.WorstExcess(), 0);
  EXPECT_EQ(fleet.CountServedSince(seconds(2), 30, 60) > 0, true);
}

// Guards against two owners where a third of the nodes can reach each other, but neither the store
// nor the others: with the owner among the nodes that are cut off, and without it.
TEST(CapFleet, GroupThatIsCutOffDoesNotAddItsOwnOwner) {
  for (const std::size_t candidate : {0U, 1U, 5U}) {
    cap_fleet fleet(60, kLarge, kTolerance);
    fleet.RunFor(seconds(6), kHotDemand);
    std::set<std::size_t> group{candidate};
    for (std::size_t node = 10; node < 30; ++node) group.insert(node);
    fleet.CutOff(group);
    fleet.RunFor(seconds(4), kHotDemand);
    const std::size_t before = fleet.served();
    fleet.RunFor(seconds(6), kHotDemand);
    EXPECT_GE(static_cast<double>(fleet.served() - before), kLarge.per_second * 6 * 0.7)
        << candidate;
    EXPECT_LE(fleet.WorstExcess(), 0) << candidate;
    fleet.Heal();
    fleet.RunFor(seconds(8), kHotDemand);
    EXPECT_LE(fleet.WorstExcess(), 0) << candidate;
  }
}

// Guards against two owners while nodes disagree about which nodes there are: a node joins that is
// first from then on, and some learn of it seconds later.
TEST(CapFleet, JoiningOwnerTakesOverOnce) {
  cap_fleet fleet(60, kLarge, kTolerance);
  fleet.SetCandidates({1, 2, 3}, 0, 60);
  fleet.RunFor(seconds(6), kHotDemand);
  fleet.SetCandidates({0, 1, 2}, 0, 30);
  fleet.RunFor(milliseconds(1'500), kHotDemand);
  fleet.SetCandidates({0, 1, 2}, 30, 60);
  const std::size_t before = fleet.served();
  fleet.RunFor(seconds(8), kHotDemand);
  EXPECT_LE(fleet.WorstExcess(), 0);
  EXPECT_GE(static_cast<double>(fleet.served() - before), kLarge.per_second * 8 * 0.8);
}

// Guards against an owner that goes on granting beside a new one, because the store turns it away
// and its list of nodes is old.
TEST(CapFleet, OwnerWithAnOldListStopsGranting) {
  constexpr usage_cap kSmall{39, 39};
  cap_fleet fleet(5, kSmall, kTolerance);
  fleet.SetCandidates({1, 2, 3, 4}, 0, 5);
  fleet.RunFor(seconds(6), 30, 1, 5);
  fleet.SetCandidates({0, 1, 2, 3, 4}, 0, 5);
  fleet.CutOffFromList(1);
  fleet.RunFor(seconds(2), 30, 1, 5);
  const std::size_t before = fleet.served();
  fleet.RunFor(seconds(8), 4 * 45, 1, 5);
  EXPECT_LE(fleet.WorstExcess(), 0);
  EXPECT_GE(static_cast<double>(fleet.served() - before), kSmall.per_second * 8 * 0.8);
}

/// Plays random faults on a fleet of eight nodes, one of them every 0.2 to 1.5 s for a while, and
/// returns the worst excess of the cap. `links` adds paths between two nodes that are cut, in both
/// directions or for replies only, while both are in touch with the store.
double PlayRandomFaults(std::uint64_t seed, bool links) {
  constexpr std::size_t kNodes = 8;
  std::mt19937_64 random(seed);
  const auto choose = [&](std::size_t count) {
    return std::uniform_int_distribution<std::size_t>(0, count - 1)(random);
  };
  cap_fleet fleet(kNodes, {39, 39}, kTolerance);
  std::set<std::size_t> listed{2, 3, 4, 5, 6, 7};
  fleet.SetList(listed);
  fleet.RunFor(seconds(6), kNodes * 30);
  std::set<std::size_t> killed;
  std::set<std::size_t> frozen;
  for (int step = 0; step < 40; ++step) {
    const std::size_t node = choose(kNodes);
    switch (choose(links ? 9 : 7)) {
      case 0:
      case 1:
        if (listed.size() > 3 && listed.contains(node)) {
          listed.erase(node);
        } else {
          listed.insert(node);
        }
        fleet.SetList(listed);
        break;
      case 2:
        if (killed.erase(node) > 0) {
          fleet.Restart(node);
        } else {
          killed.insert(node);
          fleet.Kill(node);
        }
        break;
      case 3:
        if (frozen.erase(node) > 0) {
          fleet.Wake(node);
        } else {
          frozen.insert(node);
          fleet.Freeze(node, choose(2) == 0);
        }
        break;
      case 4:
        fleet.CutOffFromList(node);
        break;
      case 5:
        fleet.CutOff({node, choose(kNodes)});
        break;
      case 6:
        fleet.Heal();
        break;
      case 7:
        fleet.Cut(node, (node + 1 + choose(kNodes - 1)) % kNodes);
        break;
      default:
        fleet.CutReplies(node, (node + 1 + choose(kNodes - 1)) % kNodes);
        break;
    }
    fleet.RunFor(milliseconds(200 + choose(1'300)), kNodes * 30);
  }
  return fleet.WorstExcess();
}

// Guards against two owners after any series of joins, departures, kills, suspensions and cuts from
// the store: nodes disagree about the list, or about who is out.
TEST(CapFleet, RandomFaultsDoNotAddAnOwner) {
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    EXPECT_LE(PlayRandomFaults(seed, /*links=*/false), 0) << "seed " << seed;
  }
}

// The same with paths that are cut between two nodes, both of them in touch.
TEST(CapFleet, RandomCutsOfLinksDoNotAddAnOwner) {
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    EXPECT_LE(PlayRandomFaults(seed, /*links=*/true), 0) << "seed " << seed;
  }
}

// Guards against memory that grows with tenants that were removed.
TEST(CapFleet, DiscardsRemovedTenants) {
  cap_fleet fleet(3, {1, 1}, kTolerance);
  fleet.RunFor(seconds(3), 10);
  EXPECT_EQ(fleet.node(1).counts_by_tenant().size(), 1U);
  fleet.node(1).Discard([](const std::string&) { return true; });
  EXPECT_TRUE(fleet.node(1).counts_by_tenant().empty());
}

}  // namespace
}  // namespace siskinrack::tenancy
