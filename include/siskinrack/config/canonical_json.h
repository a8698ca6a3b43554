#ifndef SISKINRACK_CONFIG_CANONICAL_JSON_H_
#define SISKINRACK_CONFIG_CANONICAL_JSON_H_

#include <optional>
#include <string>
#include <string_view>

#include "siskinrack/config/model.h"
#include "siskinrack/support/findings.h"

namespace siskinrack::config {

/// Returns the canonical JSON text of a configuration or its resources: the members are in a fixed
/// order and the lists in the order of the argument, so equal arguments have equal texts. Digests
/// are computed from this text.
std::string ToJson(const mesh_config& config);
std::string ToJson(const mesh_resources& resources);

/// Parses the JSON text of a configuration or its resources, and sorts the lists by name. Adds
/// every problem to `problems`, and returns std::nullopt if it adds one. Doesn't check values or
/// references between resources; see Validate.
std::optional<mesh_config> ConfigFromJson(std::string_view text, support::findings& problems);
std::optional<mesh_resources> ResourcesFromJson(std::string_view text, support::findings& problems);

}  // namespace siskinrack::config

#endif  // SISKINRACK_CONFIG_CANONICAL_JSON_H_
