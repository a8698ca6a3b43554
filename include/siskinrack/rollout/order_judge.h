#ifndef SISKINRACK_ROLLOUT_ORDER_JUDGE_H_
#define SISKINRACK_ROLLOUT_ORDER_JUDGE_H_

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <string>

#include "siskinrack/rollout/judgement.h"
#include "siskinrack/rollout/order.h"

namespace siskinrack::rollout {

/// Report of the node beside one upstream. Counts are cumulative since the node knew the order, so
/// that a lost report costs nothing.
struct upstream_report {
  std::string node_id;
  std::string software_version;
  counts_by_route counts;
  /// Time for which the node has known the order.
  std::chrono::milliseconds known_for{0};
  /// Calls that the node has not yet answered.
  std::uint32_t open_calls = 0;
  /// True if the node knows that the traffic moves to the target version.
  bool knows_cut_over = false;
};

/// Upstreams of the service as recorded in the store.
struct upstream_census {
  /// Number of upstreams of the target version that accept calls.
  std::size_t target = 0;
  /// Number of other upstreams that accept calls.
  std::size_t others = 0;
  std::uint64_t target_slots = 0;
  std::uint64_t other_slots = 0;
};

/// What a judge does about an order.
enum class ruling {
  kWait,
  /// Move the traffic to the target version and empty the others.
  kCutOver,
  /// Record that the order is done.
  kDone,
  /// Send nothing to the target version and record that the order is rolled back.
  kRollBack,
};

/// Returns the name of a ruling in snake_case.
std::string_view ToText(ruling decided);

/// A ruling with its reason.
struct decision {
  ruling decided = ruling::kWait;
  std::string_view reason;
  /// The evidence, if that is the reason.
  std::optional<evidence> fault;
};

/// Judges one running order from the reports of the nodes. Deterministic: time is an argument.
/// Every node that receives reports may judge; two judges with the same reports rule alike, and a
/// judge that receives its first report late gets the whole counts with it. Not thread-safe.
class order_judge {
 public:
  /// `share` is the share of requests that the target version receives during the trial.
  order_judge(order judged, double share, time_point known_since)
      : order_(std::move(judged)), share_(share), known_since_(known_since) {}

  void OnReport(const upstream_report& report, time_point now);
  /// Records that the cut-over was announced, by this or another judge.
  void OnCutOver(time_point now) {
    if (!cut_over_at_) cut_over_at_ = now;
  }

  [[nodiscard]] decision Decide(const upstream_census& census, time_point now);
  /// Returns the time since the order, as known here or at any reporting node.
  [[nodiscard]] std::chrono::milliseconds Age(time_point now) const;
  [[nodiscard]] const order& judged() const { return order_; }

 private:
  /// Last report of the node beside one upstream.
  struct reporter {
    counts_by_route counts;
    time_point reported_at;
    std::uint32_t open_calls = 0;
    bool knows_cut_over = false;
  };
  using reporter_key = std::pair<std::string, std::string>;

  [[nodiscard]] decision DecideTrial(const upstream_census& census, time_point now) const;
  [[nodiscard]] decision DecideCutOver(const upstream_census& census, time_point now) const;
  /// Returns true if at least half of the upstreams have reported lately. A judge that is cut off
  /// from the others must not decide by the lack of evidence.
  [[nodiscard]] bool HearsMostNodes(const upstream_census& census, time_point now) const;
  /// Returns true if every other upstream that has reported lately holds no calls.
  [[nodiscard]] bool AreOthersIdle(const upstream_census& census, time_point now) const;

  order order_;
  double share_;
  time_point known_since_;
  /// Difference between the age of the order at the node that knew it first and here.
  std::chrono::milliseconds earlier_{0};
  judgement judgement_;
  std::map<reporter_key, reporter> reporters_;
  std::optional<time_point> cut_over_at_;
};

}  // namespace siskinrack::rollout

#endif  // SISKINRACK_ROLLOUT_ORDER_JUDGE_H_
