#ifndef SISKINRACK_DISTRIBUTION_REMOVAL_COMPLETION_H_
#define SISKINRACK_DISTRIBUTION_REMOVAL_COMPLETION_H_

#include <optional>

#include "siskinrack/config/model.h"
#include "siskinrack/distribution/peer_view.h"

namespace siskinrack::distribution {

/// Implements the second phase of a removal: removes retiring services once no node serves a
/// version older than the platform's head. Not thread-safe.
class removal_completion {
 public:
  /// Time for which all members that aren't dead must have served the version. By then all but the
  /// longest calls that were routed by the older version have ended or timed out.
  static constexpr milliseconds kDelay{10'000};

  /// Returns the configuration to write in place of `head`, without its retiring services and with
  /// the next version. Returns std::nullopt if `head` has no retiring services or kDelay hasn't
  /// passed. `members` include this node.
  std::optional<config::mesh_config> NextConfig(const config::mesh_config& head,
                                                std::span<const peer_view> members, time_point now);

 private:
  std::uint64_t version_ = 0;
  time_point complete_since_{};
};

/// Returns true if `domain` is the first by name of the failure domains with members that aren't
/// dead. The holder of that domain's lease completes removals.
bool IsFirstDomain(std::string_view domain, std::span<const peer_view> members);

}  // namespace siskinrack::distribution

#endif  // SISKINRACK_DISTRIBUTION_REMOVAL_COMPLETION_H_
