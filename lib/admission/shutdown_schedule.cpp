#include "siskinrack/admission/shutdown_schedule.h"

#include <algorithm>

namespace siskinrack::admission {
namespace {

using std::chrono::milliseconds;

/// Requests are broken off at the end of the grace period divided by this number at the earliest.
constexpr int kBreakOffDivisor = 6;
/// Time for the answer of another node to arrive after the deadline that it was given, and time
/// between the recall and the exit, which has to cover a round trip between failure domains and the
/// answer to the caller.
constexpr milliseconds kAnswerMargin{150};
constexpr milliseconds kRecallMargin{300};
/// The margins are at most this fraction of the last sixth of the grace period. About half of it is
/// left for the exit, also if that sixth is short.
constexpr double kAnswerMarginFraction = 0.15;
constexpr double kRecallMarginFraction = 0.3;
/// Other nodes have to choose other upstreams after this fraction of the drain period, so that
/// their calls end early in the grace period. The rest of the drain period is theirs to learn of
/// it.
constexpr int kPeerServingDivisor = 2;
/// Callers that were told of another node may have a request on its way, for this fraction of the
/// time between two checks of the platform.
constexpr double kSwitchFraction = 0.3;
/// Number of checks after which the platform sends callers elsewhere.
constexpr double kChecksToNotice = 2;

milliseconds Scale(milliseconds time, double fraction) {
  return std::chrono::duration_cast<milliseconds>(time * fraction);
}

}  // namespace

shutdown_schedule::shutdown_schedule(time_point start, milliseconds grace, milliseconds drain,
                                     std::optional<milliseconds> check_interval)
    : middle_(start + grace / 2) {
  const milliseconds last = grace / kBreakOffDivisor;
  last_deadline_ = start + grace - last;
  recall_ = last_deadline_ + std::min(kAnswerMargin, Scale(last, kAnswerMarginFraction));
  exit_ = recall_ + std::min(kRecallMargin, Scale(last, kRecallMarginFraction));
  peer_refusal_ = std::min(start + drain / kPeerServingDivisor, recall_);
  caller_refusal_ = recall_;
  expected_refusal_ =
      check_interval ? start + Scale(*check_interval, kChecksToNotice + kSwitchFraction) : recall_;
}

void shutdown_schedule::OnNotReady(time_point now) {
  if (!first_not_ready_) {
    first_not_ready_ = now;
    return;
  }
  const time_point switched = now + std::chrono::duration_cast<time_point::duration>(
                                        (now - *first_not_ready_) * kSwitchFraction);
  caller_refusal_ = std::min(caller_refusal_, switched);
}

bool shutdown_schedule::Accepts(time_point now, milliseconds target_latency,
                                milliseconds limit) const {
  if (now >= caller_refusal_) return false;
  if (now + limit <= last_deadline_) return true;
  return now < middle_ && now + target_latency <= recall_;
}

time_point shutdown_schedule::LimitDeadline(time_point deadline) const {
  return std::min(deadline, last_deadline_);
}

}  // namespace siskinrack::admission
