#include "siskinrack/distribution/version_floor.h"

#include <algorithm>
#include <map>

namespace siskinrack::distribution {

void version_floor::OnPlatformHead(std::uint64_t version) {
  if (known_) return;
  known_ = true;
  from_platform_ = true;
  version_ = std::max(version_, version);
}

void version_floor::OnReply(const wire::floor_reply_t& reply) {
  if (known_) return;
  replied_domains_.insert(reply.failure_domain);
  known_domains_.insert(reply.failure_domain);
  known_domains_.insert(reply.domains.begin(), reply.domains.end());
  if (reply.known) version_ = std::max(version_, reply.served_version);
}

void version_floor::Evaluate(std::span<const peer_view> peers, time_point now) {
  for (const peer_view& peer : peers) known_domains_.insert(peer.failure_domain);
  if (known_ || now - start_ < kMinWait) return;
  known_ = replied_domains_.size() * 2 > known_domains_.size();
}

std::vector<std::string> version_floor::SelectPeersToQuery(std::span<const peer_view> peers,
                                                           time_point now, random_engine& random) {
  if (known_ || now < next_round_) return {};
  next_round_ = now + kRoundInterval;
  std::map<std::string_view, std::vector<std::string>> by_domain;
  for (const peer_view& peer : peers) {
    if (peer.alive()) by_domain[peer.failure_domain].push_back(peer.node_id);
  }
  constexpr std::size_t kRounds = kMinWait / kRoundInterval;
  std::vector<std::string> chosen;
  for (auto& [domain, ids] : by_domain) {
    std::shuffle(ids.begin(), ids.end(), random);
    std::stable_partition(ids.begin(), ids.end(),
                          [&](const std::string& id) { return !queried_.contains(id); });
    ids.resize(std::min(ids.size(), std::max(kMinPeersPerDomain, ids.size() / kRounds + 1)));
    chosen.insert(chosen.end(), ids.begin(), ids.end());
  }
  queried_.insert(chosen.begin(), chosen.end());
  return chosen;
}

}  // namespace siskinrack::distribution
