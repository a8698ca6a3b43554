#include "siskinrack/admission/controller.h"

namespace siskinrack::admission {

controller::controller(upstream_limits limits, std::span<const config::rank_policy> /*ranks*/)
    : limits_(limits), shed_limit_(limits.slots) {}

void controller::Configure(upstream_limits limits, std::span<const config::rank_policy> /*ranks*/) {
  limits_ = limits;
}

void controller::StartRamp(time_point now) { ramp_start_ = now; }

decisions controller::Offer(const arrival& call, time_point now) {
  running_.emplace(call.ticket, running_call{0, now});
  return {{.ticket = call.ticket, .run = true}};
}

decisions controller::Finish(std::uint64_t ticket, call_result /*result*/, time_point /*now*/,
                             nanoseconds /*retry_after*/) {
  running_.erase(ticket);
  return {};
}

bool controller::Withdraw(std::uint64_t /*ticket*/) { return false; }

decisions controller::Advance(time_point /*now*/) { return {}; }

upstream_load controller::Load(time_point /*now*/) const {
  return {running_.size(), 0, limits_.slots};
}

}  // namespace siskinrack::admission
