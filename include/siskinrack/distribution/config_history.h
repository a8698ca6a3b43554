#ifndef SISKINRACK_DISTRIBUTION_CONFIG_HISTORY_H_
#define SISKINRACK_DISTRIBUTION_CONFIG_HISTORY_H_

#include <cstddef>
#include <deque>

#include "siskinrack/distribution/config_snapshot.h"
#include "siskinrack/wire/siskinrack_generated.h"

namespace siskinrack::distribution {

/// The newest versions that a node holds, as bases for deltas.
class config_history {
 public:
  /// Changes come at most every few minutes on average; 8 versions cover bursts and short outages.
  static constexpr std::size_t kVersions = 8;

  config_history() : held_{EmptySnapshot()} {}

  /// Takes a snapshot newer than the newest one. Returns whether it did.
  bool Add(config_snapshot_ptr snapshot);

  [[nodiscard]] const config_snapshot_ptr& newest() const { return held_.back(); }
  /// Null if the version isn't held or has another digest.
  [[nodiscard]] config_snapshot_ptr Find(std::uint64_t version, std::string_view digest) const;

  /// The newest version as a delta to the requester's version if that one is held and the delta is
  /// smaller, else as a full copy.
  [[nodiscard]] wire::config_update_t Answer(const wire::config_request_t& request) const;

 private:
  std::deque<config_snapshot_ptr> held_;
};

}  // namespace siskinrack::distribution

#endif  // SISKINRACK_DISTRIBUTION_CONFIG_HISTORY_H_
