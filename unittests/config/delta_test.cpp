#include "siskinrack/config/delta.h"

#include <gtest/gtest.h>

#include <random>

#include "siskinrack/config/digest.h"

namespace siskinrack::config {
namespace {

mesh_config Base() {
  mesh_config config{7, "plan-a", {}};
  config.resources.services = {{"counter"}, {"dockyard"}};
  config.resources.ranks = {{"urgent"}};
  config.resources.routes = {{"pick", "/pick", "dockyard", "urgent"},
                             {"tray", "/tray", "counter", "urgent"}};
  return config;
}

/// One resource changed, one added, one removed.
mesh_config Next() {
  mesh_config config = Base();
  config.version = 9;
  config.plan_id = "plan-b";
  config.resources.services[0].slots = 6;
  config.resources.services.push_back({"ledger"});
  config.resources.routes.erase(config.resources.routes.begin());
  return config;
}

TEST(Delta, AppliedToItsBaseGivesTheExactResult) {
  support::findings problems;
  const auto result = ApplyDelta(Base(), MakeDelta(Base(), Next()), problems);
  ASSERT_TRUE(result.has_value()) << problems;
  EXPECT_EQ(*result, Next());
}

// Guards against a delta for one version being applied to another.
TEST(Delta, OtherBaseIsRefused) {
  mesh_config other = Base();
  other.plan_id = "another";
  support::findings problems;
  EXPECT_FALSE(ApplyDelta(other, MakeDelta(Base(), Next()), problems).has_value());
  EXPECT_FALSE(problems.empty());
}

// Guards against a damaged payload being taken for a version: each single damaged byte either is
// refused or leaves the result unchanged.
TEST(Delta, DamagedPayloadNeverGivesAnotherResult) {
  const config_delta good = MakeDelta(Base(), Next());
  ASSERT_FALSE(good.payload.empty());
  constexpr std::uint64_t kSeed = 11;
  SCOPED_TRACE("seed " + std::to_string(kSeed));
  std::mt19937_64 random(kSeed);
  for (std::size_t i = 0; i < good.payload.size(); ++i) {
    config_delta bad = good;
    bad.payload[i] = static_cast<char>(random());
    support::findings problems;
    const auto result = ApplyDelta(Base(), bad, problems);
    EXPECT_TRUE(!result || *result == Next()) << "damaged byte " << i;
    bad.payload.resize(i);
    EXPECT_FALSE(ApplyDelta(Base(), bad, problems).has_value());
  }
}

// Guards against unbounded work on a hostile payload.
TEST(Delta, OversizedOrDeeplyNestedPayloadIsRefused) {
  config_delta bad = MakeDelta(Base(), Next());
  support::findings problems;
  bad.payload = std::string(kMaxDeltaBytes + 1, ' ');
  EXPECT_FALSE(ApplyDelta(Base(), bad, problems).has_value());
  bad.payload = std::string(100'000, '[');
  EXPECT_FALSE(ApplyDelta(Base(), bad, problems).has_value());
  EXPECT_EQ(problems.size(), 2U);
}

}  // namespace
}  // namespace siskinrack::config
