#include "siskinrack/admission/shutdown_schedule.h"

#include <algorithm>

namespace siskinrack::admission {
namespace {

using std::chrono::milliseconds;

/// Time until callers use other nodes: the platform checks readiness once a second and removes a
/// node after two failed checks.
constexpr milliseconds kCallerSwitchTime{2'300};
/// Time in which calls of other nodes are served; after it, other nodes have to choose other
/// upstreams.
constexpr milliseconds kPeerServingTime{1'000};
/// Largest time between the exit and the end of the grace period, and between the recall and the
/// exit. The latter has to cover a round trip between failure domains and the answer to the caller.
constexpr milliseconds kExitMargin{600};
constexpr milliseconds kRecallMargin{300};
/// The margins are at most the grace period divided by these numbers. Together they stay within its
/// last sixth, in which the platform accepts that a running request is broken off.
constexpr int kExitMarginDivisor = 10;
constexpr int kRecallMarginDivisor = 20;
/// Time for the answer of another node to arrive after the deadline that it was given.
constexpr milliseconds kAnswerMargin{150};

}  // namespace

shutdown_schedule::shutdown_schedule(time_point start, milliseconds grace)
    : exit_(start + grace - std::min(kExitMargin, grace / kExitMarginDivisor)) {
  recall_ = exit_ - std::min(kRecallMargin, grace / kRecallMarginDivisor);
  peer_refusal_ = std::min(start + kPeerServingTime, recall_);
  caller_refusal_ = std::min(start + kCallerSwitchTime, recall_);
}

time_point shutdown_schedule::LimitDeadline(time_point deadline) const {
  return std::min(deadline, recall_ - kAnswerMargin);
}

}  // namespace siskinrack::admission
