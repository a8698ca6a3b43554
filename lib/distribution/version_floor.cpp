#include "siskinrack/distribution/version_floor.h"

namespace siskinrack::distribution {

void version_floor::OnPlatformHead(std::uint64_t /*version*/) {}
void version_floor::OnReply(const wire::floor_reply_t& /*reply*/) {}
void version_floor::Evaluate(std::span<const peer_view> /*peers*/, time_point /*now*/) {}
std::vector<std::string> version_floor::PeersToAsk(std::span<const peer_view> /*peers*/,
                                                   time_point /*now*/, random_engine& /*random*/) {
  return {};
}

}  // namespace siskinrack::distribution
