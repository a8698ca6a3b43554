#ifndef SISKINRACK_DISTRIBUTION_WITNESS_ROUND_H_
#define SISKINRACK_DISTRIBUTION_WITNESS_ROUND_H_

#include <set>

#include "siskinrack/distribution/peer_view.h"

namespace siskinrack::distribution {

/// Obtains witness records for one version before it is served. A witness is a peer that records
/// which version this node is about to serve, so that the record survives a restart of this node. A
/// state machine without I/O; not thread-safe.
class witness_round {
 public:
  /// Number of witnesses that a round aims at, fewer if there are fewer live peers.
  static constexpr std::size_t kWitnesses = 3;
  /// Time after which a version takes effect even if fewer witnesses replied; see docs/proofs.md.
  static constexpr milliseconds kMaxDuration{2'000};
  /// Time between requests, in which a witness can fetch the version.
  static constexpr milliseconds kRetryInterval{50};

  void Begin(std::uint64_t version, time_point now);
  void OnReply(const std::string& node_id, std::uint64_t version, bool recorded);
  void End() { version_ = 0; }

  /// Returns the peers to query now: first one of the own failure domain, then one of each domain
  /// without a witness yet, then any other live peer.
  std::vector<std::string> SelectPeersToQuery(std::span<const peer_view> peers,
                                              std::string_view own_domain, time_point now,
                                              random_engine& random);

  [[nodiscard]] bool is_active() const { return version_ != 0; }
  [[nodiscard]] std::uint64_t version() const { return version_; }
  [[nodiscard]] std::size_t witnesses() const { return recorded_by_.size(); }
  /// Returns true if enough witnesses recorded the version or kMaxDuration has passed.
  [[nodiscard]] bool IsComplete(std::span<const peer_view> peers, time_point now) const;
  /// Returns the number of records after which a round with these peers is complete.
  [[nodiscard]] static std::size_t RequiredWitnesses(std::span<const peer_view> peers);

 private:
  std::uint64_t version_ = 0;
  time_point begun_{};
  time_point next_request_{};
  std::set<std::string> recorded_by_;
};

}  // namespace siskinrack::distribution

#endif  // SISKINRACK_DISTRIBUTION_WITNESS_ROUND_H_
