#ifndef SISKINRACK_DISTRIBUTION_VERSION_FLOOR_H_
#define SISKINRACK_DISTRIBUTION_VERSION_FLOOR_H_

#include <set>

#include "siskinrack/distribution/peer_view.h"
#include "siskinrack/wire/siskinrack_generated.h"

namespace siskinrack::distribution {

/// Finds the lowest version that a node may serve after a start with empty memory. Pure.
class version_floor {
 public:
  /// A witness record reaches the other nodes with the member records within this time.
  static constexpr milliseconds kMinWait{5'000};
  /// In each round a fifth of the live peers of each failure domain is asked, at least this many,
  /// so that all were asked once by kMinWait: a record that its owner's restart overtook is known
  /// to the witnesses only.
  static constexpr std::size_t kMinPeersPerDomain = 3;
  static constexpr milliseconds kRoundInterval{1'000};
  /// The platform usually answers within this time, which makes asking peers unnecessary.
  static constexpr milliseconds kFirstRound{300};

  version_floor(std::string_view own_domain, time_point start)
      : start_(start), next_round_(start + kFirstRound), known_domains_{std::string(own_domain)} {}

  /// The platform's head is at `version` (0: no head yet), hence at or past anything ever served.
  void OnPlatformHead(std::uint64_t version);
  /// A peer that knows its own floor answered.
  void OnReply(const wire::floor_reply_t& reply);
  /// Settles the floor from the replies once enough were heard.
  void Evaluate(std::span<const peer_view> peers, time_point now);

  /// Peers to ask now; empty between rounds and once the floor is known.
  std::vector<std::string> PeersToAsk(std::span<const peer_view> peers, time_point now,
                                      random_engine& random);

  [[nodiscard]] bool known() const { return known_; }
  [[nodiscard]] bool from_platform() const { return from_platform_; }
  [[nodiscard]] std::uint64_t version() const { return version_; }

 private:
  time_point start_;
  time_point next_round_;
  bool known_ = false;
  bool from_platform_ = false;
  std::uint64_t version_ = 0;
  std::set<std::string> asked_;
  std::set<std::string> heard_domains_;
  std::set<std::string> known_domains_;
};

}  // namespace siskinrack::distribution

#endif  // SISKINRACK_DISTRIBUTION_VERSION_FLOOR_H_
