#include "siskinrack/distribution/config_snapshot.h"

#include "siskinrack/config/canonical_json.h"
#include "siskinrack/config/digest.h"
#include "siskinrack/config/validation.h"

namespace siskinrack::distribution {
namespace {

config_snapshot_ptr MakeSnapshot(config::mesh_config config) {
  auto snapshot = std::make_shared<config_snapshot>();
  snapshot->json = config::ToJson(config);
  snapshot->digest = config::Sha256Hex(snapshot->json);
  snapshot->config = std::move(config);
  return snapshot;
}

}  // namespace

config_snapshot_ptr EmptySnapshot() { return MakeSnapshot({}); }

config_snapshot_ptr CheckConfig(config::mesh_config config, support::findings& problems) {
  const std::size_t before = problems.size();
  if (config.version == 0) problems.Add("version", "is 0, the version of the empty configuration");
  config::Validate(config.resources, problems);
  return problems.size() == before ? MakeSnapshot(std::move(config)) : nullptr;
}

config_snapshot_ptr CheckConfig(std::string_view json, support::findings& problems) {
  auto config = config::ConfigFromJson(json, problems);
  return config ? CheckConfig(std::move(*config), problems) : nullptr;
}

}  // namespace siskinrack::distribution
