#ifndef SISKINRACK_DISTRIBUTION_CONFIG_SNAPSHOT_H_
#define SISKINRACK_DISTRIBUTION_CONFIG_SNAPSHOT_H_

#include <memory>
#include <string>
#include <string_view>

#include "siskinrack/config/model.h"
#include "siskinrack/support/findings.h"

namespace siskinrack::distribution {

/// Represents a configuration with its canonical JSON text and the digest of that text.
struct config_snapshot {
  config::mesh_config config;
  /// SHA-256 of `json` in hex.
  std::string digest;
  std::string json;
};
using config_snapshot_ptr = std::shared_ptr<const config_snapshot>;

/// Returns the empty configuration, which has version 0.
config_snapshot_ptr EmptySnapshot();

/// Validates the form, version, limits and references of a whole configuration. Returns null and
/// adds findings to `problems` if it's invalid; version 0 is invalid.
config_snapshot_ptr CheckConfig(std::string_view json, support::findings& problems);
config_snapshot_ptr CheckConfig(config::mesh_config config, support::findings& problems);

}  // namespace siskinrack::distribution

#endif  // SISKINRACK_DISTRIBUTION_CONFIG_SNAPSHOT_H_
