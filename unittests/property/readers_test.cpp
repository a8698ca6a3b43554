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

/// Number of damaged inputs of each test that uses `mutator`.
constexpr int kMutatedInputs = 4'000;
constexpr std::string_view kIntent = R"(services:
  - {name: counter, slots: 6, ramp_ms: 2000}
  - {name: dockyard, slots: 6}
ranks:
  - {name: urgent, target_ms: 200, worth: 100, floor_percent: 40}
routes:
  - {name: tray, prefix: /tray, service: counter, rank: urgent}
  - {name: pick, prefix: /pick, service: dockyard, rank: urgent, non_repeatable: true}
)";
/// Tokens that have a meaning in YAML, JSON or the intent, and numbers at or beyond a limit.
const std::vector<std::string> kTokens = {"{",        "}",        "[",
                                          "]",        ":",        ",",
                                          "\"",       "-1",       "18446744073709551616",
                                          "0",        "null",     "true",
                                          "&a",       "*a",       "<<: *a",
                                          "!!int ",   "\n",       "\n  - ",
                                          "# ",       "|",        "\\u00",
                                          "\xff\xfe", "services", "retiring",
                                          "1e400",    "name",     "4294967296"};

std::string IntentText() { return std::string(kIntent); }

mesh_resources ReadValidIntent() {
  support::findings problems;
  return ReadIntent("valid.yaml", kIntent, problems).value();
}

// Guards against an intent that is accepted with findings, rejected without any, accepted although
// it is invalid, or altered when it is written as canonical JSON and read again.
TEST(Property, IntentReaderAcceptsOnlyValidIntents) {
  mutator input_mutator(20261204, kTokens);
  int accepted = 0;
  for (int i = 0; i < kMutatedInputs; ++i) {
    const std::string text = input_mutator.Mutate(IntentText());
    support::findings problems;
    const auto intent = ReadIntent("fuzz.yaml", text, problems);
    ASSERT_EQ(intent.has_value(), problems.empty()) << text;
    if (!intent) continue;
    ++accepted;
    Validate(*intent, problems);
    ASSERT_TRUE(problems.empty()) << text << problems;
    ASSERT_EQ(ResourcesFromJson(ToJson(*intent), problems), intent) << text;
  }
  EXPECT_GT(accepted, kMutatedInputs / 100);
}

// Guards against a stack overflow from deep nesting, which a file within the size limit of 1 MiB
// could cause.
TEST(Property, DeepNestingIsRejected) {
  for (const std::string_view open : {"[", "{a: ", "- ", "[{"}) {
    std::string text = "services: ";
    while (text.size() < 1'000'000) text += open;
    support::findings problems;
    EXPECT_FALSE(ReadIntent("deep.yaml", text, problems).has_value());
    EXPECT_FALSE(problems.empty());
    EXPECT_FALSE(ConfigFromJson(text, problems).has_value());
  }
}

// Guards against negative numbers that wrap around to huge unsigned values.
TEST(Property, NegativeNumbersAreRejected) {
  for (const std::string field : {"slots: -1", "ramp_ms: -1"}) {
    support::findings problems;
    const auto intent =
        ReadIntent("n.yaml", "services: [{name: counter, " + field + "}]", problems);
    EXPECT_FALSE(intent.has_value()) << field;
  }
}

// Guards against a configuration that differs after it is written as canonical JSON and read again:
// nodes compare digests of the canonical text.
TEST(Property, AcceptedJsonRoundTrips) {
  mutator input_mutator(4, kTokens);
  const std::string text = ToJson(mesh_config{7, "0123456789abcdef", ReadValidIntent()});
  int accepted = 0;
  for (int i = 0; i < kMutatedInputs; ++i) {
    const std::string damaged = input_mutator.Mutate(text);
    support::findings problems;
    const auto config = ConfigFromJson(damaged, problems);
    ASSERT_EQ(config.has_value(), problems.empty()) << damaged;
    if (!config) continue;
    ++accepted;
    ASSERT_EQ(ConfigFromJson(ToJson(*config), problems), config) << damaged;
  }
  EXPECT_GT(accepted, 0);
}

// Guards against an unknown service state that is silently read as active.
TEST(Property, UnknownServiceStateIsRejected) {
  mesh_config config{1, "p", ReadValidIntent()};
  std::string text = ToJson(config);
  text.replace(text.find("\"active\""), 8, "\"Retiring\"");
  support::findings problems;
  EXPECT_FALSE(ConfigFromJson(text, problems).has_value());
}

// Guards against an altered plan that is accepted under the id of the original one and confirmed.
TEST(Property, DamagedPlansAreRejectedOrUnchanged) {
  mutator input_mutator(5, kTokens);
  const plan original = MakePlan({}, ReadValidIntent());
  const std::string text = ToJson(original);
  for (int i = 0; i < kMutatedInputs; ++i) {
    support::findings problems;
    const auto read = PlanFromJson(input_mutator.Mutate(text), problems);
    ASSERT_EQ(read.has_value(), problems.empty());
    // A damaged plan may be a different valid plan, but then its id differs too.
    if (read && read->id == original.id) {
      ASSERT_EQ(ToJson(*read), text);
    }
  }
}

// Guards against damaged event lines from the network that crash the operator program or make it
// show more lines than it received.
TEST(Property, DamagedEventLinesAreReadSafely) {
  mutator input_mutator(6, {"\"", "\\", "\\x", "=", " ", "hlc=", "hlc=9.9", "\n"});
  std::vector<std::string> lines;
  for (int i = 0; i < kMutatedInputs; ++i) {
    lines.push_back(input_mutator.Mutate(
        R"(hlc=17.3 process=n level=info event=e version=1 findings="a\nb \"c\" \x09")"));
    control::ParseEvent(lines.back());
    control::Matches(lines.back(), {.request = "r", .version = "1", .node = "n"});
  }
  EXPECT_LE(control::MergeTimeline(lines).size(), lines.size());
}

}  // namespace
}  // namespace siskinrack::config
