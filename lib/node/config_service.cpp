#include "config_service.h"

#include <algorithm>
#include <random>

namespace siskinrack::node {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kConfigTimeout{2'000};
constexpr milliseconds kWatchWait{10'000};
constexpr milliseconds kWatchPause{200};
constexpr std::size_t kNoticeFanout = 4;
constexpr std::string_view kHeadObject = "config/head";

std::mt19937_64& Random() {
  thread_local std::mt19937_64 random{std::random_device{}()};
  return random;
}

}  // namespace

void config_service::Start() {
  context_.runtime.Post(0, [this] { WatchLoop(); });
}

std::string config_service::last_rejection() const {
  const std::lock_guard lock(mutex_);
  return last_rejection_;
}

bool config_service::IsWatcher() const {
  for (const auto& member : context_.members.All()) {
    const bool rival = member.failure_domain == context_.settings.failure_domain &&
                       member.health == wire::member_health::alive &&
                       member.state != wire::upstream_state::left;
    if (rival) return member.node_id == context_.settings.node_id;
  }
  return true;
}

void config_service::WatchLoop() {
  std::uint64_t revision = 0;
  while (!context_.refusing) {
    if (!IsWatcher()) {
      net::SleepFor(kWatchPause);
      continue;
    }
    const std::uint64_t next = WatchOnce(revision);
    if (next == revision) net::SleepFor(kWatchPause);
    revision = next;
  }
}

std::uint64_t config_service::WatchOnce(std::uint64_t revision) {
  auto result = context_.store.Watch(kHeadObject, revision, kWatchWait);
  if (const auto* error = std::get_if<platform::store_error>(&result)) {
    context_.log.Write(support::log_level::kDebug, "watch_failed",
                       {{"code", platform::Name(error->code)}, {"message", error->message}});
    return revision;
  }
  const auto& watched = std::get<platform::watch_result>(result);
  for (const platform::stored_object& object : watched.changed) {
    support::findings problems;
    Offer(object.value, "platform", problems);
  }
  return watched.revision;
}

void config_service::Offer(std::string_view config_json, std::string_view source,
                           support::findings& problems) {
  const config_snapshot_ptr active = context_.config.Activate(config_json, problems);
  if (!problems.empty()) {
    context_.log.Warn("config_rejected", {{"source", source}, {"findings", problems.ToText()}});
    const std::lock_guard lock(mutex_);
    last_rejection_ = problems.ToText();
    return;
  }
  if (active == nullptr) return;
  context_.log.Info(
      "config_active",
      {{"version", active->config.version}, {"digest", active->digest}, {"source", source}});
  on_active_(active->config.version);
  NotifyPeers();
}

void config_service::NotifyPeers() {
  const config_snapshot_ptr snapshot = context_.config.Current();
  auto members = context_.members.All();
  std::erase_if(members, [&](const auto& member) {
    return member.node_id == context_.settings.node_id ||
           member.health != wire::member_health::alive;
  });
  std::shuffle(members.begin(), members.end(), Random());
  if (members.size() > kNoticeFanout) members.resize(kNoticeFanout);
  for (const auto& member : members) {
    const auto address = support::ParseSocketAddress(member.peer_address);
    if (!address) continue;
    wire::version_notice_t notice;
    notice.version = snapshot->config.version;
    notice.digest = snapshot->digest;
    context_.peers.Send(*address, wire::MakeEnvelope(std::move(notice)));
  }
}

void config_service::OnPeerVersion(const support::socket_address& peer, std::uint64_t version) {
  const config_snapshot_ptr held = context_.config.Current();
  if (version <= held->config.version) return;
  wire::config_request_t request;
  request.have_version = held->config.version;
  request.have_digest = held->digest;
  auto result = context_.peers.Request(peer, wire::MakeEnvelope(std::move(request)),
                                       std::chrono::steady_clock::now() + kConfigTimeout);
  const auto* update = result.reply == nullptr ? nullptr : result.reply->message.Asconfig_update();
  if (update == nullptr || !update->full) return;
  support::findings problems;
  Offer({reinterpret_cast<const char*>(update->payload.data()), update->payload.size()},
        result.reply->sender, problems);
}

std::optional<wire::envelope_t> config_service::Handle(const wire::envelope_t& message) {
  if (const auto* notice = message.message.Asversion_notice()) {
    const auto sender = context_.members.Find(message.sender);
    if (!sender) return std::nullopt;
    const auto address = support::ParseSocketAddress(sender->peer_address);
    if (address) OnPeerVersion(*address, notice->version);
    return std::nullopt;
  }
  if (message.message.Asconfig_request() != nullptr) {
    const config_snapshot_ptr snapshot = context_.config.Current();
    wire::config_update_t update;
    update.version = snapshot->config.version;
    update.digest = snapshot->digest;
    update.full = true;
    update.payload.assign(snapshot->json.begin(), snapshot->json.end());
    return wire::MakeEnvelope(std::move(update));
  }
  return std::nullopt;
}

}  // namespace siskinrack::node
