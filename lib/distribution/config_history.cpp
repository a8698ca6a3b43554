#include "siskinrack/distribution/config_history.h"

#include "siskinrack/config/delta.h"

namespace siskinrack::distribution {

bool config_history::Add(config_snapshot_ptr snapshot) {
  if (snapshot->config.version <= newest()->config.version) return false;
  held_.push_back(std::move(snapshot));
  if (held_.size() > kVersions) held_.pop_front();
  return true;
}

config_snapshot_ptr config_history::Find(std::uint64_t version, std::string_view digest) const {
  for (const config_snapshot_ptr& snapshot : held_) {
    if (snapshot->config.version == version && snapshot->digest == digest) return snapshot;
  }
  return nullptr;
}

wire::config_update_t config_history::Answer(const wire::config_request_t& request) const {
  const config_snapshot& latest = *newest();
  wire::config_update_t update;
  update.version = latest.config.version;
  update.digest = latest.digest;
  const config_snapshot_ptr base =
      request.full ? nullptr : Find(request.have_version, request.have_digest);
  if (base != nullptr) {
    const config::config_delta delta = config::MakeDelta(base->config, latest.config);
    if (delta.payload.size() < latest.json.size()) {
      update.base_version = delta.base_version;
      update.base_digest = delta.base_digest;
      update.payload.assign(delta.payload.begin(), delta.payload.end());
      return update;
    }
  }
  update.full = true;
  update.payload.assign(latest.json.begin(), latest.json.end());
  return update;
}

}  // namespace siskinrack::distribution
