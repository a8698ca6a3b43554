#ifndef SISKINRACK_UNITTESTS_PLACEMENT_LOAD_REPLAY_H_
#define SISKINRACK_UNITTESTS_PLACEMENT_LOAD_REPLAY_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "siskinrack/admission/deadline_controller.h"
#include "siskinrack/balancing/call_profile.h"
#include "siskinrack/balancing/selection.h"

namespace siskinrack::placement {

using balancing::nanoseconds;
using balancing::time_point;

/// Describes one kind of call in a replay. Times are in milliseconds.
struct call_kind {
  std::uint64_t work_class = 0;
  std::uint32_t priority = 0;
  /// Mean and logarithmic spread of the service time at an upstream of speed 1.
  double work_ms = 100;
  double spread = 0.8;
  /// Fraction of the calls that take `tail_factor` times as long.
  double tail = 0.03;
  double tail_factor = 7;
  double target_ms = 600;
  /// Timeout of the route, and the time for which the caller waits in all.
  double timeout_ms = 2'000;
  double caller_deadline_ms = 4'000;
  /// Number of times that a refused caller comes back.
  int caller_retries = 2;
  /// Share among the calls of the replay.
  double share = 1;
  /// Worth of an answer in time and of a late one.
  double worth = 1;
  double late_worth = 0.5;
};

/// Describes one upstream of a replay and the node beside it.
struct upstream_model {
  double speed = 1;
  std::size_t zone = 0;
  /// Time of trouble, in milliseconds: service times are multiplied by `slow_factor`, and the
  /// upstream refuses a part of its calls without running them.
  double trouble_from_ms = 0;
  double trouble_until_ms = 0;
  double slow_factor = 1;
  double shed_rate = 0;
};

/// Load and upstreams of a replay.
struct load_pattern {
  std::vector<call_kind> kinds;
  std::vector<upstream_model> upstreams;
  std::uint32_t slots = 12;
  /// Shares of the zones in the calls; equal shares for each node if empty.
  std::vector<double> zone_shares;
  /// Calls per second to all nodes at a time in milliseconds.
  std::function<double(double ms)> rate_at;
  double length_ms = 20'000;
  std::uint64_t seed = 1;
};

/// Counts of a replay.
struct replay_result {
  struct kind_result {
    std::size_t owed = 0;
    std::size_t in_time = 0;
    std::size_t late = 0;
    std::vector<double> latencies_ms;
    /// Returns the latency that this fraction of the answered calls doesn't exceed.
    [[nodiscard]] double Percentile(double fraction) const;
  };
  std::vector<kind_result> kinds;
  /// Sum of the worth of the answers as a fraction of the worth of all calls.
  double worth = 0;
  /// Calls that waited at a serving node while an upstream of their zone had a free slot.
  std::size_t waited_beside_idle = 0;
  /// Calls that waited for more than half of their target.
  std::size_t waited_over_half_target = 0;
  /// Callers that came back after a refusal and ended refused.
  std::size_t refused_again = 0;
  /// Refusals that callers received.
  std::size_t refusals = 0;
  std::size_t calls = 0;
  /// Calls that ran in another zone than their caller's.
  std::size_t crossings = 0;
  /// Calls that each upstream ran, and those of them that started during its time of trouble.
  std::vector<std::size_t> runs;
  std::vector<std::size_t> runs_in_trouble;
};

/// Plays a load pattern with simulated time against the placement and admission decisions of the
/// nodes. Deterministic for a seed.
replay_result Replay(const load_pattern& pattern);

}  // namespace siskinrack::placement

#endif  // SISKINRACK_UNITTESTS_PLACEMENT_LOAD_REPLAY_H_
