#ifndef SISKINRACK_CONFIG_CANONICAL_JSON_H_
#define SISKINRACK_CONFIG_CANONICAL_JSON_H_

#include <optional>
#include <string>
#include <string_view>

#include "siskinrack/config/model.h"
#include "siskinrack/support/findings.h"

namespace siskinrack::config {

/// Returns the canonical JSON text of a configuration. Equal configurations have equal texts, which
/// is what digests are computed from.
std::string ToJson(const mesh_config& config);
std::string ToJson(const mesh_resources& resources);

/// Parses the canonical text. Adds every problem to `problems`, and returns std::nullopt if there
/// is one. Doesn't check references between resources; see Validate.
std::optional<mesh_config> ConfigFromJson(std::string_view text, support::findings& problems);
std::optional<mesh_resources> ResourcesFromJson(std::string_view text, support::findings& problems);

}  // namespace siskinrack::config

#endif  // SISKINRACK_CONFIG_CANONICAL_JSON_H_
