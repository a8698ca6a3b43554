#include "siskinrack/rollout/order_judge.h"

#include <gtest/gtest.h>

namespace siskinrack::rollout {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double kShare = 0.08;
constexpr std::uint64_t kRoute = 7;
constexpr std::size_t kUpstreams = 4;
constexpr std::uint64_t kSlots = 8;
constexpr milliseconds kStep{250};

/// Returns the moment `after` after the order.
time_point At(milliseconds after) { return time_point() + std::chrono::hours(1) + after; }

order MakeOrder() { return {"counter", "v2", seconds(16), 5, order_state::kRunning}; }

/// Nodes beside the upstreams of a service, which report to judges.
class reporting_service {
 public:
  /// Lets all upstreams answer; one in `failing` answers of the target version fails if it isn't 0.
  void Answer(int failing) {
    for (std::size_t i = 0; i < kUpstreams; ++i) {
      Add("old-" + std::to_string(i), "v1", 40, 0);
      if (has_target) Add("new-" + std::to_string(i), "v2", 4, failing);
    }
  }
  void ReportTo(order_judge& judge, milliseconds after) const {
    for (const auto& [node, report] : reports_) {
      upstream_report sent = report;
      sent.known_for = after;
      if (report.software_version == "v1") sent.open_calls = open_calls;
      sent.knows_cut_over = knows_cut_over;
      judge.OnReport(sent, At(after));
    }
  }
  [[nodiscard]] upstream_census Census() const {
    const std::size_t target = has_target ? kUpstreams : 0;
    return {target, kUpstreams, target * kSlots, kUpstreams * kSlots};
  }

  bool has_target = true;
  std::uint32_t open_calls = 3;
  bool knows_cut_over = false;

 private:
  void Add(const std::string& node, const std::string& version, std::uint32_t count, int failing) {
    upstream_report& report = reports_[node];
    report.node_id = node;
    report.software_version = version;
    route_counts& counts = report.counts[kRoute];
    for (std::uint32_t i = 0; i < count; ++i) {
      ++counts.answered;
      if (failing != 0 && counts.answered % static_cast<std::uint32_t>(failing) == 0) {
        ++counts.failed;
      } else {
        ++counts.service.at(12);
      }
    }
  }

  std::map<std::string, upstream_report> reports_;
};

/// Runs the trial until the judge rules anything but to wait or until `end`; returns the time.
milliseconds RunUntilRuling(reporting_service& service, order_judge& judge, milliseconds begin,
                            milliseconds end, int failing) {
  for (milliseconds after = begin; after < end; after += kStep) {
    service.Answer(failing);
    service.ReportTo(judge, after);
    if (judge.Decide(service.Census(), At(after)).decided != ruling::kWait) return after;
  }
  return end;
}

// Guards against a bad version that is kept for the length of the trial.
TEST(OrderJudge, BadVersionIsRolledBackAtOnce) {
  reporting_service service;
  order_judge judge(MakeOrder(), kShare, At(milliseconds(0)));
  const auto after = RunUntilRuling(service, judge, milliseconds(0), seconds(16), 2);
  EXPECT_LT(after, seconds(2));
  const decision decided = judge.Decide(service.Census(), At(after));
  EXPECT_EQ(decided.decided, ruling::kRollBack);
  ASSERT_TRUE(decided.fault);
  EXPECT_GT(decided.fault->bad, 0U);
}

// Guards against a cut-over before late faults can show, `done` while the old upstreams hold calls,
// and a good version that isn't done in time.
TEST(OrderJudge, GoodVersionIsDoneInTimeOnceTheOthersAreEmpty) {
  reporting_service service;
  order_judge judge(MakeOrder(), kShare, At(milliseconds(0)));
  auto after = RunUntilRuling(service, judge, milliseconds(0), seconds(16), 0);
  EXPECT_GE(after, milliseconds(9'600));
  EXPECT_LT(after, milliseconds(10'000));
  EXPECT_EQ(judge.Decide(service.Census(), At(after)).decided, ruling::kCutOver);
  judge.OnCutOver(At(after));
  service.knows_cut_over = true;
  const auto cut_over = after;
  after = RunUntilRuling(service, judge, after, cut_over + seconds(2), 0);
  EXPECT_EQ(after, cut_over + seconds(2));
  service.open_calls = 0;
  after = RunUntilRuling(service, judge, after, seconds(16), 0);
  EXPECT_LT(after, milliseconds(13'000));
  EXPECT_EQ(judge.Decide(service.Census(), At(after)).decided, ruling::kDone);
}

// Guards against a node that missed the cut-over and holds up the order until its limit.
TEST(OrderJudge, OldUpstreamThatNeverEmptiesDoesNotPreventDone) {
  reporting_service service;
  order_judge judge(MakeOrder(), kShare, At(milliseconds(0)));
  const auto after = RunUntilRuling(service, judge, milliseconds(0), seconds(16), 0);
  judge.OnCutOver(At(after));
  EXPECT_LE(RunUntilRuling(service, judge, after, seconds(16), 0), after + seconds(3));
}

// Guards against `done` for a version that fails only with all the traffic.
TEST(OrderJudge, FaultAfterTheCutOverIsRolledBack) {
  reporting_service service;
  order_judge judge(MakeOrder(), kShare, At(milliseconds(0)));
  const auto after = RunUntilRuling(service, judge, milliseconds(0), seconds(16), 0);
  judge.OnCutOver(At(after));
  service.open_calls = 0;
  service.knows_cut_over = true;
  const auto found = RunUntilRuling(service, judge, after + kStep, seconds(16), 2);
  EXPECT_LT(found, after + milliseconds(1'200));
  EXPECT_EQ(judge.Decide(service.Census(), At(found)).decided, ruling::kRollBack);
}

// Guards against a judge that ends halfway: the next one gets the counts with the first report, and
// the age of the order with them.
TEST(OrderJudge, JudgeThatBeginsLateRulesAlike) {
  reporting_service service;
  order_judge first(MakeOrder(), kShare, At(milliseconds(0)));
  RunUntilRuling(service, first, milliseconds(0), seconds(9), 0);
  order_judge second(MakeOrder(), kShare, At(seconds(9)));
  const auto after = RunUntilRuling(service, second, seconds(9), seconds(16), 0);
  EXPECT_LT(after, seconds(11));
  EXPECT_EQ(second.Decide(service.Census(), At(after)).decided, ruling::kCutOver);
  EXPECT_EQ(second.Age(At(after)), after);
}

// Guards against two judges with the same reports that contradict each other.
TEST(OrderJudge, TwoJudgesRuleAlike) {
  reporting_service service;
  order_judge first(MakeOrder(), kShare, At(milliseconds(0)));
  order_judge second(MakeOrder(), kShare, At(milliseconds(40)));
  for (milliseconds after{0}; after < seconds(16); after += kStep) {
    service.Answer(after < seconds(5) ? 0 : 2);
    service.ReportTo(first, after);
    service.ReportTo(second, after);
    EXPECT_EQ(first.Decide(service.Census(), At(after)).decided,
              second.Decide(service.Census(), At(after)).decided);
  }
}

// Guards against a judge that is cut off from the others and rules by the lack of reports.
TEST(OrderJudge, JudgeWithoutReportsWaits) {
  reporting_service service;
  order_judge judge(MakeOrder(), kShare, At(milliseconds(0)));
  for (milliseconds after{0}; after < seconds(20); after += kStep) {
    EXPECT_EQ(judge.Decide(service.Census(), At(after)).decided, ruling::kWait);
  }
}

// Guards against an order without an end because no upstream of the version ever starts.
TEST(OrderJudge, VersionThatNeverAppearsIsRolledBackBeforeTheLimit) {
  reporting_service service;
  service.has_target = false;
  order_judge judge(MakeOrder(), kShare, At(milliseconds(0)));
  const auto after = RunUntilRuling(service, judge, milliseconds(0), seconds(16), 0);
  EXPECT_LT(after, seconds(15));
  const decision decided = judge.Decide(service.Census(), At(after));
  EXPECT_EQ(decided.decided, ruling::kRollBack);
  EXPECT_EQ(decided.reason, "no upstream of the version");
}

// Guards against a trial of the version that every upstream already has.
TEST(OrderJudge, OrderForTheRunningVersionIsDone) {
  order_judge judge(MakeOrder(), kShare, At(milliseconds(0)));
  for (const char* node : {"a", "b"})
    judge.OnReport({node, "v2", {}, milliseconds(0), 0, false}, At(milliseconds(0)));
  EXPECT_EQ(judge.Decide({2, 0, 16, 0}, At(milliseconds(0))).decided, ruling::kDone);
}

// Guards against `done` for a version that is still tried because the others have crashed.
TEST(OrderJudge, CrashOfTheOthersIsNoReasonForDone) {
  reporting_service service;
  order_judge judge(MakeOrder(), kShare, At(milliseconds(0)));
  service.Answer(0);
  service.ReportTo(judge, milliseconds(0));
  EXPECT_EQ(judge.Decide({kUpstreams, 0, 32, 0}, At(milliseconds(1))).decided, ruling::kWait);
}

// Guards against a cut-over to fewer upstreams than the traffic needs.
TEST(OrderJudge, CutOverWaitsForTheCapacityOfTheVersion) {
  reporting_service service;
  order_judge judge(MakeOrder(), kShare, At(milliseconds(0)));
  const auto after = RunUntilRuling(service, judge, milliseconds(0), seconds(16), 0);
  upstream_census census = service.Census();
  census.target_slots /= 2;
  EXPECT_EQ(judge.Decide(census, At(after)).decided, ruling::kWait);
}

}  // namespace
}  // namespace siskinrack::rollout
