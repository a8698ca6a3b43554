#include "siskinrack/balancing/selection.h"

#include <gtest/gtest.h>

#include <random>

#include "siskinrack/balancing/sharded_registry.h"

namespace siskinrack::balancing {
namespace {

using std::chrono::milliseconds;

time_point At(std::int64_t ms) { return time_point() + std::chrono::hours(1) + milliseconds(ms); }

class selection_test : public testing::Test {
 protected:
  std::size_t Add(bool same_domain, std::uint32_t slots = 6) {
    candidates_.push_back({std::make_shared<endpoint_state>(slots), same_domain});
    return candidates_.size() - 1;
  }
  endpoint_state& State(std::size_t index) { return *candidates_[index].state; }
  void RecordAnswers(std::size_t index, std::int64_t latency_ms, std::int64_t now_ms,
                     int times = 20) {
    for (int i = 0; i < times; ++i) {
      State(index).Start(At(now_ms));
      State(index).Finish({call_outcome::kAnswered, milliseconds(latency_ms), {}, {}}, At(now_ms));
    }
  }
  void Fail(std::size_t index, std::int64_t now_ms) {
    State(index).Start(At(now_ms));
    State(index).Finish({call_outcome::kFailed, milliseconds(0), {}, {}}, At(now_ms));
  }
  selection Pick(std::int64_t now_ms, std::optional<std::size_t> exclude = std::nullopt) {
    return Choose(candidates_, At(now_ms), random_(), exclude);
  }
  /// Returns how often each candidate is selected in 1,000 selections; no call is sent.
  std::vector<int> Count(std::int64_t now_ms) {
    std::vector<int> counts(candidates_.size());
    for (int i = 0; i < 1000; ++i) ++counts[Pick(now_ms).index.value()];
    return counts;
  }

  std::vector<candidate> candidates_;
  std::mt19937_64 random_{7};
};

// Guards against sending calls to the busier of two equal endpoints.
TEST_F(selection_test, LessLoadedEndpointIsPreferred) {
  Add(true), Add(true);
  RecordAnswers(0, 10, 0), RecordAnswers(1, 10, 0);
  for (int i = 0; i < 3; ++i) State(0).Start(At(0));
  EXPECT_EQ(Count(0)[0], 0);
}

// Guards against a load report that never expires.
TEST_F(selection_test, ReportedLoadCountsAndDecays) {
  Add(true), Add(true);
  RecordAnswers(0, 10, 0), RecordAnswers(1, 10, 0);
  State(0).Start(At(0));
  State(0).Finish({call_outcome::kAnswered, milliseconds(10), reported_load{6, 4, 6}, {}}, At(0));
  EXPECT_EQ(Count(0)[0], 0);
  EXPECT_NEAR(State(0).View(At(20'000)).cost_ms, State(1).View(At(20'000)).cost_ms, 0.2);
}

// Guards against needless traffic between failure domains, and against overloading the own domain
// while others are idle.
TEST_F(selection_test, OwnDomainIsSelectedUntilItsExtraCostExceedsTheLinkDelay) {
  Add(true), Add(false);
  RecordAnswers(0, 20, 0), RecordAnswers(1, 28, 0);
  EXPECT_EQ(Count(0)[1], 0);
  for (int i = 0; i < 5; ++i) State(0).Start(At(0));
  EXPECT_EQ(Count(0)[1], 1000);
}

// Guards against preferring an upstream whose immediate errors give it the lowest latency.
TEST_F(selection_test, EndpointThatFailsFastReceivesFewCalls) {
  Add(true), Add(true), Add(true);
  RecordAnswers(1, 20, 0), RecordAnswers(2, 20, 0);
  int failed = 0;
  for (std::int64_t ms = 0; ms < 10'000; ms += 2) {
    const std::size_t index = Pick(ms).index.value();
    if (index == 0) {
      Fail(0, ms);
      ++failed;
    } else {
      RecordAnswers(index, 20, ms, 1);
    }
  }
  EXPECT_LE(failed, 12);  // 100 ms, 200 ms, ... up to 5 s between probes
}

// Guards against a recovered endpoint that receives no more calls.
TEST_F(selection_test, ProbeReadmitsARecoveredEndpoint) {
  Add(true), Add(true);
  RecordAnswers(0, 10, 0), RecordAnswers(1, 10, 0);
  Fail(0, 0);
  EXPECT_EQ(Count(50)[0], 0);
  EXPECT_EQ(Pick(500).index, 0U);
  State(0).Start(At(500));
  EXPECT_EQ(Count(500)[0], 0) << "one probe at a time";
  State(0).Finish({call_outcome::kAnswered, milliseconds(10), {}, {}}, At(510));
  EXPECT_GT(Count(20'000)[0], 200);
}

// Guards against a caller with a very short deadline that ejects endpoints for all callers.
TEST_F(selection_test, OnlyLongTimeoutsAreFailures) {
  Add(true), Add(true);
  RecordAnswers(0, 20, 0), RecordAnswers(1, 20, 0);
  State(0).Start(At(0));
  State(0).Finish({call_outcome::kTimedOut, milliseconds(5), {}, {}}, At(5));
  EXPECT_EQ(State(0).View(At(5)).ready, readiness::kAvailable);
  EXPECT_GT(State(0).AnswerTimeout(), milliseconds(5));
  EXPECT_LT(State(0).AnswerTimeout(), milliseconds(900));
  State(0).Start(At(0));
  State(0).Finish({call_outcome::kTimedOut, milliseconds(900), {}, {}}, At(900));
  EXPECT_EQ(State(0).View(At(900)).ready, readiness::kEjected);
}

// Guards against calls to an endpoint before its Retry-After pause ends.
TEST_F(selection_test, PausedEndpointIsNotSelectedBeforeRetryAfterEnds) {
  Add(true), Add(true);
  State(0).Start(At(0));
  State(0).Finish({call_outcome::kRefused, milliseconds(1), {}, milliseconds(3000)}, At(0));
  EXPECT_EQ(Count(2999)[0], 0);
  State(1).Start(At(0));
  State(1).Finish({call_outcome::kRefused, milliseconds(1), {}, milliseconds(5000)}, At(0));
  const selection none = Pick(2000);
  EXPECT_FALSE(none.index.has_value());
  EXPECT_EQ(none.retry_after, milliseconds(1000));
  EXPECT_EQ(Pick(3001).index, 0U);
}

// Guards against refusing calls because every endpoint failed recently.
TEST_F(selection_test, SomeEndpointIsSelectedWhenAllHaveFailed) {
  Add(true), Add(false);
  Fail(0, 0), Fail(1, 0);
  EXPECT_TRUE(Pick(1).index.has_value());
}

// Guards against sending a retry to the endpoint that has just failed.
TEST_F(selection_test, RetryGoesToAnotherEndpoint) {
  Add(true), Add(true);
  for (int i = 0; i < 100; ++i) EXPECT_EQ(Pick(0, 0).index, 1U);
}

// Guards against retries that multiply the load of an overloaded service.
TEST(RetryBudget, AllowsOneRetryInTenRequests) {
  retry_budget budget;
  int retries = 0;
  for (int i = 0; i < 1000; ++i) {
    budget.AddRequest();
    if (budget.TakeRetry()) ++retries;
  }
  EXPECT_GE(retries, 100);
  EXPECT_LE(retries, 101);
}

// Guards against accumulated credit that allows a burst of retries later.
TEST(RetryBudget, UnusedCreditIsBounded) {
  retry_budget budget;
  for (int i = 0; i < 100'000; ++i) budget.AddRequest();
  int retries = 0;
  while (budget.TakeRetry() && retries < 1000) ++retries;
  EXPECT_LE(retries, 20);
}

// Guards against running a non-repeatable request twice and against retries of retries.
TEST(RetryPolicy, OnlySafeFirstAttemptsAreRetried) {
  EXPECT_TRUE(IsRetryAllowed({.refused_not_run = true}));
  EXPECT_TRUE(IsRetryAllowed({.repeatable = true, .outcome_unknown = true}));
  EXPECT_FALSE(IsRetryAllowed({.repeatable = false, .outcome_unknown = true}));
  EXPECT_FALSE(IsRetryAllowed({.attempt = 1, .repeatable = true, .refused_not_run = true}));
  EXPECT_FALSE(IsRetryAllowed({.repeatable = true})) << "answered";
  EXPECT_FALSE(
      IsRetryAllowed({.repeatable = true, .outcome_unknown = true, .upstream_disconnected = true}))
      << "a retry of a request that crashes upstreams crashes the next one";
}

}  // namespace
}  // namespace siskinrack::balancing
