#include "siskinrack/admission/controller.h"

#include <gtest/gtest.h>

#include <map>
#include <queue>
#include <set>
#include <string>

namespace siskinrack::admission {
namespace {

using std::chrono::milliseconds;

const std::vector<config::rank_policy> kRanks = {
    {"background", 5000, 1, 10}, {"normal", 1000, 20, 20}, {"urgent", 200, 100, 40}};

time_point At(std::int64_t ms) { return time_point() + std::chrono::hours(1) + milliseconds(ms); }

bool IsAdmitted(const decisions& list, std::uint64_t ticket) {
  return std::any_of(list.begin(), list.end(), [&](const decision& outcome) {
    return outcome.ticket == ticket && outcome.admitted;
  });
}

const decision* FindRefusal(const decisions& list, std::uint64_t ticket) {
  for (const decision& outcome : list) {
    if (outcome.ticket == ticket && !outcome.admitted) return &outcome;
  }
  return nullptr;
}

arrival Call(std::uint64_t ticket, std::string_view rank, std::int64_t deadline_ms,
             std::string_view caller = "a") {
  return {ticket, rank, caller, At(deadline_ms)};
}

/// Runs one call so that the controller has a service time estimate for the rank.
void RecordServiceTime(controller& subject, std::string_view rank, std::int64_t service_ms) {
  subject.Offer(Call(9'000'000, rank, 100'000), At(0));
  subject.Finish(9'000'000, call_result::kAnswered, At(service_ms));
}

/// Simulates a constant arrival rate per rank on one upstream. The service time is constant up to
/// the number of slots and grows with the number of calls beyond them.
class load_simulation {
 public:
  struct stream {
    std::string rank;
    double per_second;
    std::string caller = "a";
  };

  load_simulation(std::uint32_t slots, std::int64_t service_ms)
      : subject_({slots, milliseconds(0)}, kRanks), slots_(slots), service_time_(service_ms) {}

  void Run(const std::vector<stream>& streams, std::int64_t duration_ms) {
    std::vector<double> due(streams.size(), 0);
    for (std::int64_t ms = 0; ms < duration_ms; ++ms) {
      Complete(At(ms));
      for (std::size_t i = 0; i < streams.size(); ++i) {
        for (due[i] += streams[i].per_second / 1000; due[i] >= 1; due[i] -= 1) {
          const std::uint64_t ticket = ++last_ticket_;
          stream_names_[ticket] = streams[i].rank + '/' + streams[i].caller;
          ++offered_[stream_names_[ticket]];
          target_times_[ticket] = At(ms + Target(streams[i].rank));
          Apply(
              subject_.Offer({ticket, streams[i].rank, streams[i].caller, At(ms + 10'000)}, At(ms)),
              At(ms));
        }
      }
    }
  }

  /// Returns the fraction of the calls of `name` (rank/caller) answered within the rank's target.
  double Answered(const std::string& name) {
    return static_cast<double>(answered_[name]) / static_cast<double>(offered_[name]);
  }
  std::size_t answered_count(const std::string& name) { return answered_[name]; }

 private:
  void Apply(const decisions& list, time_point now) {
    for (const decision& outcome : list) {
      if (!outcome.admitted) continue;
      const std::size_t load_factor =
          std::max<std::size_t>(1, (running_by_end_.size() + 1) / slots_);
      running_by_end_.emplace(now + service_time_ * load_factor, outcome.ticket);
    }
  }
  void Complete(time_point now) {
    while (!running_by_end_.empty() && running_by_end_.begin()->first <= now) {
      const std::uint64_t ticket = running_by_end_.begin()->second;
      running_by_end_.erase(running_by_end_.begin());
      if (now <= target_times_[ticket]) ++answered_[stream_names_[ticket]];
      Apply(subject_.Finish(ticket, call_result::kAnswered, now), now);
    }
  }

  static std::int64_t Target(std::string_view rank) {
    for (const auto& policy : kRanks) {
      if (policy.name == rank) return policy.target_ms;
    }
    return 0;
  }

  controller subject_;
  std::size_t slots_;
  milliseconds service_time_;
  std::uint64_t last_ticket_ = 0;
  std::map<std::uint64_t, std::string> stream_names_;
  std::map<std::uint64_t, time_point> target_times_;
  std::map<std::string, std::size_t> offered_, answered_;
  std::set<std::pair<time_point, std::uint64_t>> running_by_end_;
};

// Guards against running more calls on an upstream than it has slots.
TEST(AdmissionController, CallsBeyondTheSlotsWait) {
  controller subject({2, milliseconds(0)}, kRanks);
  EXPECT_TRUE(IsAdmitted(subject.Offer(Call(1, "normal", 900), At(0)), 1));
  EXPECT_TRUE(IsAdmitted(subject.Offer(Call(2, "normal", 900), At(0)), 2));
  EXPECT_TRUE(subject.Offer(Call(3, "normal", 900), At(0)).empty());
  EXPECT_EQ(subject.Load(At(0)).queued, 1U);
  EXPECT_TRUE(IsAdmitted(subject.Finish(1, call_result::kAnswered, At(10)), 3));
}

// Guards against an overload of the rank of highest worth (20 times the capacity) occupying all
// slots.
TEST(AdmissionController, OverloadOfUrgentCallsLeavesOtherRanksTheirFloors) {
  load_simulation run(6, 20);  // capacity: 300 calls/s
  run.Run({{"urgent", 6000}, {"normal", 55}, {"background", 27}}, 20'000);
  EXPECT_GT(run.Answered("normal/a"), 0.95);
  EXPECT_GT(run.Answered("background/a"), 0.95);
  EXPECT_GT(run.answered_count("urgent/a"), 20 * 300 * 0.65);
}

// Guards against background calls delaying urgent calls.
TEST(AdmissionController, OverloadOfBackgroundCallsDoesNotDelayUrgentCalls) {
  load_simulation run(6, 20);
  run.Run({{"background", 3000}, {"urgent", 200}, {"normal", 50}}, 20'000);
  EXPECT_GT(run.Answered("urgent/a"), 0.995);
  EXPECT_GT(run.Answered("normal/a"), 0.97);
}

// Guards against one caller starving the other callers of its rank.
TEST(AdmissionController, CallersShareTheSlotsOfTheirRank) {
  load_simulation run(6, 20);
  run.Run({{"normal", 3000, "greedy"}, {"normal", 100, "modest"}}, 10'000);
  EXPECT_GT(run.Answered("normal/modest"), 0.95);
}

// Guards against queueing calls that can't be answered in time.
TEST(AdmissionController, CallThatCannotMeetItsDeadlineIsRefusedAtOnce) {
  controller subject({1, milliseconds(0)}, kRanks);
  RecordServiceTime(subject, "normal", 100);
  subject.Offer(Call(1, "normal", 5000), At(100));
  const auto by_deadline = subject.Offer(Call(2, "normal", 250), At(100));
  ASSERT_NE(FindRefusal(by_deadline, 2), nullptr);
  EXPECT_EQ(FindRefusal(by_deadline, 2)->reason, refusal::kDeadline);
  for (std::uint64_t i = 3; i < 20; ++i) subject.Offer(Call(i, "normal", 5000), At(100));
  const auto by_target = subject.Offer(Call(20, "normal", 5000), At(100));
  ASSERT_NE(FindRefusal(by_target, 20), nullptr);
  EXPECT_EQ(FindRefusal(by_target, 20)->reason, refusal::kRankTarget);
}

// Guards against queueing calls for an upstream that hangs: no call ends, so the service time
// estimate never rises.
TEST(AdmissionController, CallsToAHungUpstreamAreRefused) {
  controller subject({1, milliseconds(0)}, kRanks);
  RecordServiceTime(subject, "urgent", 10);
  subject.Offer(Call(1, "urgent", 60'000), At(10));
  EXPECT_TRUE(subject.Offer(Call(2, "urgent", 60'000), At(50)).empty());
  const auto late = subject.Offer(Call(3, "urgent", 60'000), At(300));
  ASSERT_NE(FindRefusal(late, 3), nullptr);
  EXPECT_EQ(FindRefusal(late, 3)->reason, refusal::kRankTarget);
}

// Guards against refusing every call after a slow period: without admitted calls there are no new
// samples to lower the service time estimate.
TEST(AdmissionController, ServiceTimeEstimateDecaysAfterSlowPeriod) {
  controller subject({1, milliseconds(0)}, kRanks);
  RecordServiceTime(subject, "urgent", 4000);
  EXPECT_EQ(subject.Offer(Call(1, "urgent", 30'000), At(4000)).front().admitted, false);
  EXPECT_EQ(subject.Offer(Call(2, "urgent", 40'000), At(12'000)).front().admitted, true);
}

// Guards against a full queue that keeps background calls and refuses urgent ones.
TEST(AdmissionController, FullQueueShedsTheCallOfLowestWorth) {
  controller subject({1, milliseconds(0)}, kRanks);
  std::uint64_t ticket = 0;
  decisions list;
  while (list.empty() || list.front().admitted) {
    list = subject.Offer(Call(++ticket, "background", 60'000), At(0));
    ASSERT_LT(ticket, 1000U);
  }
  EXPECT_EQ(list.front().reason, refusal::kQueueFull);
  list = subject.Offer(Call(5000, "urgent", 60'000), At(0));
  ASSERT_EQ(list.size(), 1U);
  EXPECT_NE(list.front().ticket, 5000U);
  EXPECT_FALSE(list.front().admitted);
  EXPECT_TRUE(IsAdmitted(subject.Finish(1, call_result::kAnswered, At(1)), 5000));
}

// Guards against sending the full load to an upstream that has just started.
TEST(AdmissionController, SlotsGrowDuringTheRamp) {
  controller subject({6, milliseconds(2000)}, kRanks);
  subject.StartRamp(At(0));
  EXPECT_EQ(subject.Load(At(0)).limit, 1U);
  EXPECT_EQ(subject.Load(At(1000)).limit, 3U);
  EXPECT_EQ(subject.Load(At(2000)).limit, 6U);
}

// Guards against calls before the end of a Retry-After pause and against an unchanged limit
// afterwards.
TEST(AdmissionController, SheddingUpstreamIsPausedAndItsLimitHalved) {
  controller subject({8, milliseconds(0)}, kRanks);
  subject.Offer(Call(1, "normal", 5000), At(0));
  subject.Finish(1, call_result::kRefusedByUpstream, At(1), milliseconds(600));
  EXPECT_EQ(subject.Load(At(1)).limit, 4U);
  const auto urgent = subject.Offer(Call(2, "urgent", 5000), At(2));
  ASSERT_NE(FindRefusal(urgent, 2), nullptr);
  EXPECT_EQ(FindRefusal(urgent, 2)->reason, refusal::kUpstreamPause);
  EXPECT_EQ(FindRefusal(urgent, 2)->retry_after, milliseconds(599));
  EXPECT_TRUE(subject.Offer(Call(3, "normal", 5000), At(2)).empty());
  EXPECT_TRUE(subject.Advance(At(600)).empty());
  EXPECT_TRUE(IsAdmitted(subject.Advance(At(601)), 3));
  EXPECT_TRUE(IsAdmitted(subject.Offer(Call(4, "normal", 5000), At(601)), 4));
  for (std::uint64_t i = 3; i < 100; ++i) {
    subject.Offer(Call(i + 100, "normal", 50'000), At(700));
    subject.Finish(i + 100, call_result::kAnswered, At(701));
  }
  EXPECT_EQ(subject.Load(At(701)).limit, 8U);
}

// Guards against an overload of background calls whose full queues hide on which upstreams urgent
// calls wait.
TEST(AdmissionController, LoadForRankExcludesRanksOfLowerWorth) {
  controller subject({1, milliseconds(0)}, kRanks);
  for (std::uint64_t i = 1; i <= 11; ++i) subject.Offer(Call(i, "background", 60'000), At(0));
  for (std::uint64_t i = 21; i <= 22; ++i) subject.Offer(Call(i, "urgent", 60'000), At(0));
  EXPECT_EQ(subject.LoadFor("urgent", At(0)).queued, 2U);
  EXPECT_EQ(subject.LoadFor("normal", At(0)).queued, 0U)
      << "no normal call is queued, so its floor serves a new one at once";
  EXPECT_EQ(subject.LoadFor("background", At(0)).queued, 12U);
  EXPECT_EQ(subject.Load(At(0)).queued, 12U);
}

// Guards against a cancelled call that keeps its queue position or its slot.
TEST(AdmissionController, CancelledCallLeavesQueueAndSlot) {
  controller subject({1, milliseconds(0)}, kRanks);
  subject.Offer(Call(1, "normal", 900), At(0));
  subject.Offer(Call(2, "normal", 900), At(0));
  subject.Offer(Call(3, "normal", 900), At(0));
  EXPECT_TRUE(subject.Withdraw(2));
  EXPECT_FALSE(subject.Withdraw(2));
  EXPECT_TRUE(IsAdmitted(subject.Finish(1, call_result::kAbandoned, At(5)), 3));
}

// Guards against losing calls or slots when a new configuration is applied.
TEST(AdmissionController, NewConfigurationKeepsWaitingCalls) {
  controller subject({1, milliseconds(0)}, kRanks);
  subject.Offer(Call(1, "urgent", 900), At(0));
  subject.Offer(Call(2, "background", 900), At(0));
  subject.Configure({2, milliseconds(0)}, std::vector{kRanks[1], kRanks[2]});
  EXPECT_TRUE(IsAdmitted(subject.Advance(At(1)), 2));
  subject.Finish(1, call_result::kAnswered, At(2));
  subject.Finish(2, call_result::kAnswered, At(2));
  EXPECT_EQ(subject.Load(At(2)).in_flight, 0U);
}

}  // namespace
}  // namespace siskinrack::admission
