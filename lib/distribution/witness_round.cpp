#include "siskinrack/distribution/witness_round.h"

#include <algorithm>

namespace siskinrack::distribution {

void witness_round::Begin(std::uint64_t version, time_point now) {
  version_ = version;
  begun_ = now;
  next_request_ = now;
  recorded_by_.clear();
}

void witness_round::OnReply(const std::string& node_id, std::uint64_t version, bool recorded) {
  if (recorded && version == version_) recorded_by_.insert(node_id);
}

std::vector<std::string> witness_round::SelectPeersToQuery(std::span<const peer_view> peers,
                                                           std::string_view own_domain,
                                                           time_point now, random_engine& random) {
  if (!is_active() || now < next_request_) return {};
  next_request_ = now + kRetryInterval;
  std::set<std::string_view> covered_domains;
  std::vector<const peer_view*> candidates;
  for (const peer_view& peer : peers) {
    if (recorded_by_.contains(peer.node_id)) {
      covered_domains.insert(peer.failure_domain);
    } else if (peer.alive()) {
      candidates.push_back(&peer);
    }
  }
  std::shuffle(candidates.begin(), candidates.end(), random);
  std::stable_partition(candidates.begin(), candidates.end(),
                        [&](const peer_view* peer) { return peer->failure_domain == own_domain; });
  std::vector<std::string> chosen;
  std::vector<std::string> others;
  for (const peer_view* peer : candidates) {
    const bool first_of_domain = covered_domains.insert(peer->failure_domain).second;
    (first_of_domain ? chosen : others).push_back(peer->node_id);
  }
  chosen.insert(chosen.end(), others.begin(), others.end());
  const std::size_t required = RequiredWitnesses(peers);
  const std::size_t missing = required - std::min(required, recorded_by_.size());
  chosen.resize(std::min(chosen.size(), missing));
  return chosen;
}

bool witness_round::IsComplete(std::span<const peer_view> peers, time_point now) const {
  // A node without live peers in its view may have just started, so it waits for kMaxDuration, as
  // it does if no peer replies.
  const std::size_t required = std::max<std::size_t>(1, RequiredWitnesses(peers));
  return is_active() && (recorded_by_.size() >= required || now - begun_ >= kMaxDuration);
}

std::size_t witness_round::RequiredWitnesses(std::span<const peer_view> peers) {
  const auto live =
      std::count_if(peers.begin(), peers.end(), [](const peer_view& peer) { return peer.alive(); });
  return std::min(kWitnesses, static_cast<std::size_t>(live));
}

}  // namespace siskinrack::distribution
