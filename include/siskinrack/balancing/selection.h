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

}  // namespace siskinrack::balancing

#endif  // SISKINRACK_BALANCING_SELECTION_H_
