#ifndef SISKINRACK_BALANCING_SELECTION_H_
#define SISKINRACK_BALANCING_SELECTION_H_

#include <memory>
#include <optional>
#include <span>

#include "siskinrack/balancing/endpoint_state.h"

namespace siskinrack::balancing {

/// One-way delay between failure domains of a region; about 4 ms in both known workloads.
inline constexpr double kCrossDomainDelayMs = 4;

/// Represents an endpoint that may receive a call.
struct candidate {
  std::shared_ptr<endpoint_state> state;
  /// True if the endpoint is in the failure domain of the selecting node.
  bool same_domain = false;
};

/// Criteria for selecting an endpoint by expected completion time.
struct completion_goal {
  /// Remaining time in which an answer has its full worth.
  double in_time_ms = 0;
  /// If no endpoint would answer in time: minimum time that an endpoint in another failure domain
  /// must save to be selected. Traffic between domains is expensive.
  double min_remote_gain_ms = 0;
  /// True if an ejected endpoint may be selected when no other one is available.
  bool use_ejected = true;
};

/// Result of an endpoint selection.
struct selection {
  /// Index of the selected candidate; empty if there is none or all of them are paused.
  std::optional<std::size_t> index;
  /// Time until the first pause ends if no candidate was selected; zero if none is paused.
  nanoseconds retry_after{0};
};

/// Selects an endpoint by power of two choices. An endpoint that is due for a probe comes first;
/// then the cheaper of two random endpoints in the own failure domain, unless the cheaper of two
/// random endpoints in other domains costs less by more than the cross-domain delay. `random` must
/// be uniform over all values. The candidate `exclude` is selected only if it is the sole one.
selection Choose(std::span<const candidate> candidates, time_point now, std::uint64_t random,
                 std::optional<std::size_t> exclude = std::nullopt);

/// Selects the endpoint with the earliest expected answer. Endpoints in the own failure domain take
/// precedence; one in another domain is selected if only it is expected to answer in time, or if
/// none is and it saves at least `min_remote_gain_ms`. An endpoint that is due for a probe comes
/// first.
selection ChooseByCompletion(std::span<const candidate> candidates, const completion_goal& goal,
                             time_point now, std::uint64_t random);

}  // namespace siskinrack::balancing

#endif  // SISKINRACK_BALANCING_SELECTION_H_
