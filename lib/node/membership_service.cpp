#include "membership_service.h"

#include <algorithm>
#include <random>

namespace siskinrack::node {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kExchangeInterval{500};
constexpr milliseconds kExchangeTimeout{500};
constexpr milliseconds kProbeInterval{1'000};
constexpr milliseconds kStartProbeInterval{50};
constexpr unsigned kFailuresUntilDead = 3;

std::mt19937_64& Random() {
  thread_local std::mt19937_64 random{std::random_device{}()};
  return random;
}

std::uint64_t StartTimeMs() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(now).count());
}

}  // namespace

void membership_service::Start(const support::socket_address& peer_address,
                               const support::socket_address& admin_address) {
  const node_settings& settings = context_.settings;
  self_.node_id = settings.node_id;
  self_.failure_domain = settings.failure_domain;
  self_.region = settings.region;
  self_.peer_address = settings.advertise_address.value_or(peer_address).ToText();
  self_.admin_address = admin_address.ToText();
  self_.service = settings.service;
  self_.slots = settings.slots;
  self_.incarnation = StartTimeMs();
  Announce(settings.upstream_address ? wire::upstream_state::starting : wire::upstream_state::none);
  context_.runtime.Post(0, [this] { ExchangeLoop(); });
  if (settings.upstream_address) context_.runtime.Post(0, [this] { UpstreamLoop(); });
}

void membership_service::Announce(wire::upstream_state state) {
  const std::lock_guard lock(mutex_);
  self_.state = state;
  self_.served_version = context_.config.Current()->config.version;
  ++self_.sequence;
  context_.members.Merge(self_);
}

void membership_service::ExchangeLoop() {
  while (!context_.refusing) {
    auto members = context_.members.All();
    std::erase_if(members, [&](const auto& member) {
      return member.node_id == context_.settings.node_id ||
             member.health == wire::member_health::dead;
    });
    if (!members.empty()) {
      const auto& peer = members[Random()() % members.size()];
      const auto address = support::ParseSocketAddress(peer.peer_address);
      if (address) ExchangeWith(*address, peer.node_id);
    }
    // Seeds stay in use, so that parts of the fleet that lost each other find together again.
    const auto seeds = Seeds();
    if (!seeds.empty()) ExchangeWith(seeds[Random()() % seeds.size()], "");
    net::SleepFor(kExchangeInterval);
  }
}

template <typename Exchange>
Exchange membership_service::MakeExchange() const {
  Exchange exchange;
  const config_snapshot_ptr snapshot = context_.config.Current();
  exchange.config_version = snapshot->config.version;
  exchange.config_digest = snapshot->digest;
  const auto watcher = context_.watcher.Current(std::chrono::steady_clock::now());
  exchange.watcher_node = watcher.holder;
  exchange.watcher_age_ms = static_cast<std::uint32_t>(watcher.age.count());
  exchange.table_digest = context_.members.Digest();
  for (const auto& member : context_.members.All()) {
    exchange.records.push_back(std::make_unique<wire::member_record_t>(member));
  }
  return exchange;
}

void membership_service::ExchangeWith(const support::socket_address& address,
                                      const std::string& node_id) {
  auto result =
      context_.peers.Request(address, wire::MakeEnvelope(MakeExchange<wire::exchange_t>()),
                             std::chrono::steady_clock::now() + kExchangeTimeout);
  const auto* reply = result.reply == nullptr ? nullptr : result.reply->message.Asexchange_reply();
  if (reply == nullptr) {
    const std::lock_guard lock(mutex_);
    if (node_id.empty() || ++failures_[node_id] < kFailuresUntilDead) return;
    auto record = context_.members.Find(node_id);
    if (!record || record->health == wire::member_health::dead) return;
    record->health = wire::member_health::dead;
    context_.members.Merge(*record);
    context_.log.Info("member_dead", {{"member", node_id}});
    return;
  }
  {
    const std::lock_guard lock(mutex_);
    failures_.erase(result.reply->sender);
  }
  MergeRecords(reply->records);
  HearWatcher(result.reply->sender, *reply);
  on_peer_version_(address, reply->config_version);
}

template <typename Exchange>
void membership_service::HearWatcher(const std::string& sender, const Exchange& exchange) {
  const auto member = context_.members.Find(sender);
  if (!member || member->failure_domain != context_.settings.failure_domain) return;
  context_.watcher.Hear({exchange.watcher_node, milliseconds(exchange.watcher_age_ms)},
                        std::chrono::steady_clock::now());
}

void membership_service::MergeRecords(
    const std::vector<std::unique_ptr<wire::member_record_t>>& records) {
  for (const auto& record : records) {
    if (record->node_id != context_.settings.node_id) {
      context_.members.Merge(*record);
      continue;
    }
    const std::lock_guard lock(mutex_);
    if (!membership::Supersedes(*record, self_)) continue;
    // Someone suspects this node, or remembers an earlier life of it: refute with a higher number.
    self_.incarnation = std::max(self_.incarnation, record->incarnation) + 1;
    self_.sequence = 1;
    context_.members.Merge(self_);
  }
}

std::optional<support::socket_address> membership_service::AddressOf(
    const std::string& node_id) const {
  const auto member = context_.members.Find(node_id);
  return member ? support::ParseSocketAddress(member->peer_address) : std::nullopt;
}

void membership_service::AddSeeds(const std::vector<support::socket_address>& seeds) {
  const std::lock_guard lock(mutex_);
  added_seeds_ = seeds;
}

std::vector<support::socket_address> membership_service::Seeds() const {
  const std::lock_guard lock(mutex_);
  auto seeds = context_.settings.seeds;
  seeds.insert(seeds.end(), added_seeds_.begin(), added_seeds_.end());
  return seeds;
}

void membership_service::UpstreamLoop() {
  bool serving = false;
  while (!context_.draining) {
    const bool healthy = serving_.ProbeUpstream();
    if (healthy && !serving) {
      serving = true;
      Announce(wire::upstream_state::serving);
      context_.log.Info("upstream_serving", {{"service", context_.settings.service}});
    }
    net::SleepFor(serving ? kProbeInterval : kStartProbeInterval);
  }
}

void membership_service::PublishServedVersion(std::uint64_t version) {
  const std::lock_guard lock(mutex_);
  self_.served_version = version;
  ++self_.sequence;
  context_.members.Merge(self_);
}

std::optional<wire::envelope_t> membership_service::Handle(const wire::envelope_t& message) {
  const auto* exchange = message.message.Asexchange();
  if (exchange == nullptr) return std::nullopt;
  MergeRecords(exchange->records);
  HearWatcher(message.sender, *exchange);
  if (const auto address = AddressOf(message.sender)) {
    on_peer_version_(*address, exchange->config_version);
  }
  return wire::MakeEnvelope(MakeExchange<wire::exchange_reply_t>());
}

}  // namespace siskinrack::node
