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

  /// Begins a round for `version` and ends any other.
  void Begin(std::uint64_t version, time_point now);
  /// Processes the reply of a peer, which counts only if it's for the version of this round.
  void OnReply(const std::string& node_id, std::uint64_t version, bool recorded);
  /// Ends the round, complete or not.
  void End() { version_ = 0; }

  /// Returns the live peers to query now, at most as many as witnesses are missing: one of each
  /// failure domain without a witness yet, the own one first, then any others. Returns none between
  /// requests and if no round is active.
  std::vector<std::string> SelectPeersToQuery(std::span<const peer_view> peers,
                                              std::string_view own_domain, time_point now,
                                              random_engine& random);

  [[nodiscard]] bool is_active() const { return version_ != 0; }
  [[nodiscard]] std::uint64_t version() const { return version_; }
  [[nodiscard]] std::size_t witnesses() const { return recorded_by_.size(); }
  /// Returns true if a round is active and enough witnesses recorded the version or kMaxDuration
  /// has passed.
  [[nodiscard]] bool IsComplete(std::span<const peer_view> peers, time_point now) const;
  /// Returns the number of records after which a round with these peers is complete. If it is 0,
  /// because no peer is alive, the round lasts kMaxDuration.
  [[nodiscard]] static std::size_t RequiredWitnesses(std::span<const peer_view> peers);

 private:
  std::uint64_t version_ = 0;
  time_point begun_{};
  time_point next_request_{};
  std::set<std::string> recorded_by_;
};

}  // namespace siskinrack::distribution

#endif  // SISKINRACK_DISTRIBUTION_WITNESS_ROUND_H_
