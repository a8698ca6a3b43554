#include "cap_service.h"

#include <algorithm>

#include "siskinrack/distribution/peer_view.h"

namespace siskinrack::mesh {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

/// Candidates for the ownership of a cap: enough that one remains if a third of the nodes is cut
/// off.
constexpr std::size_t kCandidates = 5;
/// Time for the reply of a candidate, which may have used up its processor time of a tenth of a
/// second and may have to ask another candidate first. A busier one is avoided for a while.
constexpr milliseconds kReplyTimeout{400};
constexpr milliseconds kTick{200};
/// Time between two log lines about the grants of one shard.
constexpr milliseconds kGrantLogInterval{1'000};

}  // namespace

std::optional<support::boot_clock::time_point> cap_peers::ProvedAt() const {
  if (context_.settings.revocation_limit.count() == 0) return BootNow();
  return context_.config_proof.proved_at();
}

std::vector<std::string> cap_peers::FindCandidates(const std::string& shard) {
  if (addresses_.empty() || generation_ != context_.endpoints.generation()) {
    generation_ = context_.endpoints.generation();
    candidates_.clear();
    addresses_.clear();
    // A node whose upstream leaves is about to end, so that its caps move while it still replies.
    for (const routing::endpoint& endpoint : context_.endpoints.All()) {
      if (endpoint.state != routing::instance_state::kReady) continue;
      addresses_.emplace(endpoint.node_address.ToText(), endpoint.node_address);
    }
  }
  const auto known = candidates_.find(shard);
  if (known != candidates_.end()) return known->second;
  std::vector<std::string> names;
  names.reserve(addresses_.size());
  for (const auto& [name, address] : addresses_) names.push_back(name);
  return candidates_
      .emplace(shard, distribution::SelectTopRanked(shard, std::move(names), kCandidates))
      .first->second;
}

std::optional<tenancy::usage_cap> cap_peers::FindCap(const std::string& tenant) const {
  if (context_.routes == nullptr) return std::nullopt;
  const tenancy::tenant* known = context_.routes->FindTenantByName(tenant);
  if (known == nullptr) return std::nullopt;
  return tenancy::usage_cap{known->rate_per_second, known->burst};
}

tenancy::cap_exchange cap_peers::Ask(const std::string& node, const tenancy::cap_demand& demand,
                                     net::steady_time deadline) {
  const auto address = addresses_.find(node);
  if (address == addresses_.end()) return {};
  wire::token_request_t request;
  request.config_version = context_.version();
  request.relayed = demand.relayed;
  auto wire_demand = std::make_unique<wire::token_demand_t>();
  wire_demand->tenant = demand.tenant;
  wire_demand->wanted = demand.wanted;
  wire_demand->shard = static_cast<std::uint16_t>(demand.shard);
  request.demands.push_back(std::move(wire_demand));
  const support::socket_address target = address->second;
  const auto result =
      context_.peers.Request(target, wire::MakeEnvelope(std::move(request)),
                             std::min(deadline, steady_clock::now() + kReplyTimeout));
  const auto* reply = result.reply == nullptr ? nullptr : result.reply->message.Astoken_reply();
  if (reply == nullptr || reply->grants.size() != 1) return {std::nullopt, result.refused};
  const wire::token_grant_t& grant = *reply->grants.front();
  return {tenancy::cap_grant{grant.granted, milliseconds(grant.valid_ms),
                             milliseconds(grant.refill_ms), grant.owned, grant.released},
          false};
}

void cap_peers::OnGranted(const std::string& shard, std::uint32_t tokens, std::size_t rank) {
  unlogged_grants& granted = granted_[shard];
  granted.tokens += tokens;
  const auto now = steady_clock::now();
  if (granted.tokens == 0 || now - granted.logged_at < kGrantLogInterval) return;
  const auto proved_at = ProvedAt();
  const auto age = proved_at ? BootNow() - *proved_at : support::boot_clock::duration(-1);
  context_.log.Info("cap_granted",
                    {{"shard", shard},
                     {"tokens", granted.tokens},
                     {"rank", rank},
                     {"nodes", addresses_.size()},
                     {"list_generation", generation_},
                     {"proof_age_ms", std::chrono::duration_cast<milliseconds>(age).count()}});
  granted = {0, now};
}

void cap_service::Run() {
  while (true) {
    net::SleepFor(kTick);
    node_.Tick();
  }
}

void cap_service::OnConfiguration() {
  const auto is_removed = [this](const std::string& tenant) {
    return context_.routes->FindTenantByName(tenant) == nullptr;
  };
  node_.Discard(is_removed);
  peers_.Discard(
      [&](const std::string& shard) { return is_removed(shard.substr(0, shard.rfind('/'))); });
}

wire::token_reply_t cap_service::OnRequest(const wire::token_request_t& request) {
  wire::token_reply_t reply;
  for (const auto& demand : request.demands) {
    const tenancy::cap_grant grant =
        node_.OnDemand({demand->tenant, demand->shard, demand->wanted, request.relayed});
    auto wire_grant = std::make_unique<wire::token_grant_t>();
    wire_grant->granted = grant.tokens;
    wire_grant->valid_ms = static_cast<std::uint32_t>(grant.validity.count());
    wire_grant->refill_ms = static_cast<std::uint32_t>(grant.refill.count());
    wire_grant->owned = grant.owned;
    wire_grant->released = grant.released;
    reply.grants.push_back(std::move(wire_grant));
  }
  return reply;
}

}  // namespace siskinrack::mesh
