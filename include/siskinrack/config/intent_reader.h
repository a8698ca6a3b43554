#ifndef SISKINRACK_CONFIG_INTENT_READER_H_
#define SISKINRACK_CONFIG_INTENT_READER_H_

#include <optional>
#include <string>
#include <string_view>

#include "siskinrack/config/model.h"
#include "siskinrack/support/findings.h"

namespace siskinrack::config {

/// Parses and validates an intent: YAML with the lists "services", "routes" and "ranks". Adds every
/// problem to `problems` with its file, line and field, and returns std::nullopt if there is one.
std::optional<mesh_resources> ReadIntent(std::string_view file_name, std::string_view text,
                                         support::findings& problems);

}  // namespace siskinrack::config

#endif  // SISKINRACK_CONFIG_INTENT_READER_H_
