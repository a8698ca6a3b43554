#include <gtest/gtest.h>

#include "mutator.h"
#include "siskinrack/config/canonical_json.h"
#include "siskinrack/config/intent_reader.h"
#include "siskinrack/config/plan.h"
#include "siskinrack/config/validation.h"
#include "siskinrack/control/timeline.h"

namespace siskinrack::config {
namespace {

using test::mutator;

constexpr int kRounds = 4'000;
constexpr std::string_view kIntent = R"(services:
  - {name: counter, slots: 6, ramp_ms: 2000}
  - {name: dockyard, slots: 6}
ranks:
  - {name: urgent, target_ms: 200, worth: 100, floor_percent: 40}
routes:
  - {name: tray, prefix: /tray, service: counter, rank: urgent}
  - {name: pick, prefix: /pick, service: dockyard, rank: urgent, non_repeatable: true}
)";
const std::vector<std::string> kTokens = {"{",        "}",        "[",
                                          "]",        ":",        ",",
                                          "\"",       "-1",       "18446744073709551616",
                                          "0",        "null",     "true",
                                          "&a",       "*a",       "<<: *a",
                                          "!!int ",   "\n",       "\n  - ",
                                          "# ",       "|",        "\\u00",
                                          "\xff\xfe", "services", "retiring",
                                          "1e400",    "name",     "4294967296"};

std::string ValidIntent() { return std::string(kIntent); }

mesh_resources ReadValid() {
  support::findings problems;
  return ReadIntent("valid.yaml", kIntent, problems).value();
}

// Guards against an intent that is accepted with findings, refused without one, or accepted
// although it is not valid.
TEST(Property, IntentReaderAcceptsOnlyValidIntents) {
  mutator damage(20261204, kTokens);
  int accepted = 0;
  for (int round = 0; round < kRounds; ++round) {
    const std::string text = damage.Mutate(ValidIntent());
    support::findings problems;
    const auto intent = ReadIntent("fuzz.yaml", text, problems);
    ASSERT_EQ(intent.has_value(), problems.empty()) << text;
    if (!intent) continue;
    ++accepted;
    Validate(*intent, problems);
    ASSERT_TRUE(problems.empty()) << text << problems;
    ASSERT_EQ(ResourcesFromJson(ToJson(*intent), problems), intent) << text;
  }
  EXPECT_GT(accepted, kRounds / 100);
}

// Guards against a stack overflow by nesting, which a file of 1 MiB could reach.
TEST(Property, DeepNestingIsRefused) {
  for (const std::string_view open : {"[", "{a: ", "- ", "[{"}) {
    std::string text = "services: ";
    while (text.size() < 1'000'000) text += open;
    support::findings problems;
    EXPECT_FALSE(ReadIntent("deep.yaml", text, problems).has_value());
    EXPECT_FALSE(problems.empty());
    EXPECT_FALSE(ConfigFromJson(text, problems).has_value());
  }
}

// Guards against negative numbers that wrap to huge ones.
TEST(Property, NegativeNumbersAreRefused) {
  for (const std::string field : {"slots: -1", "ramp_ms: -1"}) {
    support::findings problems;
    const auto intent =
        ReadIntent("n.yaml", "services: [{name: counter, " + field + "}]", problems);
    EXPECT_FALSE(intent.has_value()) << field;
  }
}

// Guards against a text that reads as another configuration than the one it is the canonical text
// of; nodes compare digests of canonical texts.
TEST(Property, AcceptedJsonKeepsItsMeaning) {
  mutator damage(4, kTokens);
  const std::string text = ToJson(mesh_config{7, "0123456789abcdef", ReadValid()});
  int accepted = 0;
  for (int round = 0; round < kRounds; ++round) {
    const std::string damaged = damage.Mutate(text);
    support::findings problems;
    const auto config = ConfigFromJson(damaged, problems);
    ASSERT_EQ(config.has_value(), problems.empty()) << damaged;
    if (!config) continue;
    ++accepted;
    ASSERT_EQ(ConfigFromJson(ToJson(*config), problems), config) << damaged;
  }
  EXPECT_GT(accepted, 0);
}

// Guards against an unknown state that silently makes a service active again.
TEST(Property, UnknownServiceStateIsRefused) {
  mesh_config config{1, "p", ReadValid()};
  std::string text = ToJson(config);
  text.replace(text.find("\"active\""), 8, "\"Retiring\"");
  support::findings problems;
  EXPECT_FALSE(ConfigFromJson(text, problems).has_value());
}

// Guards against a plan that was altered and still confirmed.
TEST(Property, DamagedPlansAreRefusedOrUnchanged) {
  mutator damage(5, kTokens);
  const plan item = MakePlan({}, ReadValid());
  const std::string text = ToJson(item);
  for (int round = 0; round < kRounds; ++round) {
    support::findings problems;
    const auto read = PlanFromJson(damage.Mutate(text), problems);
    ASSERT_EQ(read.has_value(), problems.empty());
    // A damaged plan may be another consistent plan, but then it has another id.
    if (read && read->id == item.id) {
      ASSERT_EQ(ToJson(*read), text);
    }
  }
}

// Guards against event lines from the network that break the operator program.
TEST(Property, DamagedEventLinesAreReadSafely) {
  mutator damage(6, {"\"", "\\", "\\x", "=", " ", "hlc=", "hlc=9.9", "\n"});
  std::vector<std::string> lines;
  for (int round = 0; round < kRounds; ++round) {
    lines.push_back(damage.Mutate(
        R"(hlc=17.3 process=n level=info event=e version=1 findings="a\nb \"c\" \x09")"));
    control::ParseEvent(lines.back());
    control::Matches(lines.back(), {.request = "r", .version = "1", .node = "n"});
  }
  EXPECT_LE(control::MergeTimeline(lines).size(), lines.size());
}

}  // namespace
}  // namespace siskinrack::config
