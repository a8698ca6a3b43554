#include "siskinrack/distribution/peer_view.h"

#include <algorithm>

namespace siskinrack::distribution {
namespace {

constexpr std::size_t kNoticesInOwnDomain = 3;
constexpr std::size_t kNoticesInOtherDomains = 1;

/// Returns FNV-1a with the finalizer of splitmix64, which is the same on all nodes, unlike
/// std::hash.
std::uint64_t Hash(std::string_view key, std::string_view node_id) {
  std::uint64_t hash = 0xcbf29ce484222325ULL;
  const auto add = [&](std::string_view text) {
    for (const char c : text) hash = (hash ^ static_cast<unsigned char>(c)) * 0x100000001b3ULL;
  };
  add(key);
  add("/");
  add(node_id);
  hash = (hash ^ (hash >> 30U)) * 0xbf58476d1ce4e5b9ULL;
  hash = (hash ^ (hash >> 27U)) * 0x94d049bb133111ebULL;
  return hash ^ (hash >> 31U);
}

/// Returns true if node `a` has a higher rank than `b` for `key`.
bool RanksBefore(std::string_view key, std::string_view a, std::string_view b) {
  const std::uint64_t hash_a = Hash(key, a);
  const std::uint64_t hash_b = Hash(key, b);
  return hash_a > hash_b || (hash_a == hash_b && a < b);
}

}  // namespace

std::vector<std::string> ChooseNoticePeers(std::span<const peer_view> peers,
                                           std::string_view own_domain, random_engine& random) {
  std::vector<std::string> local;
  std::vector<std::string> remote;
  for (const peer_view& peer : peers) {
    if (peer.alive()) (peer.failure_domain == own_domain ? local : remote).push_back(peer.node_id);
  }
  std::shuffle(local.begin(), local.end(), random);
  std::shuffle(remote.begin(), remote.end(), random);
  local.resize(std::min(local.size(), kNoticesInOwnDomain));
  remote.resize(std::min(remote.size(), kNoticesInOtherDomains));
  local.insert(local.end(), remote.begin(), remote.end());
  return local;
}

std::size_t ComputeRendezvousRank(std::string_view node_id, std::string_view key,
                                  std::span<const std::string> candidates) {
  return static_cast<std::size_t>(
      std::count_if(candidates.begin(), candidates.end(),
                    [&](const std::string& other) { return RanksBefore(key, other, node_id); }));
}

std::vector<std::string> SelectTopRanked(std::string_view key, std::vector<std::string> candidates,
                                         std::size_t count) {
  std::sort(candidates.begin(), candidates.end(),
            [&](const std::string& a, const std::string& b) { return RanksBefore(key, a, b); });
  candidates.resize(std::min(candidates.size(), count));
  return candidates;
}

}  // namespace siskinrack::distribution
