#include "quarantine_service.h"

#include <algorithm>
#include <boost/json.hpp>
#include <random>

#include "outcome.h"
#include "serving_service.h"
#include "siskinrack/quarantine/fingerprint.h"

namespace siskinrack::node {
namespace {

namespace json = boost::json;
using quarantine::FormatFingerprint;
using quarantine::request_outcome;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

/// The kernel closes all connections of a crashed process together; this covers their handling.
constexpr milliseconds kBreakWindow{100};
constexpr milliseconds kHealthTimeout{500};
/// Three rounds of 4 peers reach all of 550 nodes with high probability: 550 * exp(-12) < 0.01.
constexpr std::size_t kFanout = 4;
constexpr int kRounds = 3;
constexpr milliseconds kRoundPause{200};
constexpr std::size_t kMaxSeen = 4096;
constexpr milliseconds kClearJitter{300};
constexpr std::string_view kReleasePrefix = "/quarantine/release/";
constexpr std::string_view kHeldReason = "request is held back: it crashed upstreams";

std::mt19937_64& Random() {
  thread_local std::mt19937_64 random{std::random_device{}()};
  return random;
}

std::uint64_t ComputeFingerprint(const wire::call_request_t& call) {
  return quarantine::ComputeFingerprint(call.service, call.method, call.target, call.body);
}

request_outcome EndOf(const net::http_result& result, bool cancelled) {
  if (result.stage == net::exchange_stage::kAnswered) return request_outcome::kAnswered;
  return result.broken() && !cancelled ? request_outcome::kBroken : request_outcome::kOther;
}

std::string ListText(const std::vector<std::uint64_t>& fingerprints) {
  std::string text;
  for (const std::uint64_t fingerprint : fingerprints) {
    if (!text.empty()) text += ',';
    text += FormatFingerprint(fingerprint);
  }
  return text;
}

/// An upstream that says that it did not run the request has not completed it.
bool SaysNotRun(const net::http_response& response) {
  return net::FindField(response.fields, kOutcomeField) == kNotRunText;
}

}  // namespace

std::optional<wire::call_answer_t> quarantine_service::Refusal(const wire::call_request_t& call) {
  if (!has_suspects_) return std::nullopt;
  const std::uint64_t fingerprint = ComputeFingerprint(call);
  const auto now = steady_clock::now();
  const std::lock_guard lock(mutex_);
  table_.Expire(now);
  has_suspects_ = !table_.empty();
  if (!table_.IsQuarantined(fingerprint, now)) return std::nullopt;
  return NotRun(kStatusUnavailable, kHeldReason);
}

quarantine::crash_detector::token quarantine_service::BeginRun() {
  const std::lock_guard lock(mutex_);
  return detector_.Begin();
}

void quarantine_service::EndRun(quarantine::crash_detector::token run,
                                const wire::call_request_t& call, const net::http_result& result,
                                bool cancelled) {
  const request_outcome how = EndOf(result, cancelled);
  const bool completed = how == request_outcome::kAnswered && !SaysNotRun(result.response);
  const std::uint64_t fingerprint =
      completed || how == request_outcome::kBroken ? ComputeFingerprint(call) : 0;
  bool check = false;
  quarantine::quarantine_change verdict;
  {
    const std::lock_guard lock(mutex_);
    check = detector_.End(run, how, fingerprint);
    if (completed) verdict = table_.Complete(fingerprint, steady_clock::now());
  }
  LogHeld(verdict.quarantined);
  ReportCleared(verdict.cleared);
  if (check) fibers_.Spawn([this] { CheckUpstream(); });
}

bool quarantine_service::HealthAnswers() {
  const auto result = context_.upstream_client.Send(*context_.settings.upstream_address,
                                                    {"GET", "/healthz", {}, {}},
                                                    steady_clock::now() + kHealthTimeout);
  return result.stage == net::exchange_stage::kAnswered;
}

void quarantine_service::CheckUpstream() {
  net::SleepFor(kBreakWindow);
  const bool answers = HealthAnswers();
  wire::crash_evidence_t evidence;
  {
    const std::lock_guard lock(mutex_);
    auto suspects = detector_.OnHealthCheck(answers);
    // An upstream that is stopped on purpose ends its requests in its own way.
    if (!suspects || context_.draining) return;
    if (suspects->size() > quarantine::kMaxSuspects) suspects->resize(quarantine::kMaxSuspects);
    evidence.suspects = std::move(*suspects);
  }
  context_.log.Warn("upstream_crashed", {{"suspects", ListText(evidence.suspects)}});
  evidence.node_id = context_.settings.node_id;
  AddEvidence(evidence);
}

bool quarantine_service::IsNew(const std::string& node_id, std::uint64_t crash_id) {
  if (!seen_.emplace(node_id, crash_id).second) return false;
  seen_order_.emplace_back(node_id, crash_id);
  if (seen_order_.size() > kMaxSeen) {
    seen_.erase(seen_order_.front());
    seen_order_.pop_front();
  }
  return true;
}

void quarantine_service::AddEvidence(const wire::crash_evidence_t& evidence) {
  wire::crash_evidence_t item = evidence;
  const auto now = steady_clock::now();
  const auto at = now - milliseconds(item.age_ms);
  quarantine::quarantine_change verdict;
  {
    const std::lock_guard lock(mutex_);
    if (item.crash_id == 0) {
      // Wall-clock start, so that a restarted node doesn't repeat the numbers of its earlier life.
      const auto wall = std::chrono::system_clock::now().time_since_epoch();
      const auto wall_us = std::chrono::duration_cast<std::chrono::microseconds>(wall).count();
      last_crash_id_ = std::max(last_crash_id_ + 1, static_cast<std::uint64_t>(wall_us));
      item.crash_id = last_crash_id_;
    }
    if (!IsNew(item.node_id, item.crash_id)) return;
    for (const std::uint64_t fingerprint : item.cleared) {
      cleared_at_[fingerprint] = now;
      const auto cleared = table_.Complete(fingerprint, now);
      verdict.quarantined.insert(verdict.quarantined.end(), cleared.quarantined.begin(),
                                 cleared.quarantined.end());
    }
    if (!item.suspects.empty()) {
      auto added = table_.AddCrash({item.node_id, item.crash_id, item.suspects, at}, now);
      verdict.quarantined.insert(verdict.quarantined.end(), added.quarantined.begin(),
                                 added.quarantined.end());
      verdict.cleared = std::move(added.cleared);
    }
    std::erase_if(cleared_at_,
                  [&](const auto& entry) { return entry.second + quarantine::kWindow <= now; });
    has_suspects_ = !table_.empty();
  }
  LogHeld(verdict.quarantined);
  Spread(std::move(item), at);
  ReportCleared(verdict.cleared);
}

void quarantine_service::ReportCleared(std::vector<std::uint64_t> cleared) {
  if (cleared.empty()) return;
  fibers_.Spawn([this, cleared = std::move(cleared)]() mutable {
    // A request that many callers send completes on many nodes; one report is enough.
    const auto bound = static_cast<std::uint64_t>(kClearJitter.count());
    net::SleepFor(milliseconds(Random()() % bound));
    {
      const std::lock_guard lock(mutex_);
      std::erase_if(cleared, [&](std::uint64_t item) { return cleared_at_.contains(item); });
    }
    if (cleared.empty()) return;
    wire::crash_evidence_t evidence;
    evidence.node_id = context_.settings.node_id;
    evidence.cleared = std::move(cleared);
    AddEvidence(evidence);
  });
}

void quarantine_service::LogHeld(const std::vector<std::uint64_t>& held) {
  for (const std::uint64_t fingerprint : held) {
    context_.log.Warn("fingerprint_quarantined", {{"fingerprint", FormatFingerprint(fingerprint)}});
  }
}

template <typename Message>
void quarantine_service::SendToPeers(const Message& message) {
  auto members = context_.members.All();
  std::erase_if(members, [&](const auto& member) {
    return member.node_id == context_.settings.node_id ||
           member.health == wire::member_health::dead;
  });
  std::shuffle(members.begin(), members.end(), Random());
  if (members.size() > kFanout) members.resize(kFanout);
  for (const auto& member : members) {
    const auto address = support::ParseSocketAddress(member.peer_address);
    if (address) context_.peers.Send(*address, wire::MakeEnvelope(Message(message)));
  }
}

void quarantine_service::Spread(wire::crash_evidence_t evidence, quarantine::steady_time at) {
  fibers_.Spawn([this, at, evidence = std::move(evidence)]() mutable {
    for (int round = 0; round < kRounds && !fibers_.stopping(); ++round) {
      if (round > 0) net::SleepFor(kRoundPause);
      const auto age = std::chrono::duration_cast<milliseconds>(steady_clock::now() - at);
      evidence.age_ms = static_cast<std::uint32_t>(age.count());
      SendToPeers(evidence);
    }
  });
}

void quarantine_service::Release(std::uint64_t fingerprint, std::string_view by) {
  {
    const auto now = steady_clock::now();
    const std::lock_guard lock(mutex_);
    table_.Expire(now);
    if (!table_.Release(fingerprint, now)) return;
    has_suspects_ = !table_.empty();
  }
  context_.log.Info("fingerprint_released",
                    {{"fingerprint", FormatFingerprint(fingerprint)}, {"by", by}});
  fibers_.Spawn([this, fingerprint] {
    wire::quarantine_release_t release;
    release.fingerprint = fingerprint;
    for (int round = 0; round < kRounds && !fibers_.stopping(); ++round) {
      if (round > 0) net::SleepFor(kRoundPause);
      SendToPeers(release);
    }
  });
}

bool quarantine_service::Handle(const wire::envelope_t& message) {
  if (const auto* evidence = message.message.Ascrash_evidence()) {
    // Number 0 stands for evidence that this node is about to number.
    if (evidence->crash_id != 0) AddEvidence(*evidence);
    return true;
  }
  if (const auto* release = message.message.Asquarantine_release()) {
    Release(release->fingerprint, message.sender);
    return true;
  }
  return false;
}

std::optional<net::http_response> quarantine_service::HandleAdmin(
    const net::http_request& request) {
  if (request.method == "GET" && request.target == "/quarantine") {
    json::array list;
    const std::lock_guard lock(mutex_);
    for (const auto& held : table_.QuarantinedFingerprints(steady_clock::now())) {
      list.push_back(json::object{{"fingerprint", FormatFingerprint(held.fingerprint)},
                                  {"crashes", held.crashes},
                                  {"nodes", json::value_from(held.nodes)},
                                  {"remaining_ms", held.remaining.count()}});
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
