#include "siskinrack/routing/retry_delay.h"

#include <algorithm>
#include <cmath>

namespace siskinrack::routing {
namespace {

using std::chrono::milliseconds;

/// Shortest delay; a new connection of the caller takes a few milliseconds.
constexpr milliseconds kMinDelay{20};
/// Longest delay as a fraction of the caller's remaining time. Callers honour a delay of up to a
/// third of it.
constexpr double kLongestFraction = 0.32;
/// Shortest delay of a request that will be late, as a fraction of the longest one. The difference
/// spreads the callers.
constexpr double kLateFraction = 0.6;
/// Largest part of the slack over which returns in time are spread. Leaves time for another return,
/// because callers come back up to twice.
constexpr double kSlackFraction = 1.0 / 3;

milliseconds Scale(milliseconds time, double factor) {
  return milliseconds(std::llround(static_cast<double>(time.count()) * factor));
}

}  // namespace

milliseconds ComputeRetryDelay(const refused_request& request, double random) {
  const milliseconds longest = Scale(request.left, kLongestFraction);
  if (request.room_in && *request.room_in < request.latest_start) {
    const milliseconds slack = request.latest_start - *request.room_in;
    const milliseconds in_time = *request.room_in + Scale(slack, kSlackFraction * random);
    if (in_time < longest) return std::max(kMinDelay, in_time);
  }
  // The answer will be late, so that nothing is gained by an early return.
  const milliseconds earliest = std::min(
      longest, std::max(request.room_in.value_or(milliseconds(0)), Scale(longest, kLateFraction)));
  return std::max(kMinDelay, earliest + Scale(longest - earliest, random));
}

}  // namespace siskinrack::routing
