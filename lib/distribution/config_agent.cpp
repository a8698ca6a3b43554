#include "siskinrack/distribution/config_agent.h"

#include <set>
#include <utility>

#include "siskinrack/config/canonical_json.h"
#include "siskinrack/config/delta.h"
#include "siskinrack/config/digest.h"

namespace siskinrack::distribution {
namespace {

/// Time within which a requested update must arrive; after it the same version may be requested
/// from another peer.
constexpr milliseconds kRequestTimeout{500};
/// Time between requests for a version that was rejected here; peers with another software release
/// may keep announcing it.
constexpr milliseconds kRejectedRetry{10'000};

std::string_view PayloadText(const wire::config_update_t& update) {
  return {reinterpret_cast<const char*>(update.payload.data()), update.payload.size()};
}

template <typename Message>
outgoing_message MakeOutgoing(std::string to, Message message) {
  outgoing_message result{std::move(to), {}};
  result.body.Set(std::move(message));
  return result;
}

}  // namespace

config_agent::config_agent(std::string node_id, std::string failure_domain,
                           witness_table& witnesses, time_point start)
    : node_id_(std::move(node_id)),
      failure_domain_(std::move(failure_domain)),
      witnesses_(witnesses),
      floor_(failure_domain_, start) {}

void config_agent::OnConfig(std::string_view json, std::string_view source,
                            support::findings& problems) {
  support::findings config_problems;
  config_snapshot_ptr snapshot = CheckConfig(json, config_problems);
  if (snapshot != nullptr) return Hold(std::move(snapshot), source);
  support::findings ignored;
  const auto config = config::ConfigFromJson(json, ignored);
  Reject(config ? config->version : 0, config::Sha256Hex(json), source, config_problems);
  problems.Append(config_problems);
}

void config_agent::Hold(config_snapshot_ptr snapshot, std::string_view source) {
  if (history_.Add(std::move(snapshot))) held_source_ = source;
}

void config_agent::Reject(std::uint64_t version, std::string digest, std::string_view source,
                          const support::findings& problems) {
  if (version != 0 && version <= served_version_) return;
  rejected_ = {version, std::move(digest), std::string(source), problems};
}

void config_agent::OnPeerVersion(const std::string& peer, std::uint64_t version, time_point now) {
  if (version <= held()->config.version) return;
  const bool rejected = rejected_ && version == rejected_->version;
  const milliseconds timeout = rejected ? kRejectedRetry : kRequestTimeout;
  if (version <= requested_.version && now - requested_.sent < timeout) return;
  requested_ = {version, now};
  Request(peer, /*full=*/false);
}

void config_agent::Request(const std::string& peer, bool full) {
  wire::config_request_t request;
  request.have_version = held()->config.version;
  request.have_digest = held()->digest;
  request.full = full;
  messages_.push_back(MakeOutgoing(peer, std::move(request)));
}

void config_agent::OnUpdate(const std::string& peer, const wire::config_update_t& update,
                            time_point now) {
  if (update.version <= held()->config.version) return;
  support::findings problems;
  if (update.full) {
    if (config::Sha256Hex(PayloadText(update)) != update.digest) return;
    OnConfig(PayloadText(update), peer, problems);
    return;
  }
  const config_snapshot_ptr base = history_.Find(update.base_version, update.base_digest);
  std::optional<config::mesh_config> config;
  if (base != nullptr) {
    config = config::ApplyDelta(base->config,
                                {update.base_version, update.base_digest, update.version,
                                 update.digest, std::string(PayloadText(update))},
                                problems);
  }
  if (!config) {
    requested_ = {update.version, now};
    Request(peer, /*full=*/true);
    return;
  }
  config_snapshot_ptr snapshot = CheckConfig(std::move(*config), problems);
  if (snapshot == nullptr) return Reject(update.version, update.digest, peer, problems);
  Hold(std::move(snapshot), peer);
}

void config_agent::OnFloorReply(const std::string& peer, const wire::floor_reply_t& reply,
                                time_point now) {
  floor_.OnReply(reply);
  OnPeerVersion(peer, reply.held_version, now);
}

void config_agent::Advance(std::span<const peer_view> peers, time_point now,
                           random_engine& random) {
  AdvanceFloor(peers, now, random);
  if (held()->config.version > announced_version_) {
    announced_version_ = held()->config.version;
    for (std::string& peer : ChooseNoticePeers(peers, failure_domain_, random)) {
      wire::version_notice_t notice;
      notice.version = announced_version_;
      notice.digest = held()->digest;
      messages_.push_back(MakeOutgoing(std::move(peer), std::move(notice)));
    }
  }
  AdvanceRound(peers, now, random);
}

void config_agent::AdvanceFloor(std::span<const peer_view> peers, time_point now,
                                random_engine& random) {
  floor_.Evaluate(peers, now);
  for (std::string& peer : floor_.SelectPeersToQuery(peers, now, random)) {
    wire::floor_request_t request;
    request.node_id = node_id_;
    messages_.push_back(MakeOutgoing(std::move(peer), std::move(request)));
  }
}

void config_agent::AdvanceRound(std::span<const peer_view> peers, time_point now,
                                random_engine& random) {
  if (!floor_.is_known()) return;
  const std::uint64_t newest = held()->config.version;
  if (!round_.is_active() && newest > served_version_ && newest >= floor_.version()) {
    staged_ = held();
    staged_source_ = held_source_;
    round_.Begin(newest, now);
  }
  for (std::string& peer : round_.SelectPeersToQuery(peers, failure_domain_, now, random)) {
    wire::witness_request_t request;
    request.node_id = node_id_;
    request.version = staged_->config.version;
    request.digest = staged_->digest;
    messages_.push_back(MakeOutgoing(std::move(peer), std::move(request)));
  }
  if (!round_.IsComplete(peers, now)) return;
  served_version_ = staged_->config.version;
  activations_.push_back(
      {staged_, staged_source_, round_.witnesses(), witness_round::RequiredWitnesses(peers)});
  round_.End();
  if (rejected_ && rejected_->version <= served_version_) rejected_.reset();
}

std::vector<outgoing_message> config_agent::TakeMessages() { return std::exchange(messages_, {}); }

std::vector<activation> config_agent::TakeActivations() { return std::exchange(activations_, {}); }

wire::witness_reply_t config_agent::Answer(const std::string& peer,
                                           const wire::witness_request_t& request, time_point now) {
  wire::witness_reply_t reply;
  const config_snapshot& newest = *held();
  reply.recorded = newest.config.version > request.version ||
                   (newest.config.version == request.version && newest.digest == request.digest);
  if (reply.recorded) {
    witnesses_.Record(request.node_id, request.version);
  } else {
    OnPeerVersion(peer, request.version, now);
  }
  return reply;
}

std::optional<wire::floor_reply_t> config_agent::Answer(const wire::floor_request_t& request,
                                                        std::span<const peer_view> peers) const {
  if (!floor_.is_known()) return std::nullopt;
  wire::floor_reply_t reply;
  reply.failure_domain = failure_domain_;
  reply.held_version = held()->config.version;
  if (const auto version = witnesses_.Find(request.node_id)) {
    reply.known = true;
    reply.served_version = *version;
  }
  std::set<std::string> domains{failure_domain_};
  for (const peer_view& peer : peers) domains.insert(peer.failure_domain);
  reply.domains.assign(domains.begin(), domains.end());
  return reply;
}

bool config_agent::HasPendingWork() const {
  const std::uint64_t newest = held()->config.version;
  return !floor_.is_known() || newest > announced_version_ ||
         (newest > served_version_ && newest >= floor_.version());
}

}  // namespace siskinrack::distribution
