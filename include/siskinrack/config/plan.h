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

/// One changed resource.
struct resource_change {
  change_action action = change_action::kAdd;
  /// "service", "route" or "rank".
  std::string kind;
  std::string name;
  /// Old and new values of the changed fields, for people.
  std::string detail;

  bool operator==(const resource_change&) const = default;
};

/// Changes that take effect together. Steps of the same version are one atomic swap on a node; the
/// order between steps says what later steps rely on.
struct plan_step {
  std::uint32_t order = 0;
  /// Configuration version that contains the step.
  std::uint64_t version = 0;
  std::string title;
  std::vector<resource_change> changes;
};

/// What a confirmed intent would do: base version, resulting configuration and ordered steps.
struct plan {
  std::string id;
  std::uint64_t base_version = 0;
  std::string base_digest;
  /// The configuration that the plan was made for; a stale plan is compared with it, and its plan
  /// id leads to the plan before.
  mesh_config base;
  /// The configuration that a confirmation writes; removed services are in it as retiring.
  mesh_config result;
  std::vector<plan_step> steps;

  [[nodiscard]] bool empty() const { return steps.empty(); }
};

/// Lists the differences from `before` to `after`, in the order services, ranks, routes.
std::vector<resource_change> DiffResources(const mesh_resources& before,
                                           const mesh_resources& after);

/// Computes the plan that turns `base` into `wanted`. The id depends on base and content only, so
/// the same intent on the same base always has the same plan.
plan MakePlan(const mesh_config& base, const mesh_resources& wanted);

/// `resources` without the retiring services.
mesh_resources RemoveRetiringServices(mesh_resources resources);

std::string ToJson(const plan& item);

/// Reads a stored plan. A plan that differs from what MakePlan computes from its base and its
/// content was altered after it was stored; that is a problem too.
std::optional<plan> PlanFromJson(std::string_view text, support::findings& problems);

/// Text form of a change: "add service counter (slots=6)".
std::string ToText(const resource_change& change);

}  // namespace siskinrack::config

#endif  // SISKINRACK_CONFIG_PLAN_H_
