#ifndef SISKINRACK_DISTRIBUTION_REMOVAL_COMPLETION_H_
#define SISKINRACK_DISTRIBUTION_REMOVAL_COMPLETION_H_

#include <optional>

#include "siskinrack/config/model.h"
#include "siskinrack/distribution/peer_view.h"

namespace siskinrack::distribution {

/// The second phase of a removal: drops retiring services once no node serves an older version.
class removal_completion {
 public:
  /// Calls routed by the older version have ended or timed out by then in all but the longest
  /// cases.
  static constexpr milliseconds kDelay{10'000};

  /// The configuration to write in place of `head`, or nothing. `members` include this node.
  std::optional<config::mesh_config> NextConfig(const config::mesh_config& head,
                                                std::span<const peer_view> members, time_point now);

 private:
  std::uint64_t version_ = 0;
  time_point since_{};
};

/// True if `domain` is the first of the failure domains that have members that aren't dead; the
/// holder of its lease completes removals.
bool IsFirstDomain(std::string_view domain, std::span<const peer_view> members);

}  // namespace siskinrack::distribution

#endif  // SISKINRACK_DISTRIBUTION_REMOVAL_COMPLETION_H_
