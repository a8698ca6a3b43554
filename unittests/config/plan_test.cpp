#include "siskinrack/config/plan.h"

#include <gtest/gtest.h>

#include "siskinrack/config/digest.h"
#include "siskinrack/config/validation.h"

namespace siskinrack::config {
namespace {

mesh_resources TwoServices() {
  mesh_resources resources;
  resources.services = {{"counter"}, {"dockyard"}};
  resources.ranks = {{"urgent"}};
  resources.routes = {{"pick", "/pick", "dockyard", "urgent"},
                      {"tray", "/tray", "counter", "urgent"}};
  return resources;
}

mesh_config BaseConfig() { return {4, "p", TwoServices()}; }

mesh_resources WithoutDockyard() {
  mesh_resources resources = TwoServices();
  resources.services.pop_back();
  resources.routes.erase(resources.routes.begin());
  return resources;
}

// Guards against a node with the new version that refuses requests forwarded by a node with the old
// version.
TEST(Plan, RemovedServiceStaysRetiringUntilTheNextVersion) {
  const plan result = MakePlan(BaseConfig(), WithoutDockyard());
  const service* retiring = result.result.resources.FindService("dockyard");
  ASSERT_NE(retiring, nullptr);
  EXPECT_EQ(retiring->state, service_state::kRetiring);
  EXPECT_EQ(result.result.resources.MatchRoute("/pick/1"), nullptr);
  ASSERT_EQ(result.steps.size(), 2U);
  EXPECT_EQ(result.steps[0].version, 5U);
  EXPECT_EQ(result.steps[1].version, 6U);
  EXPECT_EQ(result.steps[1].changes[0].name, "dockyard");
}

TEST(Plan, SameIntentOnSameBaseHasTheSameId) {
  EXPECT_EQ(MakePlan(BaseConfig(), WithoutDockyard()).id,
            MakePlan(BaseConfig(), WithoutDockyard()).id);
  mesh_config other = BaseConfig();
  other.version = 9;
  EXPECT_NE(MakePlan(BaseConfig(), WithoutDockyard()).id, MakePlan(other, WithoutDockyard()).id);
}

TEST(Plan, JsonRoundTripKeepsThePlan) {
  const plan before = MakePlan(BaseConfig(), WithoutDockyard());
  support::findings problems;
  const auto after = PlanFromJson(ToJson(before), problems);
  ASSERT_TRUE(after.has_value()) << problems;
  EXPECT_EQ(after->result, before.result);
  EXPECT_EQ(after->base_digest, before.base_digest);
  ASSERT_EQ(after->steps.size(), before.steps.size());
  EXPECT_EQ(after->steps[1].changes, before.steps[1].changes);
}

// Guards against a route to a service that is about to be removed from all nodes.
TEST(Validation, RouteToARetiringServiceIsRejected) {
  mesh_resources resources = TwoServices();
  resources.services[0].state = service_state::kRetiring;
  support::findings problems;
  Validate(resources, problems);
  ASSERT_EQ(problems.size(), 1U);
  EXPECT_EQ(problems.items()[0].place, "routes[tray].service");
}

TEST(Model, LongestPrefixOfWholeSegmentsTakesPrecedence) {
  mesh_resources resources = TwoServices();
  resources.routes.push_back({"trayx", "/tray/x", "dockyard", "urgent"});
  EXPECT_EQ(resources.MatchRoute("/tray/x/1")->name, "trayx");
  EXPECT_EQ(resources.MatchRoute("/tray/xy")->name, "tray");
  EXPECT_EQ(resources.MatchRoute("/trays"), nullptr);
}

}  // namespace
}  // namespace siskinrack::config
