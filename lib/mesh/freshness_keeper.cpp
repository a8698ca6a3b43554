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
/// Time in which a prover that did not reply, or had no young proof, is asked after the others.
/// Longer than endpoint_reaper takes to remove a node that is gone.
constexpr milliseconds kUselessTime{20'000};
/// Bounds memory, because machines are replaced.
constexpr std::size_t kMaxProvers = 64;
/// Time after the start in which a node that is not a prover doesn't read the store.
constexpr milliseconds kFirstReadDelay{600};
/// Round trip inside a failure domain over a link that is as busy as the callers make it.
constexpr milliseconds kReplyTimeout{600};
/// Two provers, so that one that is killed is covered until it is removed from the endpoints.
constexpr std::size_t kProversPerDomain = 2;
/// Replies in a row with a newer version before the watch call counts as silent.
constexpr int kMaxNewerReplies = 2;

}  // namespace

bool freshness_keeper::IsActive() const {
  if (context_.routes == nullptr || context_.routes->config().tenants.empty()) return false;
  return context_.settings.revocation_limit.count() > 0 || HasCaps();
}

bool freshness_keeper::HasCaps() const {
  const auto& tenants = context_.routes->config().tenants;
  return std::any_of(tenants.begin(), tenants.end(),
                     [](const tenancy::tenant& entry) { return entry.rate_per_second > 0; });
}

bool freshness_keeper::IsConfigurationYounger(milliseconds limit) const {
  return context_.config_proof.IsYounger(limit, boot_clock::now());
}

bool freshness_keeper::AreNodesYounger(milliseconds limit) const {
  if (!HasCaps()) return true;
  const auto proved_at = context_.cap_nodes.proved_at();
  return proved_at && boot_clock::now() - *proved_at < limit;
}

void freshness_keeper::Run() {
  while (true) {
    net::SleepFor(kTick);
    if (!IsActive()) continue;
    if (!active_since_) active_since_ = steady_clock::now();
    const std::vector<support::socket_address> provers = FindProvers();
    UpdateRole(provers);
    // A prover has a proof of its own soon, unless the store doesn't answer it.
    if (!IsConfigurationYounger(proving_ ? kGoodAge : kRenewAge) ||
        !AreNodesYounger(proving_nodes_ ? kGoodAge : kRenewAge)) {
      Refresh(provers);
    }
  }
}

void freshness_keeper::UpdateRole(const std::vector<support::socket_address>& provers) {
  const auto& self = context_.settings.peer_address;
  const bool proves = std::find(provers.begin(), provers.end(), self) != provers.end();
  // Other nodes ask the second prover only if the first one doesn't reply.
  const auto first = std::find_if(provers.begin(), provers.end(),
                                  [this](const auto& prover) { return !IsUseless(prover); });
  const bool proves_nodes = first != provers.end() && *first == self && HasCaps();
  if (proves != proving_ || proves_nodes != proving_nodes_) {
    sources_.set_proving(proves, proves_nodes);
  }
  proving_ = proves;
  proving_nodes_ = proves_nodes;
}

void freshness_keeper::Refresh(const std::vector<support::socket_address>& provers) {
  std::vector<support::socket_address> others = provers;
  std::erase(others, context_.settings.peer_address);
  std::stable_partition(others.begin(), others.end(),
                        [this](const auto& prover) { return !IsUseless(prover); });
  for (const support::socket_address& prover : others) {
    if (Ask(prover)) return;
  }
  if (AreYounger(kGoodAge) || steady_clock::now() - last_own_read_ < kOwnReadInterval) return;
  // The watch calls of a prover bring its proofs, except the first ones, for which callers wait.
  // The other nodes leave provers that have just started the time for these.
  if (!proving_ && steady_clock::now() - *active_since_ < kFirstReadDelay) return;
  const bool reads_configuration =
      !IsConfigurationYounger(kGoodAge) && !(proving_ && context_.config_proof.proved_at());
  const bool reads_nodes =
      !AreNodesYounger(kGoodAge) && !(proving_nodes_ && context_.cap_nodes.proved_at());
  if (!reads_configuration && !reads_nodes) return;
  last_own_read_ = steady_clock::now();
  // A store that doesn't answer one read is paid for the other one, too.
  if (reads_configuration && !sources_.read_configuration()) return;
  if (reads_nodes) sources_.read_nodes();
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

bool freshness_keeper::IsUseless(const support::socket_address& prover) const {
  const auto found = useless_until_.find(prover);
  return found != useless_until_.end() && steady_clock::now() < found->second;
}

bool freshness_keeper::Ask(const support::socket_address& prover) {
  // The age that the reply states has grown since this time by less than the time on the way.
  const auto requested_at = boot_clock::now();
  wire::freshness_request_t request;
  const auto* newest = context_.cap_nodes.newest();
  if (newest != nullptr) request.nodes_version = newest->version;
  const auto result = context_.peers.Request(prover, wire::MakeEnvelope(request),
                                             steady_clock::now() + kReplyTimeout);
  const auto* reply = result.reply == nullptr ? nullptr : result.reply->message.Asfreshness_reply();
  if (reply == nullptr) {
    if (useless_until_.size() >= kMaxProvers) useless_until_.clear();
    useless_until_[prover] = steady_clock::now() + kUselessTime;
    return false;
  }
  OnNodesProof(*reply, requested_at);
  OnConfigurationProof(*reply, requested_at);
  // The store may turn the prover away.
  const bool useful =
      !HasCaps() || (reply->nodes_proved && milliseconds(reply->nodes_age_ms) < kGoodAge);
  if (useful) {
    useless_until_.erase(prover);
  } else {
    useless_until_[prover] = steady_clock::now() + kUselessTime;
  }
  return AreYounger(kGoodAge);
}

void freshness_keeper::OnConfigurationProof(const wire::freshness_reply_t& reply,
                                            boot_clock::time_point requested_at) {
  if (!reply.proved) return;
  if (reply.config_version > context_.version()) {
    if (++newer_replies_ >= kMaxNewerReplies) {
      newer_replies_ = 0;
      sources_.read_configuration();
    }
    return;
  }
  newer_replies_ = 0;
  context_.config_proof.OnProof(reply.config_version, context_.version(),
                                requested_at - milliseconds(reply.age_ms));
}

void freshness_keeper::OnNodesProof(const wire::freshness_reply_t& reply,
                                    boot_clock::time_point requested_at) {
  if (!reply.nodes_proved) return;
  const auto proved_at = requested_at - milliseconds(reply.nodes_age_ms);
  const auto now = boot_clock::now();
  const auto* newest = context_.cap_nodes.newest();
  if (!reply.nodes.empty()) {
    context_.cap_nodes.OnProof({reply.nodes, reply.nodes_version}, proved_at, now);
  } else if (newest != nullptr && newest->version == reply.nodes_version) {
    context_.cap_nodes.OnProof({newest->nodes, newest->version}, proved_at, now);
  }
}

wire::freshness_reply_t freshness_keeper::MakeReply(
    const wire::freshness_request_t& request) const {
  const auto now = boot_clock::now();
  // Rounded up, because the age bounds the time of the proof.
  const auto find_age = [now](boot_clock::time_point proved_at) {
    constexpr std::int64_t kMaxAgeMs = 1'000'000'000;
    const auto age = std::chrono::ceil<milliseconds>(now - proved_at);
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(age.count(), 0, kMaxAgeMs));
  };
  wire::freshness_reply_t reply;
  if (const auto* nodes = context_.cap_nodes.newest()) {
    reply.nodes_proved = true;
    reply.nodes_age_ms = find_age(nodes->proved_at);
    reply.nodes_version = nodes->version;
    if (request.nodes_version != nodes->version) reply.nodes = nodes->nodes;
  }
  const auto proved_at = context_.config_proof.proved_at();
  if (!proved_at) return reply;
  reply.proved = true;
  reply.config_version = context_.version();
  reply.age_ms = find_age(*proved_at);
  return reply;
}

}  // namespace siskinrack::mesh
