#ifndef SISKINRACK_CONFIG_PLAN_H_
#define SISKINRACK_CONFIG_PLAN_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "siskinrack/config/model.h"
#include "siskinrack/support/findings.h"

namespace siskinrack::config {

enum class change_action { kAdd, kChange, kRemove };

/// Represents the addition, change or removal of one resource.
struct resource_change {
  change_action action = change_action::kAdd;
  /// "service", "route" or "rank".
  std::string kind;
  std::string name;
  /// Human-readable fields of the resource; old and new ones for a change.
  std::string detail;

  bool operator==(const resource_change&) const = default;
};

/// Represents changes that take effect together. A node applies all steps of one version
/// atomically. A step depends only on steps with a lower order.
struct plan_step {
  std::uint32_t order = 0;
  /// Configuration version that includes this step.
  std::uint64_t version = 0;
  std::string title;
  std::vector<resource_change> changes;
};

/// Represents what the confirmation of an intent would do: the base version, the resulting
/// configuration and the ordered steps.
struct plan {
  std::string id;
  std::uint64_t base_version = 0;
  std::string base_digest;
  /// Configuration that the plan was computed for. A stale plan is reported with the differences
  /// from it to the current configuration; its plan id identifies the previous plan.
  mesh_config base;
  /// Configuration that a confirmation writes. Removed services are retiring in it.
  mesh_config result;
  std::vector<plan_step> steps;

  [[nodiscard]] bool empty() const { return steps.empty(); }
};

/// Returns the changes from `before` to `after`: first services, then ranks, then routes.
std::vector<resource_change> DiffResources(const mesh_resources& before,
                                           const mesh_resources& after);

/// Computes the plan that changes `base` to `desired`. The id depends only on the base and the
/// content, so the same intent on the same base always gives the same plan.
plan MakePlan(const mesh_config& base, const mesh_resources& desired);

/// Returns a copy of `resources` without the retiring services.
mesh_resources RemoveRetiringServices(mesh_resources resources);

/// Returns the stored form of a plan.
std::string ToJson(const plan& source);

/// Parses a stored plan. Adds every problem to `problems`, and returns std::nullopt if there is
/// one. A plan that differs from the one that MakePlan computes from its base and content was
/// altered after it was stored, which is a problem too.
std::optional<plan> PlanFromJson(std::string_view text, support::findings& problems);

/// Returns the text form of a change, for example "add service counter (slots=6 ramp_ms=0)".
std::string ToText(const resource_change& change);

}  // namespace siskinrack::config

#endif  // SISKINRACK_CONFIG_PLAN_H_
