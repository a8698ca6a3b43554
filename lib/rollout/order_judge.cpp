#include "siskinrack/rollout/order_judge.h"

#include <algorithm>

namespace siskinrack::rollout {
namespace {

using std::chrono::milliseconds;

/// Earliest cut-over as a fraction of the order's duration. A version may turn bad late; after the
/// cut-over it receives everything, so the share of the whole order that is left at this time has
/// to last until the fault is found: 0.1 - 0.6 * 0.08 of the duration, 0.8 s of 16 s.
constexpr double kMinTrialFraction = 0.6;
/// Time before the limit that emptying the other upstreams and recording the result may take: the
/// longest calls, and a store that is slow or loses an answer.
constexpr milliseconds kEndMargin{3'000};
/// Largest part of an order that the margin takes.
constexpr double kMaxEndFraction = 0.25;
/// Time at full load before an order is done. A fault under load shows in less, and the others are
/// still there.
constexpr milliseconds kMinFullLoad{1'200};
/// Longest time in which the others are emptied: the usual timeout of a route and one interval of
/// reports.
constexpr milliseconds kMaxEmptying{2'500};
/// Reports that are older than a few intervals say nothing about open calls.
constexpr milliseconds kReportValidity{1'500};
/// Slots of the target version relative to the others at which it can take the traffic.
constexpr double kMinCapacity = 0.8;

}  // namespace

std::string_view ToText(ruling decided) {
  switch (decided) {
    case ruling::kCutOver:
      return "cut_over";
    case ruling::kDone:
      return "done";
    case ruling::kRollBack:
      return "roll_back";
    default:
      return "wait";
  }
}

void order_judge::OnReport(const upstream_report& report, time_point now) {
  earlier_ = std::max(
      earlier_, report.known_for - std::chrono::duration_cast<milliseconds>(now - known_since_));
  reporter& last = reporters_[{report.node_id, report.software_version}];
  for (const auto& [route, counts] : report.counts) {
    const route_counts added = Subtract(counts, last.counts[route]);
    if (report.software_version == order_.target_version) {
      judgement_.AddTrial(report.node_id, route, added, now);
    } else {
      judgement_.AddOther(route, added, now);
    }
  }
  last = {report.counts, now, report.open_calls, report.knows_cut_over};
}

milliseconds order_judge::Age(time_point now) const {
  return std::chrono::duration_cast<milliseconds>(now - known_since_) + earlier_;
}

decision order_judge::Decide(const upstream_census& census, time_point now) {
  judgement_.SetTrialUpstreams(census.target);
  judgement_.Advance(now, /*others_serve=*/!cut_over_at_);
  if (const auto fault = judgement_.FindFault()) {
    return {ruling::kRollBack, "evidence against the version", fault};
  }
  const bool others_known =
      census.others > 0 ||
      std::any_of(reporters_.begin(), reporters_.end(), [this](const auto& entry) {
        return entry.first.second != order_.target_version;
      });
  if (census.target > 0 && !others_known && !cut_over_at_ && HearsMostNodes(census, now)) {
    return {ruling::kDone, "every upstream has the version", std::nullopt};
  }
  return cut_over_at_ ? DecideCutOver(census, now) : DecideTrial(census, now);
}

decision order_judge::DecideTrial(const upstream_census& census, time_point now) const {
  const milliseconds age = Age(now);
  const auto margin = std::min(
      kEndMargin, std::chrono::duration_cast<milliseconds>(order_.duration * kMaxEndFraction));
  if (!HearsMostNodes(census, now)) return {ruling::kWait, "too few reports", std::nullopt};
  if (age >= order_.duration - margin / 2) {
    return {
        ruling::kRollBack,
        census.target == 0 ? "no upstream of the version" : "not enough evidence for the version",
        std::nullopt};
  }
  if (age < order_.duration * kMinTrialFraction) return {ruling::kWait, "trial", std::nullopt};
  if (!judgement_.IsAccepted(share_)) return {ruling::kWait, "too little evidence", std::nullopt};
  if (static_cast<double>(census.target_slots) <
      kMinCapacity * static_cast<double>(census.other_slots)) {
    return {ruling::kWait, "too few upstreams of the version", std::nullopt};
  }
  return {ruling::kCutOver, "evidence for the version", std::nullopt};
}

decision order_judge::DecideCutOver(const upstream_census& census, time_point now) const {
  const auto since = now - *cut_over_at_;
  if (since < kMinFullLoad) return {ruling::kWait, "full load", std::nullopt};
  if (!judgement_.IsAccepted(share_)) {
    if (Age(now) < order_.duration) return {ruling::kWait, "too little evidence", std::nullopt};
    return {ruling::kRollBack, "doubts after the cut-over", std::nullopt};
  }
  if (!HearsMostNodes(census, now)) return {ruling::kWait, "too few reports", std::nullopt};
  if (since < kMaxEmptying && !AreOthersIdle(census, now)) {
    return {ruling::kWait, "other upstreams hold calls", std::nullopt};
  }
  return {ruling::kDone, "evidence for the version", std::nullopt};
}

bool order_judge::HearsMostNodes(const upstream_census& census, time_point now) const {
  const auto heard = std::count_if(reporters_.begin(), reporters_.end(), [&](const auto& entry) {
    return now - entry.second.reported_at < kReportValidity;
  });
  return 2 * static_cast<std::size_t>(heard) >= census.target + census.others;
}

bool order_judge::AreOthersIdle(const upstream_census& census, time_point now) const {
  std::size_t idle = 0;
  for (const auto& [key, last] : reporters_) {
    if (key.second == order_.target_version) continue;
    if (now - last.reported_at >= kReportValidity) continue;
    if (last.open_calls > 0 || !last.knows_cut_over) return false;
    ++idle;
  }
  return idle >= census.others;
}

}  // namespace siskinrack::rollout
