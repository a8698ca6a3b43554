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

/// Maximum size of a payload that ApplyDelta accepts. Equals the platform's limit for a whole
/// configuration.
inline constexpr std::size_t kMaxDeltaBytes = 1U << 20U;

/// Represents the resources that differ between two configurations. The digests, as returned by
/// ComputeDigest, identify the exact base and the exact result.
struct config_delta {
  std::uint64_t base_version = 0;
  std::string base_digest;
  std::uint64_t version = 0;
  std::string digest;
  /// JSON object: "plan_id" of the result, "set" (added and changed resources as in ToJson) and
  /// "remove" (an object with lists of names under "services", "routes" and "ranks").
  std::string payload;
};

/// Computes the delta from `base` to `next`, whose lists must be sorted by name.
config_delta MakeDelta(const mesh_config& base, const mesh_config& next);

/// Applies `delta` to `base`. Adds findings and returns std::nullopt if `base` isn't the base of
/// the delta, the payload is corrupt or larger than kMaxDeltaBytes, or the digest of the result
/// differs. Doesn't check references between resources; see Validate.
std::optional<mesh_config> ApplyDelta(const mesh_config& base, const config_delta& delta,
                                      support::findings& problems);

}  // namespace siskinrack::config

#endif  // SISKINRACK_CONFIG_DELTA_H_
