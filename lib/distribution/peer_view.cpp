#include "siskinrack/distribution/peer_view.h"

namespace siskinrack::distribution {

std::vector<std::string> ChooseNoticePeers(std::span<const peer_view> /*peers*/,
                                           std::string_view /*own_domain*/,
                                           random_engine& /*random*/) {
  return {};
}
std::size_t RendezvousRank(std::string_view /*node_id*/, std::string_view /*key*/,
                           std::span<const std::string> /*candidates*/) {
  return 0;
}

}  // namespace siskinrack::distribution
