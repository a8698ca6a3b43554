#include "membership_service.h"

#include <random>

namespace siskinrack::node {
namespace {

using membership::member_change;
using membership::message_purpose;
using membership::outgoing_message;
using membership::time_ms;
using std::chrono::milliseconds;

/// Interval between the ticks of the gossip protocol. Must be shorter than the shortest period of
/// the protocol, the 300 ms over which it spreads the probes after a broken link.
constexpr milliseconds kTickInterval{100};
constexpr milliseconds kServingProbeInterval{1'000};
constexpr milliseconds kStartingProbeInterval{50};

std::mt19937_64& GetRandomEngine() {
  thread_local std::mt19937_64 random{std::random_device{}()};
  return random;
}

time_ms Now() {
  return std::chrono::duration_cast<time_ms>(std::chrono::steady_clock::now().time_since_epoch());
}

std::uint64_t ComputeStartTimeMs(milliseconds clock_skew) {
  const auto now = std::chrono::system_clock::now().time_since_epoch() + clock_skew;
  return static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(now).count());
}

std::string_view GetEventName(member_change change) {
  switch (change) {
    case member_change::kAlive:
      return "member_alive";
    case member_change::kSuspect:
      return "member_suspect";
    case member_change::kDead:
      return "member_dead";
    case member_change::kDraining:
      break;
  }
  return "member_draining";
}

std::vector<std::string> FormatSeeds(const node_settings& settings) {
  std::vector<std::string> seeds;
  for (const auto& seed : settings.seeds) seeds.push_back(seed.ToText());
  return seeds;
}

}  // namespace

membership_service::membership_service(node_context& context, serving_service& serving,
                                       peer_version_listener on_peer_version)
    : context_(context),
      serving_(serving),
      on_peer_version_(std::move(on_peer_version)),
      gossip_(context.members, FormatSeeds(context.settings)) {}

void membership_service::Start(const support::socket_address& peer_address,
                               const support::socket_address& admin_address) {
  const node_settings& settings = context_.settings;
  membership::member_record self;
  self.node_id = settings.node_id;
  self.failure_domain = settings.failure_domain;
  self.region = settings.region;
  self.peer_address = settings.advertise_address.value_or(peer_address).ToText();
  self.admin_address = admin_address.ToText();
  self.service = settings.service;
  self.slots = settings.slots;
  self.incarnation = ComputeStartTimeMs(settings.clock_skew);
  self.served_version = context_.config.Current()->config.version;
  self.state =
      settings.upstream_address ? wire::upstream_state::starting : wire::upstream_state::none;
  ProcessGossipOutput(gossip_.Start(std::move(self), Now(), GetRandomEngine()));
  context_.peers.OnLinkBroken(
      [this](const support::socket_address& address) { OnLinkBroken(address); });
  context_.runtime.Post(0, [this] { RunTickLoop(); });
  if (settings.upstream_address) context_.runtime.Post(0, [this] { RunUpstreamProbeLoop(); });
}

void membership_service::AnnounceState(wire::upstream_state state) {
  // Runs in a fiber, because this function may be called from outside the runtime.
  context_.runtime.Post(
      0, [this, state] { ProcessGossipOutput(gossip_.SetState(state, Now(), GetRandomEngine())); });
}

void membership_service::AddSeeds(const std::vector<support::socket_address>& seeds) {
  std::vector<std::string> addresses;
  addresses.reserve(seeds.size());
  for (const auto& seed : seeds) addresses.push_back(seed.ToText());
  gossip_.AddSeeds(addresses);
}

void membership_service::PublishServedVersion(std::uint64_t version) {
  gossip_.SetServedVersion(version);
}

void membership_service::RunTickLoop() {
  // A node that refuses new requests still takes part in the protocol until it exits, so that peers
  // receive its state and do not suspect it while it completes requests.
  while (true) {
    ProcessGossipOutput(gossip_.Tick(Now(), GetRandomEngine()));
    net::SleepFor(kTickInterval);
  }
}

void membership_service::ProcessGossipOutput(membership::gossip_output output) {
  for (const auto& event : output.events) {
    context_.log.Info(GetEventName(event.change), {{"member", event.node_id}});
  }
  for (outgoing_message& message : output.messages) {
    const auto address = support::ParseSocketAddress(message.address);
    if (!address) continue;
    if (message.purpose == message_purpose::kPush) {
      context_.peers.Send(*address, std::move(message.message));
      continue;
    }
    FillConfigFields(message.message.message.Asexchange());
    auto shared = std::make_shared<outgoing_message>(std::move(message));
    net::Spawn([this, shared] { SendAndAwait(std::move(*shared)); });
  }
}

void membership_service::SendAndAwait(outgoing_message message) {
  const auto address = support::ParseSocketAddress(message.address);
  if (!address) return;
  const auto deadline = std::chrono::steady_clock::now() + message.timeout;
  const auto result = context_.peers.Request(*address, message.message, deadline);
  if (result.reply == nullptr) {
    ProcessGossipOutput(gossip_.OnNoReply(message, Now(), GetRandomEngine()));
    return;
  }
  ProcessGossipOutput(gossip_.OnReply(message, *result.reply, Now(), GetRandomEngine()));
  ProcessConfigFields(*result.reply, message.address);
}

void membership_service::ProcessConfigFields(const wire::envelope_t& message,
                                             const std::string& address) {
  const auto* exchange = message.message.Asexchange();
  const auto* reply = message.message.Asexchange_reply();
  if (exchange == nullptr && reply == nullptr) return;
  if (exchange != nullptr) RecordLeaseReport(message.sender, *exchange);
  if (reply != nullptr) RecordLeaseReport(message.sender, *reply);
  const std::uint64_t version =
      exchange != nullptr ? exchange->config_version : reply->config_version;
  if (const auto peer = support::ParseSocketAddress(address)) on_peer_version_(*peer, version);
}

template <typename Exchange>
void membership_service::RecordLeaseReport(const std::string& sender, const Exchange& exchange) {
  const auto member = context_.members.Find(sender);
  if (!member || member->failure_domain != context_.settings.failure_domain) return;
  context_.watcher_lease_reports.OnPeerReport(
      {exchange.watcher_node, milliseconds(exchange.watcher_age_ms)},
      std::chrono::steady_clock::now());
}

template <typename Exchange>
void membership_service::FillConfigFields(Exchange* exchange) const {
  if (exchange == nullptr) return;
  const config_snapshot_ptr snapshot = context_.config.Current();
  exchange->config_version = snapshot->config.version;
  exchange->config_digest = snapshot->digest;
  const auto watcher = context_.watcher_lease_reports.Current(std::chrono::steady_clock::now());
  exchange->watcher_node = watcher.holder;
  exchange->watcher_age_ms = static_cast<std::uint32_t>(watcher.age.count());
}

bool membership_service::IsReachable(const std::string& address) {
  const auto target = support::ParseSocketAddress(address);
  if (!target) return false;
  const auto deadline = std::chrono::steady_clock::now() + membership::kReplyTimeout;
  return context_.peers.Request(*target, wire::MakeEnvelope(wire::probe_request_t{}), deadline)
             .reply != nullptr;
}

void membership_service::OnLinkBroken(const support::socket_address& address) {
  const std::string text = address.ToText();
  for (const auto& member : context_.members.All()) {
    if (member.peer_address == text) gossip_.OnLinkBroken(member.node_id, Now(), GetRandomEngine());
  }
}

void membership_service::RunUpstreamProbeLoop() {
  bool serving = false;
  while (!context_.draining) {
    const bool healthy = serving_.ProbeUpstream();
    if (healthy && !serving && !context_.draining) {
      serving = true;
      ProcessGossipOutput(
          gossip_.SetState(wire::upstream_state::serving, Now(), GetRandomEngine()));
      context_.log.Info("upstream_serving", {{"service", context_.settings.service}});
    }
    net::SleepFor(serving ? kServingProbeInterval : kStartingProbeInterval);
  }
}

std::optional<wire::envelope_t> membership_service::Handle(const wire::envelope_t& message) {
  if (message.message.Asexchange() == nullptr && message.message.Asprobe_request() == nullptr) {
    return std::nullopt;
  }
  const bool reply_requested = message.correlation_id != 0;
  // A push from the holder of the watcher lease contains only the report of its renewal.
  const auto* push = reply_requested ? nullptr : message.message.Asexchange();
  if (push != nullptr) RecordLeaseReport(message.sender, *push);
  auto output =
      gossip_.OnRequest(message.sender, message.message, reply_requested, Now(), GetRandomEngine());
  auto reply = std::move(output.reply);
  const auto probe_address = std::move(output.probe_address);
  ProcessGossipOutput(std::move(output));
  // A push contains no version.
  const auto sender = reply_requested ? context_.members.Find(message.sender) : std::nullopt;
  if (sender) {
    // In a fiber of its own: the listener may fetch a configuration, which takes longer than the
    // peer waits for this reply.
    net::Spawn(
        [this, address = sender->peer_address, copy = std::make_shared<wire::envelope_t>(message)] {
          ProcessConfigFields(*copy, address);
        });
  }
  if (!reply) return std::nullopt;
  FillConfigFields(reply->message.Asexchange_reply());
  if (auto* probe = reply->message.Asprobe_reply(); probe != nullptr && probe_address) {
    probe->reachable = IsReachable(*probe_address);
  }
  return reply;
}

}  // namespace siskinrack::node
