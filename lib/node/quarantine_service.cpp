#include "quarantine_service.h"

#include <algorithm>
#include <boost/json.hpp>
#include <random>

#include "outcome.h"
#include "request_headers.h"
#include "serving_service.h"
#include "siskinrack/quarantine/fingerprint.h"
#include "siskinrack/quarantine/run_outcome.h"

namespace siskinrack::node {
namespace {

namespace json = boost::json;
using quarantine::FormatFingerprint;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

/// Time from a lost connection until the health check. The kernel closes all connections of a
/// crashed process together, so their requests end within this time.
constexpr milliseconds kConnectionLossWindow{100};
constexpr milliseconds kHealthTimeout{500};
/// Number of random peers to which a node sends evidence in each round. In three rounds each node
/// sends to 12 peers, so the expected number of nodes of a fleet of 550 that evidence does not
/// reach is 550 * exp(-12) < 0.01.
constexpr std::size_t kFanout = 4;
constexpr int kSpreadRounds = 3;
constexpr milliseconds kRoundPause{200};
constexpr std::size_t kMaxSeenEvidence = 4096;
constexpr milliseconds kClearReportJitter{300};
constexpr std::string_view kReleasePrefix = "/quarantine/release/";
constexpr std::string_view kQuarantinedReason =
    "request is quarantined because it crashed upstreams";

std::mt19937_64& GetRandomEngine() {
  thread_local std::mt19937_64 random{std::random_device{}()};
  return random;
}

/// The service is not part of the fingerprint: the route of a request may move or be split.
std::uint64_t FingerprintCall(const wire::call_request_t& call) {
  return quarantine::ComputeFingerprint(call.host, call.method, call.target, call.body);
}

}  // namespace

std::optional<wire::call_answer_t> quarantine_service::RefuseIfQuarantined(
    const wire::call_request_t& call) {
  if (!has_suspects_) return std::nullopt;
  const std::uint64_t fingerprint = FingerprintCall(call);
  const auto now = steady_clock::now();
  const std::lock_guard lock(mutex_);
  table_.Expire(now);
  has_suspects_ = !table_.empty();
  if (!table_.IsQuarantined(fingerprint, now)) return std::nullopt;
  return MakeNotRunAnswer(kStatusUnavailable, kQuarantinedReason);
}

quarantine::crash_detector::token quarantine_service::BeginRun(const wire::call_request_t& call) {
  const std::lock_guard lock(mutex_);
  return detector_.Begin([&call] { return FingerprintCall(call); });
}

void quarantine_service::EndRun(quarantine::crash_detector::token run,
                                const wire::call_request_t& call, const net::http_result& result,
                                bool cancelled) {
  const bool completed = quarantine::ProvesCompletion(result, !ReportsNotRun(result.response));
  const std::uint64_t fingerprint = completed ? FingerprintCall(call) : 0;
  bool check = false;
  quarantine::quarantine_change change;
  {
    const std::lock_guard lock(mutex_);
    check = detector_.End(run, quarantine::ToRequestOutcome(result, cancelled));
    if (completed) change = table_.Complete(fingerprint, steady_clock::now());
  }
  if (!change.cleared.empty()) {
    context_.log.Info("suspect_cleared", {{"fingerprint", FormatFingerprint(fingerprint)},
                                          {"request", call.request_id},
                                          {"status", result.response.status}});
  }
  LogQuarantined(change.quarantined);
  SpreadCleared(change.cleared);
  if (check) fibers_.Spawn([this] { CheckUpstream(); });
}

quarantine::upstream_health quarantine_service::QueryHealth() {
  const std::string id = MakeRequestId();
  const auto result = context_.upstream_client.Send(
      *context_.settings.upstream_address,
      {"GET", "/healthz", {{std::string(kRequestIdField), id}}, {}},
      steady_clock::now() + kHealthTimeout, nullptr, MakeExchangeOptions(id));
  if (result.stage == net::exchange_stage::kAnswered) {
    return quarantine::upstream_health::kReachable;
  }
  const bool refused = result.stage == net::exchange_stage::kNotSent && !result.timed_out;
  return refused ? quarantine::upstream_health::kUnreachable
                 : quarantine::upstream_health::kUnknown;
}

void quarantine_service::CheckUpstream() {
  quarantine::crash_detector::check_result result;
  do {
    net::SleepFor(kConnectionLossWindow);
    {
      const std::lock_guard lock(mutex_);
      detector_.BeginCheck();
    }
    const quarantine::upstream_health health = QueryHealth();
    const std::lock_guard lock(mutex_);
    result = detector_.OnHealthCheck(health);
  } while (result.repeat && !fibers_.stopping());
  // During a drain, the upstream may be stopped deliberately and close its connections.
  if (result.suspects.empty() || context_.draining) {
    context_.log.Info("upstream_not_crashed", {{"draining", context_.draining.load()}});
    return;
  }
  wire::crash_evidence_t evidence;
  evidence.suspects = std::move(result.suspects);
  if (evidence.suspects.size() > quarantine::kMaxSuspects) {
    evidence.suspects.resize(quarantine::kMaxSuspects);
  }
  context_.log.Warn("upstream_crashed",
                    {{"suspects", quarantine::FormatFingerprints(evidence.suspects)}});
  evidence.node_id = context_.settings.node_id;
  AddEvidence(evidence);
}

bool quarantine_service::RecordIfNew(const std::string& node_id, std::uint64_t crash_id) {
  if (!seen_evidence_.emplace(node_id, crash_id).second) return false;
  seen_order_.emplace_back(node_id, crash_id);
  if (seen_order_.size() > kMaxSeenEvidence) {
    seen_evidence_.erase(seen_order_.front());
    seen_order_.pop_front();
  }
  return true;
}

void quarantine_service::AddEvidence(const wire::crash_evidence_t& evidence) {
  wire::crash_evidence_t numbered = evidence;
  const auto now = steady_clock::now();
  const auto at = now - milliseconds(numbered.age_ms);
  quarantine::quarantine_change change;
  {
    const std::lock_guard lock(mutex_);
    if (numbered.crash_id == 0) {
      // Ids start at the wall-clock time, so that a restarted node does not reuse ids from before
      // the restart.
      const auto wall = std::chrono::system_clock::now().time_since_epoch();
      const auto wall_us = std::chrono::duration_cast<std::chrono::microseconds>(wall).count();
      last_crash_id_ = std::max(last_crash_id_ + 1, static_cast<std::uint64_t>(wall_us));
      numbered.crash_id = last_crash_id_;
    }
    if (!RecordIfNew(numbered.node_id, numbered.crash_id)) return;
    for (const std::uint64_t fingerprint : numbered.cleared) {
      cleared_at_[fingerprint] = now;
      const auto cleared = table_.Complete(fingerprint, now);
      change.quarantined.insert(change.quarantined.end(), cleared.quarantined.begin(),
                                cleared.quarantined.end());
    }
    if (!numbered.suspects.empty()) {
      auto added =
          table_.AddCrash({numbered.node_id, numbered.crash_id, numbered.suspects, at}, now);
      change.quarantined.insert(change.quarantined.end(), added.quarantined.begin(),
                                added.quarantined.end());
      change.cleared = std::move(added.cleared);
    }
    std::erase_if(cleared_at_, [&](const auto& entry) {
      return entry.second + quarantine::kEvidenceWindow <= now;
    });
    has_suspects_ = !table_.empty();
  }
  LogQuarantined(change.quarantined);
  SpreadEvidence(std::move(numbered), at);
  SpreadCleared(change.cleared);
}

void quarantine_service::SpreadCleared(std::vector<std::uint64_t> cleared) {
  if (cleared.empty()) return;
  fibers_.Spawn([this, cleared = std::move(cleared)]() mutable {
    // A request that many callers send completes on many nodes, but one report is enough. The
    // random delay lets the first one suppress the others.
    const auto bound = static_cast<std::uint64_t>(kClearReportJitter.count());
    net::SleepFor(milliseconds(GetRandomEngine()() % bound));
    {
      const std::lock_guard lock(mutex_);
      std::erase_if(cleared,
                    [&](std::uint64_t fingerprint) { return cleared_at_.contains(fingerprint); });
    }
    if (cleared.empty()) return;
    wire::crash_evidence_t evidence;
    evidence.node_id = context_.settings.node_id;
    evidence.cleared = std::move(cleared);
    AddEvidence(evidence);
  });
}

void quarantine_service::LogQuarantined(const std::vector<std::uint64_t>& fingerprints) {
  for (const std::uint64_t fingerprint : fingerprints) {
    context_.log.Warn("fingerprint_quarantined", {{"fingerprint", FormatFingerprint(fingerprint)}});
  }
}

template <typename Message>
void quarantine_service::SendToRandomPeers(const Message& message) {
  auto members = context_.members.All();
  std::erase_if(members, [&](const auto& member) {
    return member.node_id == context_.settings.node_id ||
           member.health == wire::member_health::dead;
  });
  std::shuffle(members.begin(), members.end(), GetRandomEngine());
  if (members.size() > kFanout) members.resize(kFanout);
  for (const auto& member : members) {
    const auto address = support::ParseSocketAddress(member.peer_address);
    if (address) context_.peers.Send(*address, wire::MakeEnvelope(Message(message)));
  }
}

void quarantine_service::SpreadEvidence(wire::crash_evidence_t evidence,
                                        quarantine::steady_time at) {
  fibers_.Spawn([this, at, evidence = std::move(evidence)]() mutable {
    for (int round = 0; round < kSpreadRounds && !fibers_.stopping(); ++round) {
      if (round > 0) net::SleepFor(kRoundPause);
      const auto age = std::chrono::duration_cast<milliseconds>(steady_clock::now() - at);
      evidence.age_ms = static_cast<std::uint32_t>(age.count());
      SendToRandomPeers(evidence);
    }
  });
}

void quarantine_service::Release(std::uint64_t fingerprint, std::string_view released_by) {
  {
    const auto now = steady_clock::now();
    const std::lock_guard lock(mutex_);
    table_.Expire(now);
    if (!table_.Release(fingerprint, now)) return;
    has_suspects_ = !table_.empty();
  }
  context_.log.Info("fingerprint_released",
                    {{"fingerprint", FormatFingerprint(fingerprint)}, {"by", released_by}});
  fibers_.Spawn([this, fingerprint] {
    wire::quarantine_release_t release;
    release.fingerprint = fingerprint;
    for (int round = 0; round < kSpreadRounds && !fibers_.stopping(); ++round) {
      if (round > 0) net::SleepFor(kRoundPause);
      SendToRandomPeers(release);
    }
  });
}

bool quarantine_service::Handle(const wire::envelope_t& message) {
  if (const auto* evidence = message.message.Ascrash_evidence()) {
    // Id 0 marks evidence of this node that has no id yet; a peer must not send it.
    if (evidence->crash_id != 0) AddEvidence(*evidence);
    return true;
  }
  if (const auto* release = message.message.Asquarantine_release()) {
    Release(release->fingerprint, message.sender);
    return true;
  }
  return false;
}

std::optional<net::http_response> quarantine_service::HandleAdminRequest(
    const net::http_request& request) {
  if (request.method == "GET" && request.target == "/quarantine") {
    json::array list;
    const std::lock_guard lock(mutex_);
    for (const auto& entry : table_.QuarantinedFingerprints(steady_clock::now())) {
      list.push_back(json::object{{"fingerprint", FormatFingerprint(entry.fingerprint)},
                                  {"crashes", entry.crashes},
                                  {"nodes", json::value_from(entry.nodes)},
                                  {"remaining_ms", entry.remaining.count()}});
    }
    return net::http_response{
        kStatusOk, {{"Content-Type", "application/json"}}, json::serialize(list) + '\n'};
  }
  if (request.method != "POST" || !request.target.starts_with(kReleasePrefix)) return std::nullopt;
  const auto fingerprint =
      quarantine::ParseFingerprint(std::string_view(request.target).substr(kReleasePrefix.size()));
  if (!fingerprint) return net::http_response{kStatusBadRequest, {}, "not a fingerprint\n"};
  Release(*fingerprint, "operator");
  return net::http_response{kStatusOk, {}, "released\n"};
}

}  // namespace siskinrack::node
