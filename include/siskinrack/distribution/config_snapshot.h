#ifndef SISKINRACK_DISTRIBUTION_CONFIG_SNAPSHOT_H_
#define SISKINRACK_DISTRIBUTION_CONFIG_SNAPSHOT_H_

#include <memory>
#include <string>
#include <string_view>

#include "siskinrack/config/model.h"
#include "siskinrack/support/findings.h"

namespace siskinrack::distribution {

/// An immutable configuration with its digest and canonical text.
struct config_snapshot {
  config::mesh_config config;
  std::string digest;
  std::string json;
};
using config_snapshot_ptr = std::shared_ptr<const config_snapshot>;

/// The empty configuration, version 0.
config_snapshot_ptr EmptySnapshot();

/// Checks a whole configuration: form, limits and references. Returns null and adds findings if
/// anything is wrong.
config_snapshot_ptr CheckConfig(std::string_view json, support::findings& problems);
config_snapshot_ptr CheckConfig(config::mesh_config config, support::findings& problems);

}  // namespace siskinrack::distribution

#endif  // SISKINRACK_DISTRIBUTION_CONFIG_SNAPSHOT_H_
