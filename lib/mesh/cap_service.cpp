#include "cap_service.h"

#include <algorithm>

#include "siskinrack/distribution/peer_view.h"

namespace siskinrack::mesh {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

/// Time for the reply of a candidate, which may have used up its processor time of a tenth of a
/// second and may have to ask another candidate first. A busier one is avoided for a while.
constexpr milliseconds kReplyTimeout{400};
constexpr milliseconds kTick{200};
/// Shortest time between two reads of the list of nodes that acquisitions ask for.
constexpr milliseconds kNodesReadInterval{500};
/// Time between two log lines about the grants of one shard.
constexpr milliseconds kGrantLogInterval{1'000};

/// Returns the age of a proof in milliseconds, or -1 without one.
std::int64_t ToAgeMs(std::optional<support::boot_clock::time_point> proved_at) {
  if (!proved_at) return -1;
  return std::chrono::duration_cast<milliseconds>(support::boot_clock::now() - *proved_at).count();
}

}  // namespace

std::optional<support::boot_clock::time_point> cap_peers::ProvedAt() const {
  return context_.config_proof.proved_at();
}

std::vector<std::string> cap_peers::Rank(const std::string& shard, std::vector<std::string> nodes,
                                         std::size_t count) {
  return distribution::SelectTopRanked(shard, std::move(nodes), count);
}

std::optional<tenancy::usage_cap> cap_peers::FindCap(const std::string& tenant) const {
  if (context_.routes == nullptr) return std::nullopt;
  const tenancy::tenant* known = context_.routes->FindTenantByName(tenant);
  if (known == nullptr) return std::nullopt;
  return tenancy::usage_cap{known->rate_per_second, known->burst};
}

tenancy::cap_exchange cap_peers::Ask(const std::string& node, const tenancy::cap_demand& demand,
                                     net::steady_time deadline) {
  const auto target = support::ParseSocketAddress(node);
  if (!target) return {};
  wire::token_request_t request;
  request.config_version = context_.version();
  request.relayed = demand.relayed;
  request.claimant = demand.claimant;
  auto wire_demand = std::make_unique<wire::token_demand_t>();
  wire_demand->tenant = demand.tenant;
  wire_demand->wanted = demand.wanted;
  wire_demand->shard = static_cast<std::uint16_t>(demand.shard);
  request.demands.push_back(std::move(wire_demand));
  const auto result =
      context_.peers.Request(*target, wire::MakeEnvelope(std::move(request)),
                             std::min(deadline, steady_clock::now() + kReplyTimeout));
  const auto* reply = result.reply == nullptr ? nullptr : result.reply->message.Astoken_reply();
  if (reply == nullptr || reply->grants.size() != 1) return {std::nullopt, result.refused};
  const wire::token_grant_t& grant = *reply->grants.front();
  return {tenancy::cap_grant{.tokens = grant.granted,
                             .validity = milliseconds(grant.valid_ms),
                             .refill = milliseconds(grant.refill_ms),
                             .owned = grant.owned,
                             .released = grant.released,
                             .clear = grant.clear,
                             .held = grant.held,
                             .holder = grant.holder,
                             .listed = grant.listed,
                             .settled = grant.settled,
                             .fresh = grant.fresh,
                             .idle = grant.idle},
          false};
}

void cap_peers::OnGranted(const std::string& shard, std::uint32_t tokens, std::size_t rank) {
  unlogged_grants& granted = granted_[shard];
  granted.tokens += tokens;
  const auto now = steady_clock::now();
  if (granted.tokens == 0 || now - granted.logged_at < kGrantLogInterval) return;
  context_.log.Info("cap_granted", {{"shard", shard},
                                    {"tokens", granted.tokens},
                                    {"rank", rank},
                                    {"nodes", CountNodes()},
                                    {"nodes_version", FindVersion()},
                                    {"nodes_age_ms", ToAgeMs(context_.cap_nodes.proved_at())},
                                    {"config_age_ms", ToAgeMs(ProvedAt())}});
  granted = {0, now};
}

void cap_peers::OnAcquired(const std::string& shard, const std::string& way) {
  context_.log.Info("cap_acquired", {{"shard", shard},
                                     {"way", way},
                                     {"nodes", CountNodes()},
                                     {"nodes_version", FindVersion()},
                                     {"nodes_age_ms", ToAgeMs(context_.cap_nodes.proved_at())}});
}

void cap_peers::OnYielded(const std::string& shard, const std::string& node) {
  context_.log.Info("cap_yielded",
                    {{"shard", shard}, {"to", node}, {"nodes_version", FindVersion()}});
}

void cap_peers::OnTouch(bool in_touch) {
  context_.log.Info(in_touch ? "caps_in_touch" : "caps_out_of_touch",
                    {{"nodes_age_ms", ToAgeMs(context_.cap_nodes.proved_at())},
                     {"config_age_ms", ToAgeMs(ProvedAt())}});
}

void cap_peers::ReadNodes() {
  const auto now = steady_clock::now();
  if (now - nodes_read_at_ < kNodesReadInterval) return;
  nodes_read_at_ = now;
  actions_.read_nodes();
}

std::size_t cap_peers::CountNodes() const {
  const auto* newest = context_.cap_nodes.newest();
  return newest == nullptr ? 0 : newest->nodes.size();
}

std::uint64_t cap_peers::FindVersion() const {
  const auto* newest = context_.cap_nodes.newest();
  return newest == nullptr ? 0 : newest->version;
}

void cap_service::Run() {
  while (true) {
    net::SleepFor(kTick);
    const bool in_touch = node_.Tick();
    if (in_touch != std::exchange(in_touch_, in_touch)) peers_.OnTouch(in_touch);
  }
}

void cap_service::OnConfiguration() {
  const auto is_removed = [this](const std::string& tenant) {
    return context_.routes->FindTenantByName(tenant) == nullptr;
  };
  node_.Discard(is_removed);
  peers_.Discard([&](const std::string& shard) { return is_removed(node::FindTenant(shard)); });
}

wire::token_reply_t cap_service::OnRequest(const wire::token_request_t& request) {
  wire::token_reply_t reply;
  for (const auto& demand : request.demands) {
    const tenancy::cap_grant grant = node_.OnDemand({.tenant = demand->tenant,
                                                     .shard = demand->shard,
                                                     .wanted = demand->wanted,
                                                     .relayed = request.relayed,
                                                     .claimant = request.claimant});
    auto wire_grant = std::make_unique<wire::token_grant_t>();
    wire_grant->granted = grant.tokens;
    wire_grant->valid_ms = static_cast<std::uint32_t>(grant.validity.count());
    wire_grant->refill_ms = static_cast<std::uint32_t>(grant.refill.count());
    wire_grant->owned = grant.owned;
    wire_grant->released = grant.released;
    wire_grant->clear = grant.clear;
    wire_grant->held = grant.held;
    wire_grant->holder = grant.holder;
    wire_grant->listed = grant.listed;
    wire_grant->settled = grant.settled;
    wire_grant->fresh = grant.fresh;
    wire_grant->idle = grant.idle;
    reply.grants.push_back(std::move(wire_grant));
  }
  return reply;
}

}  // namespace siskinrack::mesh
