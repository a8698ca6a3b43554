#include "siskinrack/distribution/witness_round.h"

namespace siskinrack::distribution {

void witness_round::Begin(std::uint64_t /*version*/, time_point /*now*/) {}
void witness_round::OnReply(const std::string& /*node_id*/, std::uint64_t /*version*/,
                            bool /*recorded*/) {}
std::vector<std::string> witness_round::PeersToAsk(std::span<const peer_view> /*peers*/,
                                                   std::string_view /*own_domain*/,
                                                   time_point /*now*/, random_engine& /*random*/) {
  return {};
}
bool witness_round::Complete(std::span<const peer_view> /*peers*/, time_point /*now*/) const {
  return false;
}
std::size_t witness_round::Wanted(std::span<const peer_view> /*peers*/) { return 0; }

}  // namespace siskinrack::distribution
