#ifndef SISKINRACK_BALANCING_SELECTION_H_
#define SISKINRACK_BALANCING_SELECTION_H_

#include <memory>
#include <optional>
#include <span>

#include "siskinrack/balancing/endpoint_state.h"

namespace siskinrack::balancing {

/// One-way delay between failure domains of a region; both current workloads have about 4 ms.
inline constexpr double kCrossDomainDelayMs = 4;

struct candidate {
  std::shared_ptr<endpoint_state> state;
  /// In the failure domain of the node that chooses.
  bool same_domain = false;
};

/// Where a call goes if its answer is wanted within a time.
struct completion_goal {
  /// Time left in which an answer has its full worth.
  double in_time_ms = 0;
  /// Least gain that justifies a call to another failure domain when no answer would be in time:
  /// traffic between domains is dear.
  double remote_gain_ms = 0;
  /// Whether endpoints that failed a short time ago are better than none.
  bool use_ejected = true;
};

struct selection {
  /// Index of the chosen candidate; nothing if all of them have asked for a pause.
  std::optional<std::size_t> index;
  /// Time until the first pause ends, if nothing was chosen.
  nanoseconds retry_after{0};
};

/// Chooses an endpoint: an endpoint that is due for a trial, else the cheaper of two random ones of
/// the own failure domain, unless the cheaper of two random ones of other domains is cheaper by
/// more than the cross-domain delay. `random` is uniform over all values. The candidate `exclude`
/// is taken only if it is the sole one.
selection Choose(std::span<const candidate> candidates, time_point now, std::uint64_t random,
                 std::optional<std::size_t> exclude = std::nullopt);

/// Chooses the endpoint whose answer is expected first, among those of the own failure domain as
/// long as the answer is expected in time there. Endpoints of other domains get the call if only
/// they are in time, or if they gain much. An endpoint that is due for a trial gets it first.
selection ChooseByCompletion(std::span<const candidate> candidates, const completion_goal& goal,
                             time_point now, std::uint64_t random);

}  // namespace siskinrack::balancing

#endif  // SISKINRACK_BALANCING_SELECTION_H_
