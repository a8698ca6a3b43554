#include "siskinrack/balancing/call_placement.h"

namespace siskinrack::balancing {
namespace {

/// Number of serving nodes without capacity that one request tries: the best three by prediction.
/// More would add load during an overload without finding a free slot.
constexpr std::uint32_t kMaxRefusals = 3;
/// Fraction of the remaining time within which an answer must be predicted to count as in time,
/// because service times vary.
constexpr double kInTimeFraction = 0.8;
/// Waiting time that another domain must save for a call that would be in time at home, as a
/// fraction of the target latency. Less would send calls, with their bytes, to other domains
/// whenever the queues differ a little.
constexpr double kRedirectGainFraction = 1.0 / 3;

double Ms(nanoseconds time) { return std::chrono::duration<double, std::milli>(time).count(); }

}  // namespace

completion_goal MakeCompletionGoal(const placed_call& call, const call_profile& profile) {
  const double target_ms = Ms(call.target);
  return {.in_time_ms = Ms(call.in_time) * kInTimeFraction,
          .min_remote_gain_ms = target_ms,
          .use_ejected = call.refusals == 0,
          .expected_service = profile.service(),
          .refusal_cost_ms = target_ms,
          .kilobytes = profile.kilobytes(),
          .redirect_gain_ms = target_ms * kRedirectGainFraction};
}

bool MayTryAnother(std::uint32_t refusals) { return refusals < kMaxRefusals; }

bool MayRedirect(std::uint32_t refusals, std::size_t in_time_candidates) {
  return in_time_candidates > 1 && MayTryAnother(refusals + 1);
}

bool IsWorthCrossing(nanoseconds wait, const completion_goal& goal) {
  const double answered_ms = Ms(wait) + Ms(goal.expected_service);
  if (answered_ms > goal.in_time_ms) return true;
  return Ms(wait) > goal.redirect_gain_ms + ComputeCrossingMs(goal);
}

}  // namespace siskinrack::balancing
