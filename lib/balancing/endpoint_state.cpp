#include "siskinrack/balancing/endpoint_state.h"

namespace siskinrack::balancing {

endpoint_state::view endpoint_state::View(time_point /*now*/) const { return {}; }

void endpoint_state::Start(time_point /*now*/) { ++in_flight_; }

void endpoint_state::Finish(const call_report& /*report*/, time_point /*now*/) { --in_flight_; }

}  // namespace siskinrack::balancing
