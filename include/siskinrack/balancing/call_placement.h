#ifndef SISKINRACK_BALANCING_CALL_PLACEMENT_H_
#define SISKINRACK_BALANCING_CALL_PLACEMENT_H_

#include <cstddef>
#include <cstdint>

#include "siskinrack/balancing/call_profile.h"
#include "siskinrack/balancing/selection.h"

namespace siskinrack::balancing {

/// Describes a call for which an entry node selects an endpoint.
struct placed_call {
  /// Remaining time in which an answer has its full worth.
  nanoseconds in_time{0};
  /// Target latency of the route.
  nanoseconds target{0};
  /// Number of serving nodes that refused the call because they had no capacity.
  std::uint32_t refusals = 0;
};

/// Returns the criteria for selecting the endpoint of a call.
completion_goal MakeCompletionGoal(const placed_call& call, const call_profile& profile);

/// Returns true if another endpoint may be tried after this many serving nodes had no capacity.
/// Answers the load pattern of calls that wait at one upstream while others are idle: each attempt
/// finds the current load of one upstream, which reports can't tell.
[[nodiscard]] bool MayTryAnother(std::uint32_t refusals);

/// Returns true if the serving node may refuse the call because it would have to wait there.
/// `in_time_candidates` is the number of endpoints that are expected to answer in time.
[[nodiscard]] bool MayRedirect(std::uint32_t refusals, std::size_t in_time_candidates);

/// Returns true if a call should go to another failure domain after an endpoint of its own domain
/// has refused it because it would have to wait there for `wait`: if it would be late there, or if
/// going elsewhere saves enough. Answers the load pattern of a domain with a single upstream of the
/// service: each short wait there would send a call, with its bytes, to another domain.
[[nodiscard]] bool IsWorthCrossing(nanoseconds wait, const completion_goal& goal);

}  // namespace siskinrack::balancing

#endif  // SISKINRACK_BALANCING_CALL_PLACEMENT_H_
