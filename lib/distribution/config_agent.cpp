#include "siskinrack/distribution/config_agent.h"

namespace siskinrack::distribution {

config_agent::config_agent(std::string node_id, std::string failure_domain,
                           witness_table& witnesses, time_point start)
    : node_id_(std::move(node_id)),
      failure_domain_(std::move(failure_domain)),
      witnesses_(witnesses),
      floor_(failure_domain_, start) {}

/// Takes every valid configuration as held and serves it at once.
void config_agent::OnConfig(std::string_view json, std::string_view source,
                            support::findings& problems) {
  auto snapshot = CheckConfig(json, problems);
  if (snapshot != nullptr) activations_.push_back({std::move(snapshot), std::string(source)});
}
void config_agent::OnPeerVersion(const std::string& /*peer*/, std::uint64_t /*version*/,
                                 time_point /*now*/) {}
void config_agent::OnUpdate(const std::string& /*peer*/, const wire::config_update_t& /*update*/,
                            time_point /*now*/) {}
void config_agent::OnFloorReply(const std::string& /*peer*/, const wire::floor_reply_t& /*reply*/,
                                time_point /*now*/) {}
void config_agent::Advance(std::span<const peer_view> /*peers*/, time_point /*now*/,
                           random_engine& /*random*/) {}
std::vector<outgoing> config_agent::TakeMessages() { return std::exchange(messages_, {}); }
std::vector<activation> config_agent::TakeActivations() { return std::exchange(activations_, {}); }
wire::witness_reply_t config_agent::Answer(const wire::witness_request_t& /*request*/) {
  return {};
}
std::optional<wire::floor_reply_t> config_agent::Answer(
    const wire::floor_request_t& /*request*/, std::span<const peer_view> /*peers*/) const {
  return std::nullopt;
}
bool config_agent::pending() const { return false; }

}  // namespace siskinrack::distribution
