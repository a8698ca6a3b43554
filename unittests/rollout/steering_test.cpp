#include "siskinrack/rollout/steering.h"

#include <gtest/gtest.h>

#include <random>

#include "siskinrack/rollout/judges.h"
#include "siskinrack/rollout/local_guard.h"

namespace siskinrack::rollout {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double kShare = 0.08;
constexpr std::uint64_t kRoute = 7;

time_point At(std::int64_t ms) { return time_point() + std::chrono::hours(1) + milliseconds(ms); }

routing::endpoint MakeEndpoint(const std::string& id, const std::string& version) {
  routing::endpoint result;
  result.life = {id, 1};
  result.service = "counter";
  result.software_version = version;
  return result;
}

std::vector<routing::endpoint> MakeEndpoints(int old_count, int new_count) {
  std::vector<routing::endpoint> all;
  all.reserve(static_cast<std::size_t>(old_count) + static_cast<std::size_t>(new_count));
  for (int i = 0; i < old_count; ++i) all.push_back(MakeEndpoint("old-" + std::to_string(i), "v1"));
  for (int i = 0; i < new_count; ++i) all.push_back(MakeEndpoint("new-" + std::to_string(i), "v2"));
  return all;
}

order_entry MakeEntry(phase current = phase::kTrial, std::uint64_t revision = 5) {
  order_entry entry;
  entry.ordered = {"counter", "v2", seconds(16), revision, order_state::kRunning};
  entry.current = current;
  entry.known_since = At(0);
  return entry;
}

bool IsForTarget(const assignment& assigned) { return assigned.assigned != track::kOthers; }

// Guards against a share that holds only on average: the sum over all nodes must keep the bound at
// each moment, also when the load halves and when nodes restart and forget their credit.
TEST(Steering, ShareHoldsOverAllNodesAtEachMoment) {
  std::mt19937_64 random(3);
  const auto endpoints = MakeEndpoints(54, 54);
  const order_entry entry = MakeEntry();
  std::vector<steering> nodes(64, steering(kShare));
  std::uint64_t arrived = 0;
  std::uint64_t selected = 0;
  for (std::int64_t second = 0; second < 16; ++second) {
    const int requests = second < 8 ? 1'800 : 900;
    for (int i = 0; i < requests; ++i) {
      steering& node = nodes[random() % nodes.size()];
      auto assigned = node.Assign(&entry, endpoints, random() % 3, At(second * 1'000), random());
      selected += IsForTarget(assigned) ? 1 : 0;
      node.OnAttempt(&entry, assigned, /*arrived=*/true);
      ++arrived;
      ASSERT_LE(static_cast<double>(selected), kShare * static_cast<double>(arrived));
    }
    nodes[random() % nodes.size()] = steering(kShare);
  }
  EXPECT_GT(static_cast<double>(selected), 0.7 * kShare * static_cast<double>(arrived));
}

// Guards against a share of requests that never reached the service: the new version has room while
// the others refuse.
TEST(Steering, RefusedRequestsGiveNoCredit) {
  steering node(kShare);
  const auto endpoints = MakeEndpoints(10, 10);
  const order_entry entry = MakeEntry();
  for (int i = 0; i < 1'000; ++i) {
    auto assigned = node.Assign(&entry, endpoints, kRoute, At(i), 0);
    ASSERT_FALSE(IsForTarget(assigned));
    node.OnAttempt(&entry, assigned, /*arrived=*/false);
  }
}

// Guards against a route that the version under trial never receives, so that its fault doesn't
// show.
TEST(Steering, EveryRouteHasItsShare) {
  steering node(kShare);
  const auto endpoints = MakeEndpoints(10, 10);
  const order_entry entry = MakeEntry();
  std::map<std::uint64_t, int> selected;
  for (int i = 0; i < 1'000; ++i) {
    const std::uint64_t route = i % 20 == 0 ? 1 : 2;
    auto assigned = node.Assign(&entry, endpoints, route, At(i), 0);
    selected[route] += IsForTarget(assigned) ? 1 : 0;
    node.OnAttempt(&entry, assigned, true);
  }
  EXPECT_GE(selected[1], 3);
  EXPECT_GE(selected[2], 74);
}

// Guards against a second attempt at the version under trial, which would exceed the share and
// lose requests twice to a bad version.
TEST(Steering, RetriesGoToTheOtherVersions) {
  steering node(/*share=*/0.9);
  const auto endpoints = MakeEndpoints(3, 3);
  const order_entry entry = MakeEntry();
  assignment assigned;
  for (int i = 0; i < 10 && !IsForTarget(assigned); ++i) {
    assigned = node.Assign(&entry, endpoints, kRoute, At(i), 0);
    if (!IsForTarget(assigned)) node.OnAttempt(&entry, assigned, true);
  }
  ASSERT_TRUE(IsForTarget(assigned));
  node.OnAttempt(&entry, assigned, true);
  EXPECT_TRUE(node.Allows(&entry, assigned, endpoints.front()));
  EXPECT_FALSE(node.Allows(&entry, assigned, endpoints.back()));
}

// Guards against faults under load that a share spread over all new upstreams doesn't show, and
// against nodes that disagree on the focus.
TEST(Steering, FocusIsSmallAgreedAndMovesOn) {
  std::vector<std::string> ids(54);
  for (std::size_t i = 0; i < ids.size(); ++i) ids[i] = "new-" + std::to_string(i);
  const std::size_t count = ComputeFocusSize(54, kShare);
  EXPECT_EQ(count, 3U);
  EXPECT_EQ(ComputeFocusSize(2, kShare), 1U);
  const auto focus = ChooseFocus(ids, count, 5, 1);
  EXPECT_EQ(focus.size(), count);
  EXPECT_EQ(focus, ChooseFocus(ids, count, 5, 1));
  EXPECT_NE(focus, ChooseFocus(ids, count, 5, 2));
  EXPECT_TRUE(ChooseFocus({}, 1, 5, 1).empty());
}

// Guards against requests to a version that was rolled back, also those that were assigned before.
TEST(Steering, RolledBackVersionReceivesNothing) {
  steering node(/*share=*/0.9);
  const auto endpoints = MakeEndpoints(1, 1);
  const order_entry trial = MakeEntry();
  const order_entry rolled_back = MakeEntry(phase::kRolledBack);
  for (const track before : {track::kAny, track::kFocus, track::kSingle, track::kTarget}) {
    const assignment assigned{before, "new-0", kRoute, trial.ordered.revision};
    EXPECT_FALSE(node.Allows(&rolled_back, assigned, endpoints.back()));
  }
  auto assigned = node.Assign(&rolled_back, endpoints, kRoute, At(0), 0);
  EXPECT_TRUE(node.Allows(&rolled_back, assigned, endpoints.front()));
  EXPECT_FALSE(node.Allows(&rolled_back, assigned, endpoints.back()));
  EXPECT_FALSE(node.Redirect(&rolled_back, assigned));
}

// Guards against work on upstreams that stop at `done`, and against refusing requests while only
// those are left.
TEST(Steering, CutOverMovesAllRequestsToTheTarget) {
  steering node(kShare);
  const auto endpoints = MakeEndpoints(1, 1);
  const order_entry entry = MakeEntry(phase::kCutOver);
  auto assigned = node.Assign(&entry, endpoints, kRoute, At(0), 0);
  EXPECT_FALSE(node.Allows(&entry, assigned, endpoints.front()));
  EXPECT_TRUE(node.Allows(&entry, assigned, endpoints.back()));
  EXPECT_TRUE(node.Redirect(&entry, assigned));
  EXPECT_TRUE(node.Allows(&entry, assigned, endpoints.front()));
}

// Guards against any effect on services without an order.
TEST(Steering, WithoutAnOrderAllVersionsAreEqual) {
  steering node(kShare);
  const auto endpoints = MakeEndpoints(1, 1);
  auto assigned = node.Assign(nullptr, endpoints, kRoute, At(0), 0);
  for (const auto& endpoint : endpoints) EXPECT_TRUE(node.Allows(nullptr, assigned, endpoint));
  EXPECT_FALSE(node.Redirect(nullptr, assigned));
}

// Guards against a service that refuses everything because its order was deleted.
TEST(Steering, VersionOfAWithdrawnOrderIsTheLastResort) {
  steering node(kShare);
  order_entry entry = MakeEntry(phase::kRolledBack);
  entry.withdrawn = true;
  const auto endpoints = MakeEndpoints(0, 1);
  auto assigned = node.Assign(&entry, endpoints, kRoute, At(0), 0);
  EXPECT_FALSE(node.Allows(&entry, assigned, endpoints.front()));
  ASSERT_TRUE(node.Redirect(&entry, assigned));
  EXPECT_TRUE(node.Allows(&entry, assigned, endpoints.front()));
}

// Guards against an endless search for an upstream when the order changes during a request: nodes
// stopped in it when a version was rolled back while a request for it was open.
TEST(Steering, RedirectionEndsInEveryPhase) {
  for (const phase current : {phase::kTrial, phase::kCutOver, phase::kDone, phase::kRolledBack}) {
    for (const bool withdrawn : {false, true}) {
      for (const std::uint64_t revision : {5, 6}) {
        for (const track begin :
             {track::kAny, track::kOthers, track::kFocus, track::kSingle, track::kTarget}) {
          steering node(kShare);
          order_entry entry = MakeEntry(current, revision);
          entry.withdrawn = withdrawn;
          assignment assigned{begin, "new-0", kRoute, 5};
          int redirections = 0;
          while (redirections < 10 && node.Redirect(&entry, assigned)) ++redirections;
          EXPECT_LT(redirections, 10) << ToText(current) << ' ' << withdrawn;
        }
      }
    }
  }
}

// Guards against judges that differ between nodes, or that stay the same for all orders.
TEST(Judges, AreAgreedAndReplacedWhenTheyEnd) {
  std::vector<std::string> nodes(20);
  for (std::size_t i = 0; i < nodes.size(); ++i) nodes[i] = "10.0.0." + std::to_string(i) + ":80";
  const auto judges = ChooseJudges(nodes, 5);
  ASSERT_EQ(judges.size(), kJudges);
  std::erase(nodes, judges.front());
  EXPECT_EQ(ChooseJudges(nodes, 5).front(), judges.back());
  EXPECT_NE(ChooseJudges(nodes, 6), ChooseJudges(nodes, 7));
  EXPECT_TRUE(ChooseJudges({}, 5).empty());
}

// Guards against a bad version that goes on running while no judge can be reached.
TEST(LocalGuard, StopsAFailingUpstreamAndLeavesAGoodOneAlone) {
  local_guard failing;
  std::uint64_t answers = 0;
  while (!failing.tripped() && ++answers < 100) failing.Record(answers % 2 == 0);
  EXPECT_LT(answers, 30U);
  local_guard good;
  std::mt19937_64 random(1);
  for (int i = 0; i < 10'000; ++i) good.Record(random() % 100 < 2);
  EXPECT_FALSE(good.tripped());
}

}  // namespace
}  // namespace siskinrack::rollout
