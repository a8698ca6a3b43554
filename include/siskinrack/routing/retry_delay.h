#ifndef SISKINRACK_ROUTING_RETRY_DELAY_H_
#define SISKINRACK_ROUTING_RETRY_DELAY_H_

#include <chrono>
#include <optional>

namespace siskinrack::routing {

/// Describes a refused request for the choice of its retry delay.
struct refused_request {
  /// Time until the caller times out.
  std::chrono::milliseconds left{0};
  /// Latest start from now at which the request is expected to be answered in time; negative if an
  /// answer can't be in time any more.
  std::chrono::milliseconds latest_start{0};
  /// Time until an upstream is expected to have room for the request: zero if the refusal does not
  /// depend on the load, std::nullopt if it is unknown.
  std::optional<std::chrono::milliseconds> room_in;
};

/// Returns the time after which the caller of a refused request should come back. `random` is
/// uniform in [0, 1] and spreads the callers that were refused at the same time.
///
/// Load patterns:
/// - Upstreams refuse a part of their calls at once, whatever their load: callers come back while
///   an answer can still be in time. A long delay would make every one of these answers late.
/// - All upstreams are busy for longer than the request can wait: callers come back after most of
///   the time for which they honour a delay, so that the overload can subside and two more attempts
///   fit in. An early return would meet the same queues and end refused again.
/// - Room is expected before an answer becomes late: callers come back after that time, spread over
///   a part of the slack that remains.
std::chrono::milliseconds ComputeRetryDelay(const refused_request& request, double random);

}  // namespace siskinrack::routing

#endif  // SISKINRACK_ROUTING_RETRY_DELAY_H_
