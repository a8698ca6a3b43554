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

/// Kind of difference between two configurations in one resource.
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

/// Represents a group of related changes. A step depends only on steps with a lower order. A node
/// applies all steps of one version atomically.
struct plan_step {
  /// Position in the plan, starting at 1.
  std::uint32_t order = 0;
  /// First configuration version that includes this step.
  std::uint64_t version = 0;
  std::string title;
  std::vector<resource_change> changes;
};

/// Represents a planned change of the configuration: the base, the resulting configuration and the
/// ordered steps. Confirming the plan writes `result`. A step with a later version takes effect
/// when the nodes remove the retiring services, once every node serves `result`.
struct plan {
  std::string id;
  std::uint64_t base_version = 0;
  std::string base_digest;
  /// Configuration that the plan was computed for. If the plan is stale, the conflict report lists
  /// the differences between this and the head, the newest accepted configuration. `base.plan_id`
  /// identifies the plan accepted before this one.
  mesh_config base;
  /// Configuration that a confirmation writes. Removed services are retiring in it.
  mesh_config result;
  std::vector<plan_step> steps;

  /// Returns true if the plan changes nothing.
  [[nodiscard]] bool empty() const { return steps.empty(); }
};

/// Returns the changes from `before` to `after`, whose lists must be sorted by name: first
/// services, then ranks, then routes, each by name.
std::vector<resource_change> DiffResources(const mesh_resources& before,
                                           const mesh_resources& after);

/// Computes the plan that changes `base` to `desired`, which must not contain retiring services.
/// The id, 16 hexadecimal digits, depends only on the base and the content, so the same intent on
/// the same base always gives the same plan.
plan MakePlan(const mesh_config& base, const mesh_resources& desired);

/// Returns a copy of `resources` without the retiring services.
mesh_resources RemoveRetiringServices(mesh_resources resources);

/// Returns the JSON text in which a plan is stored.
std::string ToJson(const plan& source);

/// Parses a stored plan. Adds every problem to `problems`, and returns std::nullopt if it adds
/// one. A plan that differs from the one that MakePlan computes from its base and content was
/// altered after it was stored, which is a problem too.
std::optional<plan> PlanFromJson(std::string_view text, support::findings& problems);

/// Returns the text form of a change, for example "add service counter (slots=6 ramp_ms=0)".
std::string ToText(const resource_change& change);

}  // namespace siskinrack::config

#endif  // SISKINRACK_CONFIG_PLAN_H_
