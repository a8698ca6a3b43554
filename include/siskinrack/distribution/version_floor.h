#ifndef SISKINRACK_DISTRIBUTION_VERSION_FLOOR_H_
#define SISKINRACK_DISTRIBUTION_VERSION_FLOOR_H_

#include <set>

#include "siskinrack/distribution/peer_view.h"
#include "siskinrack/wire/siskinrack_generated.h"

namespace siskinrack::distribution {

/// Determines the lowest version that a node may serve after a start with empty memory, so that a
/// restarted node doesn't serve an older version than before. A state machine without I/O; not
/// thread-safe.
class version_floor {
 public:
  /// Minimum time from the start until the floor is taken from peers. Within this time a witness
  /// record reaches the other nodes with the member records.
  static constexpr milliseconds kMinWait{5'000};
  /// Minimum number of peers to query per failure domain and round. Each round queries a fifth of
  /// the domain's live peers but at least this many, so that all are queried once within kMinWait:
  /// if a node restarted before its record spread, only its witnesses have the record.
  static constexpr std::size_t kMinPeersPerDomain = 3;
  static constexpr milliseconds kRoundInterval{1'000};
  /// Delay of the first round. The platform usually responds within this time, which makes queries
  /// to peers unnecessary.
  static constexpr milliseconds kFirstRoundDelay{300};

  version_floor(std::string_view own_domain, time_point start)
      : start_(start),
        next_round_(start + kFirstRoundDelay),
        known_domains_{std::string(own_domain)} {}

  /// Sets the floor to the version of the platform's head (0: no head yet), which isn't below any
  /// version ever served, or to the highest version in a reply if that is higher. Has no effect
  /// once the floor is known.
  void OnPlatformHead(std::uint64_t version);
  /// Processes the reply of a peer. A peer replies only once its own floor is known.
  void OnReply(const wire::floor_reply_t& reply);
  /// Sets the floor to the highest version in the replies once kMinWait has passed and a majority
  /// of the known failure domains has replied.
  void Evaluate(std::span<const peer_view> peers, time_point now);

  /// Returns the peers to query now; empty between rounds and once the floor is known.
  std::vector<std::string> SelectPeersToQuery(std::span<const peer_view> peers, time_point now,
                                              random_engine& random);

  [[nodiscard]] bool is_known() const { return known_; }
  /// Returns true if the floor is known from the platform, false if from peers or unknown.
  [[nodiscard]] bool from_platform() const { return from_platform_; }
  /// Returns the floor if it's known, else the highest version in the replies so far.
  [[nodiscard]] std::uint64_t version() const { return version_; }

 private:
  time_point start_;
  time_point next_round_;
  bool known_ = false;
  bool from_platform_ = false;
  std::uint64_t version_ = 0;
  std::set<std::string> queried_;
  std::set<std::string> replied_domains_;
  std::set<std::string> known_domains_;
};

}  // namespace siskinrack::distribution

#endif  // SISKINRACK_DISTRIBUTION_VERSION_FLOOR_H_
