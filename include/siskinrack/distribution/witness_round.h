#ifndef SISKINRACK_DISTRIBUTION_WITNESS_ROUND_H_
#define SISKINRACK_DISTRIBUTION_WITNESS_ROUND_H_

#include <set>

#include "siskinrack/distribution/peer_view.h"

namespace siskinrack::distribution {

/// Obtains witness records for one version before it is served. Pure.
class witness_round {
 public:
  static constexpr std::size_t kWitnesses = 3;
  /// A version takes effect after this time even if fewer witnesses answered; see docs/proofs.md.
  static constexpr milliseconds kMaxWait{2'000};
  /// Time for a witness to fetch the version before it's asked again.
  static constexpr milliseconds kRetryInterval{50};

  void Begin(std::uint64_t version, time_point now);
  void OnReply(const std::string& node_id, std::uint64_t version, bool recorded);
  void End() { version_ = 0; }

  /// Peers to ask now: first of the own failure domain, then of domains without a witness yet, then
  /// any other live peer.
  std::vector<std::string> PeersToAsk(std::span<const peer_view> peers, std::string_view own_domain,
                                      time_point now, random_engine& random);

  [[nodiscard]] bool active() const { return version_ != 0; }
  [[nodiscard]] std::uint64_t version() const { return version_; }
  [[nodiscard]] std::size_t witnesses() const { return recorded_by_.size(); }
  /// Enough records, or the time is up.
  [[nodiscard]] bool Complete(std::span<const peer_view> peers, time_point now) const;
  [[nodiscard]] static std::size_t RequiredWitnesses(std::span<const peer_view> peers);

 private:
  std::uint64_t version_ = 0;
  time_point begun_{};
  time_point next_ask_{};
  std::set<std::string> recorded_by_;
};

}  // namespace siskinrack::distribution

#endif  // SISKINRACK_DISTRIBUTION_WITNESS_ROUND_H_
