#include "siskinrack/rollout/local_guard.h"

#include <algorithm>
#include <cmath>

namespace siskinrack::rollout {
namespace {

/// Failure rates of an upstream that is good enough and of one that is not.
constexpr double kGoodRate = 0.05;
constexpr double kBadRate = 0.3;
/// Likelihood ratio of e^12, as for the judgement over all nodes; about 7 failures in a row.
constexpr double kAlarm = 12;

}  // namespace

void local_guard::Record(bool failed) {
  ++answers_;
  failures_ += failed ? 1 : 0;
  const double ratio =
      failed ? std::log(kBadRate / kGoodRate) : std::log((1 - kBadRate) / (1 - kGoodRate));
  against_ = std::max(0.0, against_ + ratio);
  tripped_ = tripped_ || against_ >= kAlarm;
}

}  // namespace siskinrack::rollout
