#include "crash_guard.h"

#include <algorithm>

#include "call_answers.h"
#include "request_codec.h"
#include "siskinrack/quarantine/fingerprint.h"
#include "siskinrack/quarantine/run_outcome.h"

namespace siskinrack::mesh {
namespace {

using quarantine::FormatFingerprint;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

/// Delay before the upstream is checked. The connections of a crashed process break together, and
/// this time is enough to record the end of every run on them.
constexpr milliseconds kUpstreamCheckDelay{100};
/// Short, because the upstream is on the same VM.
constexpr milliseconds kConnectTimeout{300};

/// The service is not part of the fingerprint: the route of a request may move or be split.
std::uint64_t ComputeFingerprint(const wire::call_request_t& call) {
  return quarantine::ComputeFingerprint(call.host, call.method, call.target, call.body);
}

/// Returns true if the upstream states that it ran the request.
bool StatesRun(const net::http_response& response) {
  const auto read = platform_adapter::ReadUpstreamAnswer(response);
  return read.stamped && !read.not_run;
}

quarantine::upstream_health ToHealth(net::connect_result result) {
  switch (result) {
    case net::connect_result::kConnected:
      return quarantine::upstream_health::kReachable;
    case net::connect_result::kRefused:
      return quarantine::upstream_health::kUnreachable;
    case net::connect_result::kFailed:
      break;
  }
  return quarantine::upstream_health::kUnknown;
}

}  // namespace

std::optional<wire::call_answer_t> crash_guard::FindRefusal(const wire::call_request_t& call) {
  if (table_.empty()) return std::nullopt;
  const auto now = steady_clock::now();
  table_.Expire(now);
  if (!table_.IsQuarantined(ComputeFingerprint(call), now)) return std::nullopt;
  return MakeNotRunAnswer(wire::answer_cause::quarantined,
                          "request is quarantined: it crashed upstreams");
}

quarantine::crash_detector::token crash_guard::BeginRun(const wire::call_request_t& call) {
  return detector_.Begin([&call] { return ComputeFingerprint(call); });
}

void crash_guard::EndRun(quarantine::crash_detector::token run, const wire::call_request_t& call,
                         const net::http_result& result, bool cancelled) {
  // Completed runs are recorded only while there is crash evidence, so that the fingerprint is not
  // computed for every request.
  if (!table_.empty() && quarantine::ProvesCompletion(result, StatesRun(result.response))) {
    const std::uint64_t fingerprint = ComputeFingerprint(call);
    const auto change = table_.Complete(fingerprint, steady_clock::now());
    LogQuarantined(change.quarantined);
    if (!change.cleared.empty()) {
      context_.log.Info("suspect_cleared", {{"fingerprint", FormatFingerprint(fingerprint)},
                                            {"request", call.request_id},
                                            {"status", result.response.status}});
    }
  }
  if (detector_.End(run, quarantine::ToRequestOutcome(result, cancelled)))
    net::Spawn([this] { CheckUpstream(); });
}

void crash_guard::CheckUpstream() {
  quarantine::crash_detector::check_result result;
  do {
    net::SleepFor(kUpstreamCheckDelay);
    detector_.BeginCheck();
    const auto health = ToHealth(
        context_.upstream_client.TryConnect(context_.settings.upstream_address, kConnectTimeout));
    result = detector_.OnHealthCheck(health);
  } while (result.repeat);
  if (result.suspects.empty()) {
    context_.log.Info("upstream_not_crashed", {});
    return;
  }
  ReportCrash(std::move(result.suspects));
}

void crash_guard::ReportCrash(std::vector<std::uint64_t> suspects) {
  if (suspects.size() > quarantine::kMaxSuspects) suspects.resize(quarantine::kMaxSuspects);
  // Wall clock time, so that a restarted node doesn't reuse the crash ids of its previous run.
  const auto wall = std::chrono::system_clock::now().time_since_epoch();
  const auto wall_us = std::chrono::duration_cast<std::chrono::microseconds>(wall).count();
  last_crash_id_ = std::max(last_crash_id_ + 1, static_cast<std::uint64_t>(wall_us));
  wire::crash_evidence_t evidence;
  evidence.node_id = context_.settings.node_id;
  evidence.crash_id = last_crash_id_;
  evidence.suspects = std::move(suspects);
  context_.log.Warn("upstream_crashed",
                    {{"crash", evidence.crash_id},
                     {"suspects", quarantine::FormatFingerprints(evidence.suspects)}});
  AddEvidence(evidence);
  sender_.Send(std::move(evidence));
}

std::vector<std::uint64_t> crash_guard::AddEvidence(const wire::crash_evidence_t& evidence) {
  const auto now = steady_clock::now();
  for (const std::uint64_t fingerprint : evidence.cleared) {
    LogQuarantined(table_.Complete(fingerprint, now).quarantined);
  }
  if (evidence.suspects.empty()) return {};
  const auto at = now - milliseconds(evidence.age_ms);
  auto result = table_.AddCrash({evidence.node_id, evidence.crash_id, evidence.suspects, at}, now);
  LogQuarantined(result.quarantined);
  return std::move(result.cleared);
}

void crash_guard::LogQuarantined(const std::vector<std::uint64_t>& fingerprints) {
  for (const std::uint64_t fingerprint : fingerprints) {
    context_.log.Warn("request_quarantined", {{"fingerprint", FormatFingerprint(fingerprint)}});
  }
}

wire::crash_evidence_t crash_guard::MakeClearance(std::vector<std::uint64_t> cleared) const {
  wire::crash_evidence_t clearance;
  clearance.node_id = context_.settings.node_id;
  clearance.cleared = std::move(cleared);
  return clearance;
}

wire::crash_evidence_t crash_guard::OnEvidence(const wire::crash_evidence_t& evidence,
                                               bool confirmation_requested) {
  wire::crash_evidence_t clearance = MakeClearance(AddEvidence(evidence));
  if (!confirmation_requested && !clearance.cleared.empty()) sender_.SendOnce(clearance);
  return clearance;
}

wire::crash_history_t crash_guard::MakeHistory() const {
  const auto now = steady_clock::now();
  wire::crash_history_t history;
  for (quarantine::crash& crash : table_.Crashes()) {
    auto evidence = std::make_unique<wire::crash_evidence_t>();
    evidence->node_id = std::move(crash.node_id);
    evidence->crash_id = crash.crash_id;
    evidence->suspects = std::move(crash.suspects);
    const auto age = std::chrono::duration_cast<milliseconds>(now - crash.at);
    evidence->age_ms = static_cast<std::uint32_t>(age.count());
    history.crashes.push_back(std::move(evidence));
  }
  return history;
}

}  // namespace siskinrack::mesh
