#include "watcher_service.h"

#include <algorithm>
#include <boost/json.hpp>
#include <random>

#include "siskinrack/config/canonical_json.h"

namespace siskinrack::node {
namespace {

namespace json = boost::json;
using distribution::milliseconds;
using distribution::watcher_lease;

constexpr milliseconds kLeaseTick{50};
constexpr milliseconds kWatchWait{5'000};
constexpr milliseconds kWatchPause{200};
/// Interval of the tasks of the lease holder, and of the computation of this node's rank.
constexpr milliseconds kHolderTaskInterval{1'000};
constexpr milliseconds kPublishInterval{5'000};
/// Time for the seeds to reply before members are requested from the platform.
constexpr milliseconds kSeedReplyWait{3'000};
constexpr milliseconds kJoinInterval{10'000};
constexpr std::string_view kHeadObject = "config/head";
constexpr std::string_view kMembersPrefix = "members/";
/// Maximum number of members listed for each domain for joining nodes; enough that some of them are
/// still alive.
constexpr std::size_t kMaxListedMembers = 16;

distribution::random_engine& GetRandomEngine() {
  thread_local distribution::random_engine random{std::random_device{}()};
  return random;
}

double DrawRandomFraction() {
  return std::uniform_real_distribution<double>(0, 1)(GetRandomEngine());
}

distribution::time_point Now() { return std::chrono::steady_clock::now(); }

bool IsLive(const membership::member_record& member) {
  return member.health == wire::member_health::alive && member.state != wire::upstream_state::left;
}

std::vector<support::socket_address> ParseMemberAddresses(const std::string& text) {
  std::vector<support::socket_address> addresses;
  json::error_code error;
  const json::value body = json::parse(text, error);
  const json::object* object = error ? nullptr : body.if_object();
  const json::value* list = object == nullptr ? nullptr : object->if_contains("addresses");
  if (list == nullptr || !list->is_array()) return addresses;
  for (const json::value& address : list->get_array()) {
    if (!address.is_string()) continue;
    const auto parsed =
        support::ParseSocketAddress({address.get_string().data(), address.get_string().size()});
    if (parsed) addresses.push_back(*parsed);
  }
  return addresses;
}

}  // namespace

watcher_service::watcher_service(node_context& context, config_service& configs,
                                 join_listener on_join)
    : context_(context),
      configs_(configs),
      on_join_(std::move(on_join)),
      lease_name_("lease/watcher-" + context.settings.failure_domain),
      lease_(context.settings.node_id, std::to_string(std::random_device{}()), Now()) {}

void watcher_service::Start() {
  context_.runtime.Post(0, [this] { RunLeaseLoop(); });
  context_.runtime.Post(0, [this] { RunWatchLoop(); });
  context_.runtime.Post(0, [this] { RunHolderTaskLoop(); });
  context_.runtime.Post(0, [this] { RunJoinLoop(); });
}

bool watcher_service::IsWatcher() const {
  const std::lock_guard lock(mutex_);
  return lease_.IsHolder(Now());
}

std::vector<std::string> watcher_service::ListCandidates() const {
  const std::string holder = context_.watcher_lease_reports.Current(Now()).holder;
  std::vector<std::string> candidates;
  for (const auto& member : context_.members.All()) {
    const bool in_own_domain = member.failure_domain == context_.settings.failure_domain;
    if (in_own_domain && IsLive(member) && member.node_id != holder)
      candidates.push_back(member.node_id);
  }
  return candidates;
}

std::size_t watcher_service::ComputeRank() const {
  return distribution::ComputeRendezvousRank(context_.settings.node_id, lease_name_,
                                             ListCandidates());
}

/// An exchange without records, sent as a push, contains only the report of the renewal.
void watcher_service::InformFirstCandidates() {
  const auto report = context_.watcher_lease_reports.Current(Now());
  for (const std::string& id : distribution::SelectTopRanked(lease_name_, ListCandidates(),
                                                             watcher_lease::kInformedRanks)) {
    const auto member = context_.members.Find(id);
    const auto address = member ? support::ParseSocketAddress(member->peer_address) : std::nullopt;
    if (!address) continue;
    wire::exchange_t exchange;
    exchange.watcher_node = report.holder;
    exchange.watcher_age_ms = static_cast<std::uint32_t>(report.age.count());
    context_.peers.Send(*address, wire::MakeEnvelope(std::move(exchange)));
  }
}

void watcher_service::RunLeaseLoop() {
  std::size_t rank = 0;
  auto next_rank = Now();
  while (!context_.refusing) {
    if (Now() >= next_rank) {
      rank = ComputeRank();
      next_rank = Now() + kHolderTaskInterval;
    }
    watcher_lease::call call;
    {
      const std::lock_guard lock(mutex_);
      if (const auto received = context_.watcher_lease_reports.TakeReceived(Now()))
        lease_.OnPeerReport(Now(), *received);
      call = lease_.NextCall(Now(), rank, DrawRandomFraction());
    }
    ExecuteCall(call);
    UpdateHolderState();
    if (call.kind == watcher_lease::call_kind::kWrite && IsWatcher()) InformFirstCandidates();
    net::SleepFor(kLeaseTick);
  }
}

void watcher_service::ExecuteCall(const watcher_lease::call& call) {
  if (call.kind == watcher_lease::call_kind::kRead) ReadLease();
  if (call.kind == watcher_lease::call_kind::kWrite) WriteLease(call);
}

void watcher_service::ReadLease() {
  const std::size_t rank = ComputeRank();
  auto result = context_.store.Get(lease_name_);
  const std::lock_guard lock(mutex_);
  if (const auto* object = std::get_if<platform::stored_object>(&result)) {
    lease_.OnRead(Now(), object->version, distribution::LeaseFromJson(object->value));
  } else if (std::get<platform::store_error>(result).code == platform::store_errc::kNotFound) {
    lease_.OnRead(Now(), platform::kMustNotExist, std::nullopt);
  } else {
    lease_.OnFailure(Now(), rank);
  }
}

void watcher_service::WriteLease(const watcher_lease::call& call) {
  const std::size_t rank = ComputeRank();
  const auto result =
      context_.store.Put(lease_name_, distribution::ToJson(call.record), call.expected_version);
  const std::lock_guard lock(mutex_);
  if (const auto* version = std::get_if<std::uint64_t>(&result)) {
    return lease_.OnWritten(Now(), *version);
  }
  switch (std::get<platform::store_error>(result).code) {
    case platform::store_errc::kConflict:
      return lease_.OnConflict(Now());
    case platform::store_errc::kOutcomeUnknown:
      return lease_.OnOutcomeUnknown(Now());
    default:
      return lease_.OnFailure(Now(), rank);
  }
}

void watcher_service::UpdateHolderState() {
  const std::lock_guard lock(mutex_);
  const auto now = Now();
  context_.watcher_lease_reports.Publish(lease_.MakeReport(now), now);
  const bool holder = lease_.IsHolder(now);
  if (holder == was_holder_) return;
  was_holder_ = holder;
  context_.log.Info(holder ? "lease_acquired" : "lease_lost",
                    {{"domain", context_.settings.failure_domain}, {"epoch", lease_.epoch()}});
}

void watcher_service::RunWatchLoop() {
  while (!context_.refusing) {
    if (IsWatcher()) WatchOnce();
    net::SleepFor(kWatchPause);
  }
}

/// A watch that is still pending when the lease ends is harmless: it only reads, and the active
/// version never decreases.
void watcher_service::WatchOnce() {
  auto result = context_.store.Watch(kHeadObject, watch_revision_, kWatchWait);
  if (const auto* error = std::get_if<platform::store_error>(&result)) {
    context_.log.Write(support::log_level::kDebug, "watch_failed",
                       {{"code", platform::ToText(error->code)}, {"message", error->message}});
    return;
  }
  const auto& watched = std::get<platform::watch_result>(result);
  for (const platform::stored_object& object : watched.changed) {
    if (object.name != kHeadObject) continue;
    support::findings problems;
    const auto config = config::ConfigFromJson(object.value, problems);
    head_object_version_ = object.version;
    head_config_version_ = config ? config->version : 0;
    problems = {};
    configs_.SubmitConfig(object.value, "platform", problems);
  }
  watch_revision_ = watched.revision;
}

void watcher_service::RunHolderTaskLoop() {
  const std::string& domain = context_.settings.failure_domain;
  while (!context_.refusing) {
    net::SleepFor(kHolderTaskInterval);
    if (!IsWatcher()) {
      published_.clear();
      continue;
    }
    const auto members = context_.members.All();
    Publish(std::string(kMembersPrefix) + domain, MakeMembersObject(members));
    Publish("status/" + domain, MakeStatusObject(members));
    CompleteRemoval(members);
  }
}

/// Writes a changed object, at most once per kPublishInterval. After a failed write, the version is
/// read again and a later call repeats the write.
void watcher_service::Publish(const std::string& name, std::string value) {
  published_object& object = published_[name];
  if (object.value == value || Now() - object.written_at < kPublishInterval) return;
  object.written_at = Now();
  if (!object.version) {
    const auto read = context_.store.Get(name);
    if (const auto* found = std::get_if<platform::stored_object>(&read)) {
      object.version = found->version;
    } else if (std::get<platform::store_error>(read).code == platform::store_errc::kNotFound) {
      object.version = platform::kMustNotExist;
    } else {
      return;
    }
  }
  if (!IsWatcher()) return;
  const auto written = context_.store.Put(name, value, *object.version);
  object.version.reset();
  if (const auto* version = std::get_if<std::uint64_t>(&written)) {
    object.version = *version;
    object.value = std::move(value);
  }
}

std::string watcher_service::MakeMembersObject(
    const std::vector<membership::member_record>& members) const {
  json::array addresses;
  for (const auto& member : members) {
    const bool in_own_domain = member.failure_domain == context_.settings.failure_domain;
    if (!in_own_domain || !IsLive(member)) continue;
    addresses.emplace_back(member.peer_address);
    if (addresses.size() == kMaxListedMembers) break;
  }
  return json::serialize(json::object{{"addresses", std::move(addresses)}});
}

std::string watcher_service::MakeStatusObject(
    const std::vector<membership::member_record>& members) const {
  std::uint64_t slowest = context_.config.Current()->config.version;
  std::uint64_t newest = slowest;
  std::size_t live = 0;
  for (const auto& member : members) {
    const bool in_own_domain = member.failure_domain == context_.settings.failure_domain;
    if (!in_own_domain || !IsLive(member)) continue;
    ++live;
    slowest = std::min(slowest, member.served_version);
    newest = std::max(newest, member.served_version);
  }
  return json::serialize(json::object{{"holder", context_.settings.node_id},
                                      {"live_members", live},
                                      {"slowest_version", slowest},
                                      {"newest_version", newest},
                                      {"rejected", configs_.last_rejection()}});
}

void watcher_service::CompleteRemoval(const std::vector<membership::member_record>& members) {
  const auto views = MakePeerViews(members);
  if (!distribution::IsFirstDomain(context_.settings.failure_domain, views)) return;
  const config_snapshot_ptr snapshot = context_.config.Current();
  const auto next = removal_.NextConfig(snapshot->config, views, Now());
  // The write is conditional on the head object that contains exactly the active version.
  if (!next || head_config_version_ != snapshot->config.version || !IsWatcher()) return;
  const auto written = context_.store.Put(kHeadObject, config::ToJson(*next), head_object_version_);
  // The watch reports the new head, whichever node wrote it, even if the reply to the write was
  // lost.
  if (std::holds_alternative<std::uint64_t>(written)) {
    context_.log.Info("removal_completed", {{"version", next->version}});
  }
}

bool watcher_service::HasPeers() const {
  for (const auto& member : context_.members.All()) {
    if (member.node_id != context_.settings.node_id && IsLive(member)) return true;
  }
  return false;
}

/// Makes platform calls only while this node has no live peer, so that their number does not grow
/// with the size of the fleet.
void watcher_service::RunJoinLoop() {
  net::SleepFor(kSeedReplyWait);
  while (!context_.refusing) {
    if (!HasPeers()) {
      const auto result = context_.store.List(kMembersPrefix);
      if (const auto* objects = std::get_if<std::vector<platform::stored_object>>(&result)) {
        std::vector<support::socket_address> peers;
        for (const auto& object : *objects) {
          const auto listed = ParseMemberAddresses(object.value);
          peers.insert(peers.end(), listed.begin(), listed.end());
        }
        if (!peers.empty()) on_join_(peers);
      }
    }
    net::SleepFor(kJoinInterval);
  }
}

}  // namespace siskinrack::node
