#include "freshness_keeper.h"

#include <algorithm>
#include <set>

#include "siskinrack/distribution/peer_view.h"

namespace siskinrack::mesh {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;
using support::boot_clock;

constexpr milliseconds kTick{200};
/// Age at which a proof is renewed.
constexpr milliseconds kRenewAge{1'000};
/// Age up to which the proof of a prover is good enough. Exceeds the age that two working steps add
/// up to, so that other nodes read the store only when their provers can't.
constexpr milliseconds kGoodAge{2'500};
/// Shortest time between two reads of a node that is not a prover. A store that refuses calls is
/// paid for each of them.
constexpr milliseconds kOwnReadInterval{1'000};
/// Round trip inside a failure domain over a link that is as busy as the callers make it.
constexpr milliseconds kReplyTimeout{600};
/// Two provers, so that one that is killed is covered until it is removed from the endpoints.
constexpr std::size_t kProversPerDomain = 2;
/// Replies in a row with a newer version before the watch call counts as silent.
constexpr int kMaxNewerReplies = 2;

}  // namespace

bool freshness_keeper::IsActive() const {
  return context_.settings.revocation_limit.count() > 0 && context_.routes != nullptr &&
         !context_.routes->config().tenants.empty();
}

bool freshness_keeper::IsYounger(milliseconds limit) const {
  return context_.config_proof.IsYounger(limit, boot_clock::now());
}

void freshness_keeper::Run() {
  while (true) {
    net::SleepFor(kTick);
    if (!IsActive()) continue;
    const std::vector<support::socket_address> provers = FindProvers();
    const bool proves = UpdateRole(provers);
    // A prover has a proof of its own soon, unless the store doesn't answer it.
    if (!IsYounger(proves ? kGoodAge : kRenewAge)) Refresh(provers);
  }
}

bool freshness_keeper::UpdateRole(const std::vector<support::socket_address>& provers) {
  const auto& self = context_.settings.peer_address;
  const bool proves = std::find(provers.begin(), provers.end(), self) != provers.end();
  if (proves != proving_) set_proving_(proves);
  proving_ = proves;
  return proves;
}

void freshness_keeper::Refresh(const std::vector<support::socket_address>& provers) {
  for (const support::socket_address& prover : provers) {
    if (prover != context_.settings.peer_address && Ask(prover)) return;
  }
  if (proving_ || IsYounger(kGoodAge) || steady_clock::now() - last_own_read_ < kOwnReadInterval)
    return;
  last_own_read_ = steady_clock::now();
  read_store_();
}

std::vector<support::socket_address> freshness_keeper::FindProvers() const {
  std::map<std::string, support::socket_address> nodes;
  for (const routing::endpoint& endpoint : context_.endpoints.All()) {
    if (endpoint.zone != context_.settings.zone) continue;
    nodes.emplace(endpoint.node_address.ToText(), endpoint.node_address);
  }
  std::vector<std::string> names;
  names.reserve(nodes.size());
  for (const auto& [name, address] : nodes) names.push_back(name);
  std::vector<support::socket_address> provers;
  for (const std::string& name :
       distribution::SelectTopRanked(context_.settings.zone, std::move(names), kProversPerDomain)) {
    provers.push_back(nodes.at(name));
  }
  return provers;
}

bool freshness_keeper::Ask(const support::socket_address& prover) {
  // The age that the reply states has grown since this time by less than the time on the way.
  const auto requested_at = boot_clock::now();
  const auto result = context_.peers.Request(
      prover, wire::MakeEnvelope(wire::freshness_request_t()), steady_clock::now() + kReplyTimeout);
  const auto* reply = result.reply == nullptr ? nullptr : result.reply->message.Asfreshness_reply();
  if (reply == nullptr || !reply->proved) return false;
  if (reply->config_version > context_.version()) {
    if (++newer_replies_ >= kMaxNewerReplies) {
      newer_replies_ = 0;
      read_store_();
    }
    return false;
  }
  newer_replies_ = 0;
  context_.config_proof.OnProof(reply->config_version, context_.version(),
                                requested_at - milliseconds(reply->age_ms));
  return IsYounger(kGoodAge);
}

wire::freshness_reply_t freshness_keeper::MakeReply() const {
  wire::freshness_reply_t reply;
  const auto proved_at = context_.config_proof.proved_at();
  if (!proved_at) return reply;
  reply.proved = true;
  reply.config_version = context_.version();
  // Rounded up, because the age bounds the time of the proof.
  const auto age = std::chrono::ceil<milliseconds>(boot_clock::now() - *proved_at);
  constexpr std::int64_t kMaxAgeMs = 1'000'000'000;
  reply.age_ms = static_cast<std::uint32_t>(std::clamp<std::int64_t>(age.count(), 0, kMaxAgeMs));
  return reply;
}

}  // namespace siskinrack::mesh
