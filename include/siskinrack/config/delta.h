#ifndef SISKINRACK_CONFIG_DELTA_H_
#define SISKINRACK_CONFIG_DELTA_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "siskinrack/config/model.h"
#include "siskinrack/support/findings.h"

namespace siskinrack::config {

/// Largest payload that ApplyDelta reads; the platform's limit for a whole configuration.
inline constexpr std::size_t kMaxDeltaBytes = 1U << 20U;

/// The resources that differ between two versions. The digests name the exact base and result.
struct config_delta {
  std::uint64_t base_version = 0;
  std::string base_digest;
  std::uint64_t version = 0;
  std::string digest;
  /// JSON object: "plan_id", "set" (added and changed resources) and "remove" (names by kind).
  std::string payload;
};

/// Computes the delta from `base` to `next`.
config_delta MakeDelta(const mesh_config& base, const mesh_config& next);

/// Applies `delta` to `base`. Returns nothing and adds findings if the base is another one, the
/// payload is damaged, or the result's digest differs. Doesn't check references (see Validate).
std::optional<mesh_config> ApplyDelta(const mesh_config& base, const config_delta& delta,
                                      support::findings& problems);

}  // namespace siskinrack::config

#endif  // SISKINRACK_CONFIG_DELTA_H_
