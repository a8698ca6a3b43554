#ifndef SISKINRACK_LIB_CONTROL_PLAN_STORE_H_
#define SISKINRACK_LIB_CONTROL_PLAN_STORE_H_

#include "command.h"
#include "session.h"
#include "siskinrack/config/plan.h"

namespace siskinrack::control {

/// The head and the object version to write it against.
struct head_state {
  std::uint64_t object_version = platform::kMustNotExist;
  config::mesh_config config;
};

/// How a plan came into force.
struct acceptance {
  /// The head: the plan's result or a later version.
  config::mesh_config head;
  /// True if it was accepted before this command.
  bool earlier = false;
};

leaf::result<head_state> ReadHead(session& platform);

/// Reads a stored plan; a missing or altered one is bad input.
leaf::result<config::plan> ReadPlan(session& platform, const std::string& plan_id);

/// Stores a plan under its id. The id is derived from the content, so a plan of this id that exists
/// already is this one, unless it was altered.
leaf::result<void> StorePlan(session& platform, const config::plan& item);

/// Makes the plan's result the head by one conditional update. Safe to repeat: a plan that was
/// accepted before is reported as accepted.
leaf::result<acceptance> AcceptPlan(session& platform, const config::plan& item);

}  // namespace siskinrack::control

#endif  // SISKINRACK_LIB_CONTROL_PLAN_STORE_H_
