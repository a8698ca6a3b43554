#include "siskinrack/distribution/removal_completion.h"

#include <gtest/gtest.h>

#include "simulated_fleet.h"

namespace siskinrack::distribution::test {
namespace {

const time_point kStart{std::chrono::hours(1)};

config::mesh_config WithRetiringService() {
  config::mesh_config config = MakeConfig(6);
  config.resources.services.push_back({"old", config::service_state::kRetiring});
  config.resources.SortByName();
  return config;
}

std::vector<peer_view> Members() {
  return {{"a1", "a", wire::member_health::alive, 6},
          {"b1", "b", wire::member_health::alive, 5},
          {"c1", "c", wire::member_health::dead, 2}};
}

// Guards against a service being removed while a node still routes to it.
TEST(RemovalCompletion, WaitsForEveryLiveMemberAndTenSecondsMore) {
  removal_completion removal;
  auto members = Members();
  EXPECT_FALSE(removal.NextConfig(WithRetiringService(), members, kStart + milliseconds(20'000)));
  members[1].served_version = 6;
  EXPECT_FALSE(removal.NextConfig(WithRetiringService(), members, kStart + milliseconds(21'000)));
  EXPECT_FALSE(removal.NextConfig(WithRetiringService(), members, kStart + milliseconds(30'999)));
  const auto next =
      removal.NextConfig(WithRetiringService(), members, kStart + milliseconds(31'000));
  ASSERT_TRUE(next.has_value());
  EXPECT_EQ(next->version, 7U);
  EXPECT_EQ(next->plan_id, WithRetiringService().plan_id);
  EXPECT_EQ(next->resources.FindService("old"), nullptr);
  EXPECT_NE(next->resources.FindService("counter"), nullptr);
}

// Guards against counting time that passed with an earlier version or before a member reported an
// older version.
TEST(RemovalCompletion, WaitRestartsForAnotherVersionAndWhenAMemberServesAnOlderOne) {
  removal_completion removal;
  auto members = Members();
  members[1].served_version = 6;
  EXPECT_FALSE(removal.NextConfig(WithRetiringService(), members, kStart));
  members[1].served_version = 5;
  EXPECT_FALSE(removal.NextConfig(WithRetiringService(), members, kStart + milliseconds(9'000)));
  members[1].served_version = 6;
  EXPECT_FALSE(removal.NextConfig(WithRetiringService(), members, kStart + milliseconds(11'000)));
  members[1].health = wire::member_health::suspect;
  members[1].served_version = 5;
  EXPECT_FALSE(removal.NextConfig(WithRetiringService(), members, kStart + milliseconds(40'000)));
}

TEST(RemovalCompletion, NothingIsWrittenWithoutRetiringServices) {
  removal_completion removal;
  EXPECT_FALSE(removal.NextConfig(MakeConfig(2), {}, kStart));
  EXPECT_FALSE(removal.NextConfig(MakeConfig(2), {}, kStart + milliseconds(60'000)));
}

TEST(RemovalCompletion, FirstDomainIsTheFirstWithMembersThatAreNotDead) {
  auto members = Members();
  EXPECT_TRUE(IsFirstDomain("a", members));
  EXPECT_FALSE(IsFirstDomain("b", members));
  members[0].health = wire::member_health::dead;
  EXPECT_TRUE(IsFirstDomain("b", members));
}

}  // namespace
}  // namespace siskinrack::distribution::test
