#include "siskinrack/support/settings.h"

#include <gtest/gtest.h>

namespace siskinrack::support {
namespace {

const std::vector<setting> kDeclared = {
    {"node-id", setting_kind::kText, "id", std::nullopt},
    {"slots", setting_kind::kInteger, "slots", "6", 1, 64},
    {"peer-address", setting_kind::kAddress, "address", "127.0.0.1:0"}};

std::optional<std::string> NoEnvironment(const std::string&) { return std::nullopt; }

// Guards against reporting only the first problem: an operator would need a run for each of them.
TEST(Settings, AllProblemsAreReportedTogether) {
  findings problems;
  const std::vector<std::string> arguments = {"--slots=0", "--peer-adress", "1.2.3.4:5",
                                              "--peer-address=here:1"};
  settings::Parse(kDeclared, arguments, NoEnvironment, problems);
  ASSERT_EQ(problems.size(), 4U);
  EXPECT_EQ(problems.items()[0].hint, "did you mean --peer-address?");
  EXPECT_EQ(problems.items()[1].place, "--node-id");
  EXPECT_EQ(problems.items()[2].place, "--slots");
  EXPECT_EQ(problems.items()[3].place, "--peer-address");
}

// Guards against a flag without a value being parsed as an empty string.
TEST(Settings, FlagNeedsNoValue) {
  const std::vector<setting> declared = {{"help", setting_kind::kFlag, "help", "false"}};
  findings problems;
  const std::vector<std::string> arguments = {"--help"};
  const auto values = settings::Parse(declared, arguments, NoEnvironment, problems);
  EXPECT_TRUE(problems.empty()) << problems;
  EXPECT_TRUE(values.flag("help"));
}

TEST(Settings, FlagOverridesEnvironmentAndEnvironmentOverridesDefault) {
  findings problems;
  const std::vector<std::string> arguments = {"--node-id=n1"};
  const auto values = settings::Parse(
      kDeclared, arguments,
      [](const std::string& name) -> std::optional<std::string> {
        if (name == "SISKINRACK_NODE_ID") return "other";
        if (name == "SISKINRACK_SLOTS") return "18";
        return std::nullopt;
      },
      problems);
  EXPECT_TRUE(problems.empty()) << problems;
  EXPECT_EQ(values.text("node-id"), "n1");
  EXPECT_EQ(values.integer("slots"), 18);
  EXPECT_EQ(values.address("peer-address").ip, "127.0.0.1");
}

}  // namespace
}  // namespace siskinrack::support
