#include "siskinrack/config/delta.h"

namespace siskinrack::config {

config_delta MakeDelta(const mesh_config& /*base*/, const mesh_config& /*next*/) { return {}; }

std::optional<mesh_config> ApplyDelta(const mesh_config& /*base*/, const config_delta& /*delta*/,
                                      support::findings& /*problems*/) {
  return std::nullopt;
}

}  // namespace siskinrack::config
