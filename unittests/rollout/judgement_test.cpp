#include "siskinrack/rollout/judgement.h"

#include <gtest/gtest.h>

#include <random>

namespace siskinrack::rollout {
namespace {

using std::chrono::milliseconds;

constexpr std::uint64_t kRoute = 7;
constexpr std::uint64_t kOtherRoute = 8;
constexpr double kShare = 0.08;
constexpr int kTrialUpstreams = 4;
constexpr milliseconds kStep{250};
/// Answers of the version under trial in one step.
constexpr int kTrialAnswers = 2 * kTrialUpstreams;
/// Time after the fiftieth bad answer in which a fault has to be found. The deployments allow 5 s
/// until nothing may be sent; reports, verdicts and a lost message take the rest.
constexpr milliseconds kFindingTime{3'000};

/// Returns when a version has given its fiftieth bad answer.
milliseconds FindFiftiethBad(double bad_rate) {
  return std::chrono::duration_cast<milliseconds>(kStep * (50 / (bad_rate * kTrialAnswers)));
}

/// Behaviour of a version on one route.
struct behaviour {
  double failure_rate = 0.004;
  double slow_rate = 0;
  double slow_factor = 8;
  double median_ms = 120;
};

/// Feeds a judgement with the answers of a service in steps of 250 ms.
class judged_service {
 public:
  explicit judged_service(std::uint64_t seed = 1) : random_(seed) {}

  route_counts MakeAnswers(int count, const behaviour& version) {
    route_counts counts;
    for (int i = 0; i < count; ++i) {
      ++counts.answered;
      if (Draw(version.failure_rate)) {
        ++counts.failed;
        continue;
      }
      const double factor = Draw(version.slow_rate) ? version.slow_factor : 1;
      const double took =
          version.median_ms * factor * std::lognormal_distribution<double>(0, 0.5)(random_);
      ++counts.service.at(ToServiceBucket(milliseconds(static_cast<int>(took))));
    }
    return counts;
  }

  /// Adds the answers of one step: 100 of the others, 8 of the version under trial.
  void Step(std::uint64_t route, const behaviour& others, const behaviour& trial) {
    now_ += kStep;
    judged_.AddOther(route, MakeAnswers(100, others), now_);
    for (int i = 0; i < kTrialUpstreams; ++i)
      judged_.AddTrial("node-" + std::to_string(i), route, MakeAnswers(2, trial), now_);
    judged_.Advance(now_, /*others_serve=*/true);
  }
  /// Lets the answers so far be evaluated.
  void Finish() {
    now_ += milliseconds(1'500);
    judged_.Advance(now_, /*others_serve=*/true);
  }

  /// Runs up to `steps` steps; returns the time until a fault was found, or std::nullopt.
  std::optional<milliseconds> FindFaultWithin(int steps, std::uint64_t route,
                                              const behaviour& others, const behaviour& trial) {
    for (int i = 1; i <= steps; ++i) {
      Step(route, others, trial);
      if (judged_.FindFault()) return i * kStep;
    }
    return std::nullopt;
  }

  judgement& judged() { return judged_; }
  [[nodiscard]] time_point now() const { return now_; }

 private:
  bool Draw(double rate) { return std::bernoulli_distribution(rate)(random_); }

  std::mt19937_64 random_;
  judgement judged_;
  time_point now_ = time_point() + std::chrono::hours(1);
};

// Guards against a bad version that is found too long after its fiftieth bad answer.
TEST(Judgement, FailuresAreFoundSoonAfterFiftyBadAnswers) {
  for (const double rate : {0.2, 0.45, 1.0}) {
    judged_service service;
    const auto found = service.FindFaultWithin(60, kRoute, {}, {.failure_rate = rate});
    ASSERT_TRUE(found) << rate;
    EXPECT_LT(*found, FindFiftiethBad(rate) + kFindingTime) << rate;
    EXPECT_EQ(service.judged().FindFault()->measured, measure::kFailures);
  }
}

// Guards against slow answers that no count of failures shows.
TEST(Judgement, SlowAnswersAreFoundSoonAfterFiftyBadAnswers) {
  for (const double rate : {0.45, 1.0}) {
    judged_service service;
    const auto found = service.FindFaultWithin(60, kRoute, {}, {.slow_rate = rate});
    ASSERT_TRUE(found) << rate;
    EXPECT_LT(*found, FindFiftiethBad(rate) + kFindingTime) << rate;
    EXPECT_EQ(service.judged().FindFault()->measured, measure::kSlowAnswers);
  }
}

// Guards against a long good time that outweighs the fault of a version that turns bad late.
TEST(Judgement, LateFaultIsFoundAsFastAsAnEarlyOne) {
  judged_service service;
  for (int i = 0; i < 200; ++i) service.Step(kRoute, {}, {});
  ASSERT_TRUE(service.judged().IsAccepted(kShare));
  const auto found = service.FindFaultWithin(60, kRoute, {}, {.failure_rate = 0.45});
  ASSERT_TRUE(found);
  EXPECT_LT(*found, FindFiftiethBad(0.45) + kFindingTime);
  EXPECT_FALSE(service.judged().IsAccepted(kShare));
}

// Guards against the mean over all routes, in which a fault on one of them disappears.
TEST(Judgement, FaultOnOneRouteIsFound) {
  judged_service service;
  int steps = 0;
  while (!service.judged().FindFault() && ++steps < 40) {
    service.Step(kRoute, {}, {});
    service.Step(kOtherRoute, {}, {.failure_rate = 0.45});
  }
  ASSERT_TRUE(service.judged().FindFault());
  EXPECT_EQ(service.judged().FindFault()->route, kOtherRoute);
}

// Guards against rolling a good version back because the service is in trouble.
TEST(Judgement, TroubleOfAllVersionsIsNoReason) {
  for (std::uint64_t seed = 0; seed < 20; ++seed) {
    judged_service service(seed);
    const behaviour trouble{.failure_rate = 0.2, .slow_rate = 0.4};
    EXPECT_FALSE(service.FindFaultWithin(100, kRoute, trouble, trouble)) << seed;
  }
}

// Guards against trouble of all versions that begins suddenly: the reports on the other versions
// arrive a moment later. A burst rolled a good version back (deploy/days/rollout-good-disturbed).
TEST(Judgement, SuddenTroubleOfAllVersionsIsNoReason) {
  for (std::uint64_t seed = 0; seed < 20; ++seed) {
    judged_service service(seed);
    for (int i = 0; i < 40; ++i) service.Step(kRoute, {}, {});
    const behaviour trouble{.failure_rate = 0.25, .slow_rate = 0.5};
    for (int i = 0; i < 20; ++i) {
      // The version under trial is reported one step ahead.
      service.Step(kRoute, i == 0 ? behaviour{} : trouble, trouble);
      ASSERT_FALSE(service.judged().FindFault()) << seed << ' ' << i;
    }
  }
}

// Guards against rolling a good version back because one of its upstreams is grey.
TEST(Judgement, OneFailingUpstreamIsNoReason) {
  judged_service service;
  for (int i = 0; i < 100; ++i) {
    service.Step(kRoute, {}, {});
    service.judged().AddTrial("node-0", kRoute, service.MakeAnswers(2, {.failure_rate = 1}),
                              service.now());
  }
  EXPECT_FALSE(service.judged().FindFault());
  EXPECT_TRUE(service.judged().IsAccepted(kShare));
}

// Guards against a version with a single upstream that can't be judged at all.
TEST(Judgement, SingleUpstreamOfTheVersionIsJudged) {
  judged_service service;
  for (int i = 0; i < 10; ++i) {
    service.judged().AddOther(kRoute, service.MakeAnswers(100, {}), service.now());
    service.judged().AddTrial("only", kRoute, service.MakeAnswers(4, {.failure_rate = 0.5}),
                              service.now());
  }
  service.Finish();
  EXPECT_TRUE(service.judged().FindFault());
}

// Guards against a verdict on a version by the one upstream that happened to be tried first.
TEST(Judgement, SingleTriedUpstreamOfSeveralIsNoReason) {
  judged_service service;
  service.judged().SetTrialUpstreams(10);
  for (int i = 0; i < 10; ++i) {
    service.judged().AddOther(kRoute, service.MakeAnswers(100, {}), service.now());
    service.judged().AddTrial("first", kRoute, service.MakeAnswers(4, {.failure_rate = 0.5}),
                              service.now());
  }
  service.Finish();
  EXPECT_FALSE(service.judged().FindFault());
}

// Guards against old evidence on some upstreams that adds up with new evidence on others, although
// the version did well between: a series of short troubles rolled a good version back.
TEST(Judgement, EvidenceOfDifferentTimesDoesNotAddUp) {
  judged_service service;
  for (int trouble = 0; trouble < 6; ++trouble) {
    const std::string upstream = "troubled-" + std::to_string(trouble);
    service.judged().AddTrial(upstream, kRoute, service.MakeAnswers(10, {.failure_rate = 1}),
                              service.now());
    for (int i = 0; i < 20; ++i) service.Step(kRoute, {}, {});
  }
  EXPECT_FALSE(service.judged().FindFault());
}

// Guards against chance: false alarms are stated to be rare, and a bad version must not be
// accepted.
TEST(Judgement, ErrorRatesAreAsStated) {
  int false_alarms = 0;
  int not_accepted = 0;
  for (std::uint64_t seed = 0; seed < 200; ++seed) {
    judged_service service(seed);
    false_alarms += service.FindFaultWithin(60, kRoute, {}, {}) ? 1 : 0;
    not_accepted += service.judged().IsAccepted(kShare) ? 0 : 1;
  }
  EXPECT_LE(false_alarms, 1);
  EXPECT_LE(not_accepted, 4);
  for (std::uint64_t seed = 0; seed < 200; ++seed) {
    judged_service service(seed);
    for (int i = 0; i < 60; ++i) {
      service.Step(kRoute, {}, {.failure_rate = 0.2});
      ASSERT_FALSE(service.judged().IsAccepted(kShare)) << seed;
    }
  }
}

// Guards against a version that is accepted before its routes have been tried.
TEST(Judgement, RouteWithoutAnswersIsNotAccepted) {
  judged_service service;
  for (int i = 0; i < 100; ++i) {
    service.Step(kRoute, {}, {});
    service.judged().AddOther(kOtherRoute, service.MakeAnswers(100, {}), service.now());
  }
  EXPECT_FALSE(service.judged().IsAccepted(kShare));
}

// Guards against a route with few requests that holds an order up until it is rolled back.
TEST(Judgement, RareRouteDoesNotPreventAcceptance) {
  judged_service service;
  for (int i = 0; i < 100; ++i) service.Step(kRoute, {}, {});
  service.judged().AddOther(kOtherRoute, service.MakeAnswers(20, {}), service.now());
  EXPECT_TRUE(service.judged().IsAccepted(kShare));
}

// Guards against negative counts after the restart of a reporting node.
TEST(RouteCounts, CountsOfARestartedNodeAreNew) {
  route_counts before{10, 2, {}};
  before.service.at(3) = 8;
  route_counts after{4, 1, {}};
  after.service.at(3) = 3;
  EXPECT_EQ(Subtract(after, before), after);
  route_counts later{11, 2, {}};
  later.service.at(3) = 9;
  EXPECT_EQ(Subtract(later, before).answered, 1U);
  EXPECT_EQ(Subtract(later, before).service.at(3), 1U);
}

}  // namespace
}  // namespace siskinrack::rollout
