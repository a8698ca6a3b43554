#ifndef SISKINRACK_DISTRIBUTION_CONFIG_HISTORY_H_
#define SISKINRACK_DISTRIBUTION_CONFIG_HISTORY_H_

#include <cstddef>
#include <deque>

#include "siskinrack/distribution/config_snapshot.h"
#include "siskinrack/wire/siskinrack_generated.h"

namespace siskinrack::distribution {

/// Stores the newest versions that a node holds, as bases for deltas. Not thread-safe.
class config_history {
 public:
  /// Number of versions stored. On average there is at most one change every few minutes, so 8
  /// versions cover bursts and short outages.
  static constexpr std::size_t kVersions = 8;

  config_history() : held_{EmptySnapshot()} {}

  /// Adds a snapshot if it's newer than the newest one. Returns true if it was added.
  bool Add(config_snapshot_ptr snapshot);

  [[nodiscard]] const config_snapshot_ptr& newest() const { return held_.back(); }
  /// Returns a version, or null if it isn't held or has another digest.
  [[nodiscard]] config_snapshot_ptr Find(std::uint64_t version, std::string_view digest) const;

  /// Returns the newest version, as a delta to the requester's version if that one is held, the
  /// delta is smaller and no full copy is requested, else as a full copy.
  [[nodiscard]] wire::config_update_t Answer(const wire::config_request_t& request) const;

 private:
  std::deque<config_snapshot_ptr> held_;
};

}  // namespace siskinrack::distribution

#endif  // SISKINRACK_DISTRIBUTION_CONFIG_HISTORY_H_
