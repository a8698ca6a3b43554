#ifndef SISKINRACK_TENANCY_KNOWLEDGE_PROOF_H_
#define SISKINRACK_TENANCY_KNOWLEDGE_PROOF_H_

#include <algorithm>
#include <cstdint>
#include <optional>

#include "siskinrack/support/boot_clock.h"

namespace siskinrack::tenancy {

/// Holds the newest proof that the active configuration is the newest in the store: an answer of
/// the store, or of a node that had one, and the time at which that answer was requested. The age
/// of a proof bounds the time for which the configuration may have been outdated. Deterministic:
/// the time is an argument.
class knowledge_proof {
 public:
  using time_point = support::boot_clock::time_point;

  /// Records that `proved_version` was the newest version at `requested_at`. Returns false and
  /// ignores the proof if the active version is older: it isn't the newest.
  bool OnProof(std::uint64_t proved_version, std::uint64_t active_version,
               time_point requested_at) {
    if (active_version == 0 || active_version < proved_version) return false;
    proved_at_ = std::max(proved_at_.value_or(requested_at), requested_at);
    return true;
  }

  /// Returns the request time of the newest proof; empty if there is none.
  [[nodiscard]] std::optional<time_point> proved_at() const { return proved_at_; }

  /// Returns true if there is a proof whose age is below `limit`.
  [[nodiscard]] bool IsYounger(support::boot_clock::duration limit, time_point now) const {
    return proved_at_ && now - *proved_at_ < limit;
  }

 private:
  std::optional<time_point> proved_at_;
};

}  // namespace siskinrack::tenancy

#endif  // SISKINRACK_TENANCY_KNOWLEDGE_PROOF_H_
