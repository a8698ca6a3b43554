#include "siskinrack/balancing/selection.h"

#include <gtest/gtest.h>

#include <random>

#include "siskinrack/balancing/endpoint_tracker.h"

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
  void Teach(std::size_t index, std::int64_t latency_ms, std::int64_t now_ms, int times = 20) {
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
  /// How often each candidate is chosen in 1,000 choices that end at once.
  std::vector<int> Count(std::int64_t now_ms) {
    std::vector<int> counts(candidates_.size());
    for (int i = 0; i < 1000; ++i) ++counts[Pick(now_ms).index.value()];
    return counts;
  }

  std::vector<candidate> candidates_;
  std::mt19937_64 random_{7};
};

// Guards against work that is sent to the busier of two equal endpoints.
TEST_F(selection_test, LessLoadedEndpointIsPreferred) {
  Add(true), Add(true);
  Teach(0, 10, 0), Teach(1, 10, 0);
  for (int i = 0; i < 3; ++i) State(0).Start(At(0));
  EXPECT_EQ(Count(0)[0], 0);
}

// Guards against a load report that counts for ever.
TEST_F(selection_test, ReportedLoadCountsAndAges) {
  Add(true), Add(true);
  Teach(0, 10, 0), Teach(1, 10, 0);
  State(0).Start(At(0));
  State(0).Finish({call_outcome::kAnswered, milliseconds(10), reported_load{6, 4, 6}, {}}, At(0));
  EXPECT_EQ(Count(0)[0], 0);
  EXPECT_NEAR(State(0).View(At(20'000)).cost_ms, State(1).View(At(20'000)).cost_ms, 0.2);
}

// Guards against needless traffic between failure domains, and against an own domain that is
// overloaded while others are idle.
TEST_F(selection_test, OwnDomainFirstUntilItCostsMoreThanTheLink) {
  Add(true), Add(false);
  Teach(0, 20, 0), Teach(1, 28, 0);
  EXPECT_EQ(Count(0)[1], 0);
  for (int i = 0; i < 5; ++i) State(0).Start(At(0));
  EXPECT_EQ(Count(0)[1], 1000);
}

// Guards against an upstream that answers errors at once and so looks like the fastest.
TEST_F(selection_test, EndpointThatFailsFastAttractsNoWork) {
  Add(true), Add(true), Add(true);
  Teach(1, 20, 0), Teach(2, 20, 0);
  int failed = 0;
  for (std::int64_t ms = 0; ms < 10'000; ms += 2) {
    const std::size_t index = Pick(ms).index.value();
    if (index == 0) {
      Fail(0, ms);
      ++failed;
    } else {
      Teach(index, 20, ms, 1);
    }
  }
  EXPECT_LE(failed, 12);  // 100 ms, 200 ms, ... up to 5 s between trials
}

// Guards against a recovered endpoint that gets no work again.
TEST_F(selection_test, TrialReopensARecoveredEndpoint) {
  Add(true), Add(true);
  Teach(0, 10, 0), Teach(1, 10, 0);
  Fail(0, 0);
  EXPECT_EQ(Count(50)[0], 0);
  EXPECT_EQ(Pick(500).index, 0U);
  State(0).Start(At(500));
  EXPECT_EQ(Count(500)[0], 0) << "one trial at a time";
  State(0).Finish({call_outcome::kAnswered, milliseconds(10), {}, {}}, At(510));
  EXPECT_GT(Count(20'000)[0], 200);
}

// Guards against a caller with a very short deadline that closes endpoints for all.
TEST_F(selection_test, OnlyLongTimeoutsAreFailures) {
  Add(true), Add(true);
  Teach(0, 20, 0), Teach(1, 20, 0);
  State(0).Start(At(0));
  State(0).Finish({call_outcome::kTimedOut, milliseconds(5), {}, {}}, At(5));
  EXPECT_EQ(State(0).View(At(5)).ready, readiness::kOpen);
  EXPECT_GT(State(0).AnswerTimeout(), milliseconds(5));
  EXPECT_LT(State(0).AnswerTimeout(), milliseconds(900));
  State(0).Start(At(0));
  State(0).Finish({call_outcome::kTimedOut, milliseconds(900), {}, {}}, At(900));
  EXPECT_EQ(State(0).View(At(900)).ready, readiness::kClosed);
}

// Guards against a Retry-After that is cut short.
TEST_F(selection_test, RetryAfterIsKeptWhole) {
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

// Guards against refusing work because every endpoint has failed lately.
TEST_F(selection_test, SomeEndpointIsChosenWhenAllHaveFailed) {
  Add(true), Add(false);
  Fail(0, 0), Fail(1, 0);
  EXPECT_TRUE(Pick(1).index.has_value());
}

TEST_F(selection_test, RetryGoesToAnotherEndpoint) {
  Add(true), Add(true);
  for (int i = 0; i < 100; ++i) EXPECT_EQ(Pick(0, 0).index, 1U);
}

// Guards against a retry storm.
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

// Guards against credit from a quiet day that allows a storm later.
TEST(RetryBudget, UnusedCreditIsBounded) {
  retry_budget budget;
  for (int i = 0; i < 100'000; ++i) budget.AddRequest();
  int retries = 0;
  while (budget.TakeRetry() && retries < 1000) ++retries;
  EXPECT_LE(retries, 20);
}

// Guards against a second run of a request that must run once, and against retries of retries.
TEST(RetryPolicy, OnlySafeFirstAttemptsAreRetried) {
  EXPECT_TRUE(IsRetryAllowed({.refused_not_run = true}));
  EXPECT_TRUE(IsRetryAllowed({.repeatable = true, .outcome_unknown = true}));
  EXPECT_FALSE(IsRetryAllowed({.repeatable = false, .outcome_unknown = true}));
  EXPECT_FALSE(IsRetryAllowed({.attempt = 1, .repeatable = true, .refused_not_run = true}));
  EXPECT_FALSE(IsRetryAllowed({.repeatable = true})) << "answered";
  EXPECT_FALSE(
      IsRetryAllowed({.repeatable = true, .outcome_unknown = true, .upstream_broke = true}))
      << "a retry of a request that crashes upstreams takes the next one down";
}

}  // namespace
}  // namespace siskinrack::balancing
