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

/// Returns Base() with one resource changed, one added and one removed.
mesh_config Next() {
  mesh_config config = Base();
  config.version = 9;
  config.plan_id = "plan-b";
  config.resources.services[0].slots = 6;
  config.resources.services.push_back({"ledger"});
  config.resources.routes.erase(config.resources.routes.begin());
  return config;
}

TEST(Delta, ApplyToItsBaseReturnsTheExactResult) {
  support::findings problems;
  const auto result = ApplyDelta(Base(), MakeDelta(Base(), Next()), problems);
  ASSERT_TRUE(result.has_value()) << problems;
  EXPECT_EQ(*result, Next());
}

// Guards against a delta being applied to a version other than its base.
TEST(Delta, OtherBaseIsRejected) {
  mesh_config other = Base();
  other.plan_id = "another";
  support::findings problems;
  EXPECT_FALSE(ApplyDelta(other, MakeDelta(Base(), Next()), problems).has_value());
  EXPECT_FALSE(problems.empty());
}

// Guards against a corrupt payload being accepted as a version: a delta with one corrupt byte must
// be rejected or give the same result, and a truncated delta must be rejected.
TEST(Delta, DamagedPayloadNeverGivesAnotherResult) {
  const config_delta valid = MakeDelta(Base(), Next());
  ASSERT_FALSE(valid.payload.empty());
  constexpr std::uint64_t kSeed = 11;
  SCOPED_TRACE("seed " + std::to_string(kSeed));
  std::mt19937_64 random(kSeed);
  for (std::size_t i = 0; i < valid.payload.size(); ++i) {
    config_delta corrupt = valid;
    corrupt.payload[i] = static_cast<char>(random());
    support::findings problems;
    const auto result = ApplyDelta(Base(), corrupt, problems);
    EXPECT_TRUE(!result || *result == Next()) << "corrupt byte " << i;
    corrupt.payload.resize(i);
    EXPECT_FALSE(ApplyDelta(Base(), corrupt, problems).has_value());
  }
}

// Guards against unbounded time and stack use for a malicious payload.
TEST(Delta, OversizedOrDeeplyNestedPayloadIsRejected) {
  config_delta corrupt = MakeDelta(Base(), Next());
  support::findings problems;
  corrupt.payload = std::string(kMaxDeltaBytes + 1, ' ');
  EXPECT_FALSE(ApplyDelta(Base(), corrupt, problems).has_value());
  corrupt.payload = std::string(100'000, '[');
  EXPECT_FALSE(ApplyDelta(Base(), corrupt, problems).has_value());
  EXPECT_EQ(problems.size(), 2U);
}

}  // namespace
}  // namespace siskinrack::config
