#ifndef SISKINRACK_LIB_CONTROL_PLAN_STORE_H_
#define SISKINRACK_LIB_CONTROL_PLAN_STORE_H_

#include "command.h"
#include "control_client.h"
#include "siskinrack/config/plan.h"

namespace siskinrack::control {

/// Holds the head, which is the newest accepted configuration, and the version of its object, which
/// a conditional update of the head expects.
struct head_state {
  std::uint64_t object_version = platform::kMustNotExist;
  config::mesh_config config;
};

/// Reports how a plan was accepted.
struct plan_acceptance {
  /// Current head: the plan's result or a later version.
  config::mesh_config head;
  /// True if the plan was accepted before this command ran. Also true if the response to this
  /// command's write was lost and another version has replaced the plan's result since.
  bool accepted_before = false;
};

/// Reads the head. Returns a default-constructed state if no version was accepted yet, and an error
/// with exit code kExitFailed if the head is malformed.
leaf::result<head_state> ReadHead(control_client& client);

/// Reads a stored plan. A missing or altered plan is an error for invalid input.
leaf::result<config::plan> ReadPlan(control_client& client, const std::string& plan_id);

/// Stores a plan under its id. The id is derived from the content, so an existing plan with this id
/// is the same plan unless it was altered, which is an error for invalid input. Retries like
/// control_client::FindObject.
leaf::result<void> StorePlan(control_client& client, const config::plan& plan);

/// Makes the plan's result the head with a conditional update, retried until the command's
/// deadline. Idempotent: a plan that was accepted before is reported as accepted. Returns an error
/// with exit code kExitConflict if the head isn't the plan's base and the plan was never accepted,
/// and with kExitOutcomeUnknown if the plan may have been accepted.
leaf::result<plan_acceptance> AcceptPlan(control_client& client, const config::plan& plan);

}  // namespace siskinrack::control

#endif  // SISKINRACK_LIB_CONTROL_PLAN_STORE_H_
