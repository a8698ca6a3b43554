#include "config_service.h"

#include <algorithm>
#include <random>

#include "siskinrack/config/canonical_json.h"

namespace siskinrack::node {
namespace {

using distribution::milliseconds;

/// Timeout of a configuration request; enough to transfer a full copy of 1 MB.
constexpr milliseconds kConfigTimeout{2'000};
constexpr milliseconds kRequestTimeout{500};
constexpr milliseconds kTick{20};
constexpr milliseconds kFloorRetry{1'000};
/// Interval at which the served versions in the member records are recorded.
constexpr milliseconds kRecordInterval{500};
constexpr std::string_view kHeadObject = "config/head";

distribution::random_engine& GetRandomEngine() {
  thread_local distribution::random_engine random{std::random_device{}()};
  return random;
}

distribution::time_point Now() { return std::chrono::steady_clock::now(); }

}  // namespace

std::vector<distribution::peer_view> MakePeerViews(
    std::span<const membership::member_record> members) {
  std::vector<distribution::peer_view> views;
  for (const auto& member : members) {
    const bool left = member.state == wire::upstream_state::left;
    views.push_back({member.node_id, member.failure_domain,
                     left ? wire::member_health::dead : member.health, member.served_version});
  }
  return views;
}

config_service::config_service(node_context& context, activation_listener on_active)
    : context_(context),
      on_active_(std::move(on_active)),
      agent_(context.settings.node_id, context.settings.failure_domain, witnesses_, Now()) {}

void config_service::Start() {
  context_.runtime.Post(0, [this] { RunTickLoop(); });
  context_.runtime.Post(0, [this] { RunFloorLoop(); });
}

std::string config_service::last_rejection() const {
  const std::lock_guard lock(mutex_);
  if (!agent_.rejected()) return {};
  return "version " + std::to_string(agent_.rejected()->version) + ": " +
         agent_.rejected()->problems.ToText();
}

std::vector<distribution::peer_view> config_service::MakeViewsOfOtherNodes() const {
  auto views = MakePeerViews(context_.members.All());
  std::erase_if(views, [&](const auto& view) { return view.node_id == context_.settings.node_id; });
  return views;
}

void config_service::RunTickLoop() {
  auto next_record = Now();
  while (!context_.refusing) {
    AdvanceAgent();
    if (Now() >= next_record) {
      RecordServedVersions();
      next_record = Now() + kRecordInterval;
    }
    net::SleepFor(kTick);
  }
}

/// Copies the served versions to the witness table, because a member record is replaced when its
/// node restarts.
void config_service::RecordServedVersions() {
  for (const auto& member : context_.members.All()) {
    if (member.served_version > 0) witnesses_.Record(member.node_id, member.served_version);
  }
}

/// Reads the head from the platform, at most once per kFloorRetry, until the floor is known.
void config_service::RunFloorLoop() {
  while (!context_.refusing) {
    {
      const std::lock_guard lock(mutex_);
      if (agent_.floor().is_known()) return;
    }
    auto result = context_.store.Get(kHeadObject);
    if (const auto* error = std::get_if<platform::store_error>(&result)) {
      if (error->code == platform::store_errc::kNotFound) {
        const std::lock_guard lock(mutex_);
        agent_.OnPlatformHead(0);
        return;
      }
    } else {
      const std::string& text = std::get<platform::stored_object>(result).value;
      support::findings problems;
      SubmitConfig(text, "platform", problems);
      const auto config = config::ConfigFromJson(text, problems);
      // No node has served an invalid head, and a floor at its version could not be reached. The
      // floor then comes from peers.
      if (config && problems.empty()) {
        const std::lock_guard lock(mutex_);
        agent_.OnPlatformHead(config->version);
      }
    }
    net::SleepFor(kFloorRetry);
  }
}

void config_service::SubmitConfig(std::string_view config_json, std::string_view source,
                                  support::findings& problems) {
  {
    const std::lock_guard lock(mutex_);
    agent_.OnConfig(config_json, source, problems);
  }
  AdvanceAgent();
}

void config_service::OnPeerVersion(const support::socket_address& peer, std::uint64_t version) {
  {
    const std::lock_guard lock(mutex_);
    if (version <= agent_.held()->config.version) return;
    agent_.OnPeerVersion(peer.ToText(), version, Now());
  }
  AdvanceAgent();
}

void config_service::AdvanceAgent() {
  std::vector<distribution::outgoing_message> messages;
  {
    const std::lock_guard lock(mutex_);
    if (agent_.HasPendingWork()) agent_.Advance(MakeViewsOfOtherNodes(), Now(), GetRandomEngine());
    messages = agent_.TakeMessages();
    LogFloor();
    LogRejection();
    for (const distribution::activation& next : agent_.TakeActivations()) Activate(next);
  }
  for (distribution::outgoing_message& message : messages) SendMessage(std::move(message));
}

void config_service::Activate(const distribution::activation& next) {
  const std::uint64_t version = next.snapshot->config.version;
  if (next.witnesses < next.witnesses_required || next.witnesses == 0) {
    context_.log.Warn(
        "witness_shortfall",
        {{"version", version}, {"witnesses", next.witnesses}, {"wanted", next.witnesses_required}});
  }
  context_.log.Info("witnessed", {{"version", version}, {"witnesses", next.witnesses}});
  if (!context_.config.Activate(next.snapshot)) return;
  context_.log.Info(
      "config_active",
      {{"version", version}, {"digest", next.snapshot->digest}, {"source", next.source}});
  on_active_(version);
}

void config_service::LogFloor() {
  if (floor_logged_ || !agent_.floor().is_known()) return;
  floor_logged_ = true;
  context_.log.Info("floor_known",
                    {{"version", agent_.floor().version()},
                     {"source", agent_.floor().from_platform() ? "platform" : "peers"}});
}

void config_service::LogRejection() {
  const auto& rejected = agent_.rejected();
  if (!rejected || rejected->digest == logged_rejection_) return;
  logged_rejection_ = rejected->digest;
  context_.log.Warn("config_rejected", {{"version", rejected->version},
                                        {"source", rejected->source},
                                        {"findings", rejected->problems.ToText()}});
}

std::optional<support::socket_address> config_service::FindAddress(const std::string& peer) const {
  const auto member = context_.members.Find(peer);
  return support::ParseSocketAddress(member ? member->peer_address : peer);
}

void config_service::SendMessage(distribution::outgoing_message message) {
  const auto address = FindAddress(message.to);
  if (!address) return;
  if (message.body.type == wire::message::version_notice) {
    wire::envelope_t envelope;
    envelope.message = std::move(message.body);
    context_.peers.Send(*address, std::move(envelope));
    return;
  }
  auto shared = std::make_shared<distribution::outgoing_message>(std::move(message));
  net::Spawn([this, address = *address, shared] { SendAndAwait(address, std::move(*shared)); });
}

void config_service::SendAndAwait(const support::socket_address& address,
                                  distribution::outgoing_message message) {
  const auto* witness = message.body.Aswitness_request();
  const std::uint64_t witnessed_version = witness == nullptr ? 0 : witness->version;
  const bool is_config_request = message.body.type == wire::message::config_request;
  wire::envelope_t envelope;
  envelope.message = std::move(message.body);
  const auto result = context_.peers.Request(
      address, std::move(envelope), Now() + (is_config_request ? kConfigTimeout : kRequestTimeout));
  if (result.reply == nullptr) return;
  {
    const std::lock_guard lock(mutex_);
    const wire::messageUnion& reply = result.reply->message;
    if (const auto* update = reply.Asconfig_update()) {
      agent_.OnUpdate(message.to, *update, Now());
    } else if (const auto* recorded = reply.Aswitness_reply()) {
      agent_.OnWitnessReply(message.to, witnessed_version, recorded->recorded);
    } else if (const auto* floor = reply.Asfloor_reply()) {
      agent_.OnFloorReply(message.to, *floor, Now());
    }
  }
  AdvanceAgent();
}

std::optional<wire::envelope_t> config_service::Handle(const wire::envelope_t& message) {
  std::optional<wire::envelope_t> reply;
  {
    const std::lock_guard lock(mutex_);
    if (const auto* notice = message.message.Asversion_notice()) {
      agent_.OnPeerVersion(message.sender, notice->version, Now());
    } else if (const auto* request = message.message.Asconfig_request()) {
      reply = wire::MakeEnvelope(agent_.Answer(*request));
    } else if (const auto* witness = message.message.Aswitness_request()) {
      reply = wire::MakeEnvelope(agent_.Answer(message.sender, *witness, Now()));
    } else if (const auto* floor = message.message.Asfloor_request()) {
      auto answer = agent_.Answer(*floor, MakeViewsOfOtherNodes());
      if (answer) reply = wire::MakeEnvelope(std::move(*answer));
    }
  }
  AdvanceAgent();
  return reply;
}

}  // namespace siskinrack::node
