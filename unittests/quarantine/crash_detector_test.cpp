#include "siskinrack/quarantine/crash_detector.h"

#include <gtest/gtest.h>

namespace siskinrack::quarantine {
namespace {

using suspects = std::vector<std::uint64_t>;

class crash_detector_test : public testing::Test {
 protected:
  crash_detector::token Begin(std::uint64_t fingerprint) {
    return detector_.Begin([fingerprint] { return fingerprint; });
  }
  /// Runs a request that ends without another event in between.
  bool RunOne(std::uint64_t fingerprint, request_outcome outcome) {
    return detector_.End(Begin(fingerprint), outcome);
  }
  suspects Check(upstream_health health) {
    detector_.BeginCheck();
    return detector_.OnHealthCheck(health).suspects;
  }

  crash_detector detector_;
};

// Guards against missing a crash: all connections break and nothing listens.
TEST_F(crash_detector_test, AllConnectionsBrokenAndRefusedIsACrash) {
  const auto a = Begin(1);
  const auto b = Begin(2);
  EXPECT_TRUE(detector_.End(a, request_outcome::kBroken));
  EXPECT_FALSE(detector_.End(b, request_outcome::kBroken));
  EXPECT_EQ(Check(upstream_health::kUnreachable), (suspects{1, 2}));
}

// Guards against reporting a crash of an upstream that only closed single connections.
TEST_F(crash_detector_test, ReachableUpstreamHasNotCrashed) {
  EXPECT_TRUE(RunOne(1, request_outcome::kBroken));
  EXPECT_TRUE(Check(upstream_health::kReachable).empty());
  EXPECT_TRUE(RunOne(2, request_outcome::kBroken));
  EXPECT_EQ(Check(upstream_health::kUnreachable), (suspects{2}));
}

// Guards against reporting a crash of an overloaded upstream that doesn't accept connections in
// time while it still runs requests.
TEST_F(crash_detector_test, OpenRequestDelaysTheVerdictOfAnUnknownCheck) {
  const auto alive = Begin(1);
  EXPECT_TRUE(RunOne(2, request_outcome::kBroken));
  detector_.BeginCheck();
  const auto result = detector_.OnHealthCheck(upstream_health::kUnknown);
  EXPECT_TRUE(result.suspects.empty());
  EXPECT_TRUE(result.repeat);
  EXPECT_FALSE(detector_.End(alive, request_outcome::kAnswered));
  EXPECT_EQ(Check(upstream_health::kUnknown), (suspects{2}));
}

// Guards against suspecting a request that was never sent, or one whose connection broke before the
// upstream answered a later request.
TEST_F(crash_detector_test, UnsentAndSurvivedRequestsAreNoSuspects) {
  EXPECT_TRUE(RunOne(1, request_outcome::kBroken));
  EXPECT_FALSE(RunOne(2, request_outcome::kAnswered));
  EXPECT_FALSE(RunOne(3, request_outcome::kBroken));
  EXPECT_FALSE(RunOne(4, request_outcome::kNotSent));
  EXPECT_EQ(Check(upstream_health::kUnreachable), (suspects{3}));
}

// Guards against reporting the suspects of an earlier crash again, and against reporting a crash
// twice when a connection breaks late.
TEST_F(crash_detector_test, SecondCrashIsReportedSeparately) {
  const auto late = Begin(2);
  EXPECT_TRUE(RunOne(1, request_outcome::kBroken));
  EXPECT_EQ(Check(upstream_health::kUnreachable), (suspects{1, 2}));
  EXPECT_TRUE(RunOne(4, request_outcome::kBroken));
  EXPECT_EQ(Check(upstream_health::kUnreachable), (suspects{4}));
  EXPECT_FALSE(detector_.End(late, request_outcome::kBroken));
  EXPECT_TRUE(RunOne(5, request_outcome::kBroken));
  EXPECT_EQ(Check(upstream_health::kUnreachable), (suspects{5}));
}

// Guards against a crashing request that escapes because another connection had broken harmlessly
// just before it was sent.
TEST_F(crash_detector_test, HarmlessBreakDoesNotHideALaterCrash) {
  EXPECT_TRUE(RunOne(1, request_outcome::kBroken));
  EXPECT_FALSE(RunOne(2, request_outcome::kBroken));
  EXPECT_EQ(Check(upstream_health::kUnreachable), (suspects{1, 2}));
}

// Guards against a connection that breaks during the check and is never checked itself.
TEST_F(crash_detector_test, BreakDuringTheCheckIsCheckedAgain) {
  EXPECT_TRUE(RunOne(1, request_outcome::kBroken));
  detector_.BeginCheck();
  EXPECT_FALSE(RunOne(2, request_outcome::kBroken));
  EXPECT_TRUE(detector_.OnHealthCheck(upstream_health::kReachable).repeat);
  EXPECT_EQ(Check(upstream_health::kUnreachable), (suspects{2}));
}

// Guards against a crash that is dropped because an answer that was sent before it is read after
// the first broken connection.
TEST_F(crash_detector_test, EarlierAnswerReadAfterTheBreakDoesNotHideTheCrash) {
  const auto answered = Begin(1);
  EXPECT_TRUE(RunOne(2, request_outcome::kBroken));
  EXPECT_FALSE(detector_.End(answered, request_outcome::kAnswered));
  EXPECT_EQ(Check(upstream_health::kUnreachable), (suspects{2}));
}

// Guards against a crash that is dropped because the end of another request is read late.
TEST_F(crash_detector_test, RequestThatIsStillOpenIsASuspect) {
  Begin(1);
  EXPECT_TRUE(RunOne(2, request_outcome::kBroken));
  EXPECT_EQ(Check(upstream_health::kUnreachable), (suspects{1, 2}));
}

// Guards against a crashing request that escapes because its caller leaves before the crash.
TEST_F(crash_detector_test, AbandonedRequestIsASuspect) {
  const auto open = Begin(1);
  EXPECT_FALSE(RunOne(2, request_outcome::kAbandoned));
  EXPECT_TRUE(detector_.End(open, request_outcome::kBroken));
  EXPECT_EQ(Check(upstream_health::kUnreachable), (suspects{1, 2}));
}

// Guards against a crash that is overlooked because the upstream's connections went silent instead
// of breaking: its requests time out, and new connections fail.
TEST_F(crash_detector_test, TimeoutsAndAFailedConnectionAreChecked) {
  EXPECT_FALSE(RunOne(1, request_outcome::kAbandoned));
  EXPECT_TRUE(RunOne(2, request_outcome::kNotSent));
  EXPECT_EQ(Check(upstream_health::kUnknown), (suspects{1}));
  EXPECT_FALSE(RunOne(3, request_outcome::kAbandoned));
  EXPECT_TRUE(RunOne(4, request_outcome::kNotSent));
  EXPECT_TRUE(Check(upstream_health::kReachable).empty());
  EXPECT_FALSE(RunOne(5, request_outcome::kNotSent));
}

// Guards against memory that grows while an upstream answers nothing.
TEST_F(crash_detector_test, NumberOfSuspectsIsBounded) {
  for (std::uint64_t i = 0; i < 1'000; ++i) RunOne(i, request_outcome::kAbandoned);
  EXPECT_TRUE(RunOne(1'000, request_outcome::kBroken));
  EXPECT_EQ(Check(upstream_health::kUnreachable).size(), 64U);
}

}  // namespace
}  // namespace siskinrack::quarantine
