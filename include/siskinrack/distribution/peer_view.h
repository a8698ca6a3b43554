#ifndef SISKINRACK_DISTRIBUTION_PEER_VIEW_H_
#define SISKINRACK_DISTRIBUTION_PEER_VIEW_H_

#include <chrono>
#include <cstdint>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "siskinrack/wire/siskinrack_generated.h"

namespace siskinrack::distribution {

using time_point = std::chrono::steady_clock::time_point;
using std::chrono::milliseconds;
using random_engine = std::mt19937_64;

/// Represents the state of a node, as far as the distribution of configurations depends on it.
struct peer_view {
  std::string node_id;
  std::string failure_domain;
  wire::member_health health = wire::member_health::alive;
  std::uint64_t served_version = 0;

  [[nodiscard]] bool alive() const { return health == wire::member_health::alive; }
};

/// Returns the receivers of a version notice: up to 3 random live peers of `own_domain` and 1 of
/// another domain.
std::vector<std::string> ChooseNoticePeers(std::span<const peer_view> peers,
                                           std::string_view own_domain, random_engine& random);

/// Returns the rank of `node_id` among `candidates` by rendezvous hash over (`key`, node id); 0 is
/// the highest.
std::size_t ComputeRendezvousRank(std::string_view node_id, std::string_view key,
                                  std::span<const std::string> candidates);

/// Returns the first `count` of `candidates` in the order of ComputeRendezvousRank.
std::vector<std::string> SelectTopRanked(std::string_view key, std::vector<std::string> candidates,
                                         std::size_t count);

}  // namespace siskinrack::distribution

#endif  // SISKINRACK_DISTRIBUTION_PEER_VIEW_H_
