#ifndef SISKINRACK_CONFIG_INTENT_READER_H_
#define SISKINRACK_CONFIG_INTENT_READER_H_

#include <optional>
#include <string>
#include <string_view>

#include "siskinrack/config/model.h"
#include "siskinrack/support/findings.h"

namespace siskinrack::config {

/// Parses and validates an intent: YAML of at most 1 MiB with the lists "services", "routes" and
/// "ranks", each of which may be missing. Adds every problem to `problems`, and returns
/// std::nullopt if it adds one. The place of a finding is "file:line:column field", with
/// `file_name` as the file and without the parts that don't apply.
std::optional<mesh_resources> ReadIntent(std::string_view file_name, std::string_view text,
                                         support::findings& problems);

}  // namespace siskinrack::config

#endif  // SISKINRACK_CONFIG_INTENT_READER_H_
