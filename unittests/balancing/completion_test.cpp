#include <gtest/gtest.h>

#include <random>

#include "siskinrack/balancing/call_placement.h"
#include "siskinrack/balancing/call_profile.h"
#include "siskinrack/balancing/selection.h"

namespace siskinrack::balancing {
namespace {

using std::chrono::milliseconds;

time_point At(std::int64_t ms) { return time_point() + std::chrono::hours(1) + milliseconds(ms); }

class completion_test : public testing::Test {
 protected:
  std::size_t Add(bool same_domain, std::int64_t service_ms) {
    candidates_.push_back({std::make_shared<endpoint_state>(2), same_domain});
    endpoint_state& state = *candidates_.back().state;
    state.Start(At(0));
    state.Finish(
        {call_outcome::kAnswered, milliseconds(service_ms), {}, {}, milliseconds(service_ms)},
        At(0));
    return candidates_.size() - 1;
  }
  void Load(std::size_t index, int calls) {
    for (int i = 0; i < calls; ++i) candidates_[index].state->Start(At(0));
  }
  /// Returns the fraction of 1,000 selections that return the candidate.
  double Share(std::size_t index, double in_time_ms) {
    int times_selected = 0;
    for (int i = 0; i < 1000; ++i) {
      goal_.in_time_ms = in_time_ms;
      const auto chosen = ChooseByCompletion(candidates_, goal_, At(1), random_());
      if (chosen.index == index) ++times_selected;
    }
    return times_selected / 1000.0;
  }

  std::vector<candidate> candidates_;
  completion_goal goal_{0, 500};
  std::mt19937_64 random_{11};
};

// Guards against traffic between domains without a gain; it cost 0.07 to 0.11 of the total worth of
// the answers.
TEST_F(completion_test, OwnDomainIsSelectedWhileItAnswersInTime) {
  const auto local = Add(true, 200);
  Add(false, 20);
  EXPECT_EQ(Share(local, 400), 1.0);
}

// Guards against late answers although another domain has free slots.
TEST_F(completion_test, OtherDomainIsSelectedIfOnlyItAnswersInTime) {
  const auto local = Add(true, 200);
  const auto remote = Add(false, 200);
  Load(local, 8);
  EXPECT_EQ(Share(remote, 400), 1.0);
}

// Guards against traffic between domains when all of them are equally overloaded.
TEST_F(completion_test, OwnDomainIsSelectedIfNoneAnswersInTime) {
  const auto local = Add(true, 200);
  const auto remote = Add(false, 200);
  Load(local, 8), Load(remote, 8);
  EXPECT_EQ(Share(local, 400), 1.0);
}

// Guards against all nodes selecting the same one of several equal endpoints.
TEST_F(completion_test, EqualEndpointsShareTheCalls) {
  const auto first = Add(true, 100);
  Add(true, 100);
  EXPECT_NEAR(Share(first, 400), 0.5, 0.1);
}

// Guards against large bodies between domains: the downloads of one route were most of the traffic
// between domains, because the endpoint's mean service time included the long calls of another
// route.
TEST_F(completion_test, LargeAnswerStaysInTheOwnDomain) {
  const auto local = Add(true, 200);
  const auto remote = Add(false, 200);
  Load(local, 8);
  goal_ = {400, 500, true, milliseconds(80), 0, /*kilobytes=*/90};
  EXPECT_EQ(Share(local, 400), 1.0);
  goal_.kilobytes = 1;
  EXPECT_EQ(Share(remote, 400), 1.0);
}

// Guards against a domain whose endpoints are far behind: its callers wait for large answers until
// their deadlines while other domains are idle.
TEST_F(completion_test, LargeAnswerLeavesADomainThatIsFarBehind) {
  const auto local = Add(true, 200);
  const auto remote = Add(false, 200);
  Load(local, 40);
  goal_ = {400, 500, true, milliseconds(80), 0, /*kilobytes=*/90};
  EXPECT_EQ(Share(remote, 400), 1.0);
}

// Guards against predicting a short call by the mean service time of an endpoint that mostly runs
// long ones: the call left its domain although it would have been in time there.
TEST_F(completion_test, ShortCallIsPredictedByItsOwnServiceTime) {
  const auto local = Add(true, 410);
  Add(false, 410);
  goal_.expected_service = milliseconds(82);
  EXPECT_EQ(Share(local, 320), 1.0);
}

// Guards against losing the difference between fast and slow endpoints when the expected service
// time is the same for both.
TEST_F(completion_test, SlownessOfAnEndpointScalesTheExpectedServiceTime) {
  const auto slow = Add(true, 300);
  const auto fast = Add(true, 100);
  for (const auto index : {slow, fast}) {
    for (int i = 0; i < 20; ++i) {
      candidates_[index].state->Start(At(0));
      const auto took = milliseconds(index == slow ? 300 : 100);
      candidates_[index].state->Finish(
          {call_outcome::kAnswered, took, {}, {}, took, milliseconds(200)}, At(0));
    }
  }
  goal_.expected_service = milliseconds(50);
  EXPECT_EQ(Share(fast, 400), 1.0);
}

// Guards against preferring an upstream that refuses half of its calls at once: its short queue
// attracted calls, and each refused nested call wasted the work of its parent.
TEST_F(completion_test, UpstreamThatRefusesCallsIsAvoidedByTheCostOfARefusal) {
  const auto shedding = Add(true, 50);
  const auto busy = Add(true, 100);
  for (int i = 0; i < 20; ++i) {
    const auto outcome = i % 2 == 0 ? call_outcome::kShed : call_outcome::kAnswered;
    candidates_[shedding].state->Start(At(0));
    candidates_[shedding].state->Finish({outcome, milliseconds(50), {}, {}, milliseconds(50)},
                                        At(0));
  }
  goal_.refusal_cost_ms = 500;
  EXPECT_EQ(Share(busy, 400), 1.0);
}

TEST(call_profile_test, AveragesTheFirstAnswersAndFollowsLaterOnes) {
  call_profile profile;
  EXPECT_EQ(profile.service(), milliseconds(0));
  profile.Record(milliseconds(100), 90);
  EXPECT_EQ(profile.service(), milliseconds(100));
  EXPECT_EQ(profile.kilobytes(), 90);
  for (int i = 0; i < 300; ++i) profile.Record(milliseconds(300), 1);
  EXPECT_NEAR(std::chrono::duration<double>(profile.service()).count(), 0.3, 0.01);
  EXPECT_NEAR(profile.kilobytes(), 1, 0.1);
}

// Guards against calls that leave a domain with a single upstream of the service for every short
// wait there, which doubled the bytes between domains on a quiet day.
TEST(IsWorthCrossing, ShortWaitInTimeIsSpentInTheOwnDomain) {
  call_profile profile;
  profile.Record(milliseconds(100), 1);
  const completion_goal goal =
      MakeCompletionGoal({.in_time = milliseconds(600), .target = milliseconds(600)}, profile);
  EXPECT_FALSE(IsWorthCrossing(milliseconds(50), goal));
  EXPECT_FALSE(IsWorthCrossing(milliseconds(200), goal));
  EXPECT_TRUE(IsWorthCrossing(milliseconds(300), goal)) << "saves more than a third of the target";
}

// Guards against calls that become late in their own domain while another one has room.
TEST(IsWorthCrossing, LateCallGoesElsewhere) {
  call_profile profile;
  profile.Record(milliseconds(100), 90);
  const completion_goal goal =
      MakeCompletionGoal({.in_time = milliseconds(150), .target = milliseconds(600)}, profile);
  EXPECT_FALSE(IsWorthCrossing(milliseconds(10), goal));
  EXPECT_TRUE(IsWorthCrossing(milliseconds(50), goal));
}

}  // namespace
}  // namespace siskinrack::balancing
