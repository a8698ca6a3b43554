#include "siskinrack/config/intent_reader.h"

#include <gtest/gtest.h>

namespace siskinrack::config {
namespace {

// Guards against findings without the file, line, column and field of the problem.
TEST(IntentReader, EveryFindingHasFileLineAndField) {
  support::findings problems;
  const auto intent = ReadIntent("bad.yaml",
                                 "services:\n"
                                 "  - {name: counter, slotz: 6}\n"
                                 "ranks:\n"
                                 "  - {name: urgent, target_ms: soon}\n"
                                 "routes:\n"
                                 "  - {name: r, prefix: tray, service: none, rank: urgent}\n",
                                 problems);
  EXPECT_FALSE(intent.has_value());
  ASSERT_EQ(problems.size(), 4U) << problems;
  EXPECT_EQ(problems.items()[0].place, "bad.yaml:2:21 services[0].slotz");
  EXPECT_EQ(problems.items()[0].hint, "did you mean 'slots'?");
  EXPECT_EQ(problems.items()[1].place, "bad.yaml:4:31 ranks[0].target_ms");
  EXPECT_EQ(problems.items()[2].place, "bad.yaml:6:5 routes[r].prefix");
  EXPECT_EQ(problems.items()[3].message, "service 'none' does not exist");
}

TEST(IntentReader, YamlSyntaxErrorIsAFindingWithItsLine) {
  support::findings problems;
  EXPECT_FALSE(ReadIntent("x.yaml", "services: [\n", problems).has_value());
  ASSERT_EQ(problems.size(), 1U);
  EXPECT_TRUE(problems.items()[0].place.starts_with("x.yaml:2")) << problems;
}

}  // namespace
}  // namespace siskinrack::config
