#ifndef SISKINRACK_BALANCING_SELECTION_H_
#define SISKINRACK_BALANCING_SELECTION_H_

#include <cstddef>
#include <limits>
#include <memory>
#include <optional>
#include <span>

#include "siskinrack/balancing/endpoint_state.h"

namespace siskinrack::balancing {

/// Typical one-way delay between failure domains of a region.
inline constexpr double kCrossDomainDelayMs = 4;

/// Represents an endpoint that may receive a call.
struct candidate {
  std::shared_ptr<endpoint_state> state;
  /// True if the endpoint is in the failure domain of the selecting node.
  bool same_domain = false;
};

/// Waiting time that one kilobyte sent between failure domains is worth. Traffic between domains is
/// expensive: a large body crosses only if the wait in the own domain would be very long.
inline constexpr double kCrossDomainMsPerKilobyte = 10;

/// Bodies from this size on wait for the network link of the serving node; smaller ones are sent
/// ahead of them.
inline constexpr double kLargeBodyKilobytes = 16;

/// Criteria for selecting an endpoint by expected completion time.
struct completion_goal {
  /// Remaining time in which an answer has its full worth.
  double in_time_ms = 0;
  /// If no endpoint would answer in time, one in another failure domain is selected only if it
  /// saves more than this time. Traffic between domains is expensive.
  double min_remote_gain_ms = 0;
  /// True if an ejected endpoint may be selected when no other one is available.
  bool use_ejected = true;
  /// Expected service time of the call at an average upstream; zero if unknown.
  nanoseconds expected_service{0};
  /// Waiting time that a refusal by the upstream is worth: the caller has to come back, or the
  /// work of the upstream that made the call is lost. Answers the load pattern of upstreams that
  /// refuse a part of their calls at once and therefore look faster than the others.
  double refusal_cost_ms = 0;
  /// Expected size of the request and its answer, in kilobytes.
  double kilobytes = 0;
  /// Waiting time that another failure domain has to save for a call that its own domain refused
  /// because it would have to wait, although it would be in time there.
  double redirect_gain_ms = 0;
};

/// Returns the waiting time that an answer from another failure domain is worth, in milliseconds.
double ComputeCrossingMs(const completion_goal& goal);

/// Result of an endpoint selection.
struct selection {
  /// Index of the selected candidate; empty if every candidate is paused or excluded.
  std::optional<std::size_t> index;
  /// Time until the first pause ends if no candidate was selected; zero if none is paused.
  nanoseconds retry_after{0};
  /// Number of available candidates that are expected to answer in time (ChooseByCompletion only).
  std::size_t in_time_candidates = 0;
};

/// Selects an endpoint by power of two choices. An endpoint that is due for a probe comes first;
/// then the cheaper of two random endpoints in the own failure domain, unless the cheaper of two
/// random endpoints in other domains costs less by more than the cross-domain delay; then an
/// ejected endpoint. A paused endpoint is never selected. `random` must be uniform over all values.
/// The candidate `exclude` is selected only if it is the sole one.
selection Choose(std::span<const candidate> candidates, time_point now, std::uint64_t random,
                 std::optional<std::size_t> exclude = std::nullopt);

/// Selects the endpoint with the earliest expected answer. Endpoints in the own failure domain take
/// precedence; one in another domain is selected if only it is expected to answer in time, or if
/// none is and it saves more than `min_remote_gain_ms`; the expected bytes count as additional time
/// there. An endpoint that is due for a probe comes first, an ejected one last; a paused one is
/// never selected. `random` must be uniform over all values; it varies the choice between endpoints
/// with similar expectations.
selection ChooseByCompletion(std::span<const candidate> candidates, const completion_goal& goal,
                             time_point now, std::uint64_t random);

}  // namespace siskinrack::balancing

#endif  // SISKINRACK_BALANCING_SELECTION_H_
