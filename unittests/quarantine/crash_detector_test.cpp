#include "siskinrack/quarantine/crash_detector.h"

#include <gtest/gtest.h>

namespace siskinrack::quarantine {
namespace {

// Guards against missing a crash: all connections break and the health endpoint does not answer.
TEST(CrashDetector, AllConnectionsBrokenAndNoHealthAnswerIsACrash) {
  crash_detector detector;
  const auto a = detector.Begin();
  const auto b = detector.Begin();
  EXPECT_TRUE(detector.End(a, request_outcome::kBroken, 1));
  EXPECT_FALSE(detector.End(b, request_outcome::kBroken, 2));
  const auto suspects = detector.OnHealthCheck(false);
  ASSERT_TRUE(suspects.has_value());
  EXPECT_EQ(*suspects, (std::vector<std::uint64_t>{1, 2}));
}

// Guards against reporting a crash of an upstream that only closed single connections.
TEST(CrashDetector, HealthAnswerOrSurvivingConnectionIsNoCrash) {
  crash_detector detector;
  EXPECT_TRUE(detector.End(detector.Begin(), request_outcome::kBroken, 1));
  EXPECT_FALSE(detector.OnHealthCheck(true).has_value());
  const auto broken = detector.Begin();
  const auto alive = detector.Begin();
  EXPECT_TRUE(detector.End(broken, request_outcome::kBroken, 1));
  EXPECT_FALSE(detector.OnHealthCheck(false).has_value());
  EXPECT_FALSE(detector.End(alive, request_outcome::kAnswered, 2));
}

// Guards against suspecting a request that was sent after the crash or cancelled by its caller.
TEST(CrashDetector, LaterAndCancelledRequestsAreNoSuspects) {
  crash_detector detector;
  const auto first = detector.Begin();
  const auto cancelled = detector.Begin();
  EXPECT_TRUE(detector.End(first, request_outcome::kBroken, 1));
  EXPECT_FALSE(detector.End(cancelled, request_outcome::kOther, 2));
  EXPECT_FALSE(detector.End(detector.Begin(), request_outcome::kBroken, 3));
  EXPECT_EQ(detector.OnHealthCheck(false), (std::vector<std::uint64_t>{1}));
}

// Guards against reporting the suspects of an earlier crash again.
TEST(CrashDetector, SecondCrashIsReportedSeparately) {
  crash_detector detector;
  EXPECT_TRUE(detector.End(detector.Begin(), request_outcome::kBroken, 1));
  EXPECT_TRUE(detector.OnHealthCheck(false).has_value());
  EXPECT_TRUE(detector.End(detector.Begin(), request_outcome::kBroken, 5));
  EXPECT_EQ(detector.OnHealthCheck(false), (std::vector<std::uint64_t>{5}));
}

}  // namespace
}  // namespace siskinrack::quarantine
