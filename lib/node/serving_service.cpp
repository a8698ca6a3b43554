#include "serving_service.h"

#include "outcome.h"
#include "request_headers.h"
#include "siskinrack/admission/slot_lease.h"
#include "siskinrack/net/wire_fields.h"
#include "siskinrack/quarantine/scoped_run.h"
#include "siskinrack/support/in_flight_guard.h"

namespace siskinrack::node {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kProbeTimeout{500};
constexpr std::string_view kWithdrawnReason = "request was withdrawn before it was started";

/// Converts a call to the request for the upstream, which contains the remaining time and the
/// number of earlier attempts.
net::http_request ToHttpRequest(const wire::call_request_t& call, milliseconds remaining) {
  net::http_request request{call.method, call.target, {}, {}};
  request.body_view = net::ViewBytes(call.body);
  request.fields.reserve(call.headers.size() + 2);
  for (const auto& field : call.headers) request.fields.push_back({field->name, field->value});
  request.fields.push_back({std::string(kDeadlineField), std::to_string(remaining.count())});
  if (call.attempt > 0) {
    request.fields.push_back({std::string(kAttemptField), std::to_string(call.attempt)});
  }
  return request;
}

wire::call_answer_t MakeRefusal(const admission::decision& decision) {
  const bool deadline_missed = decision.reason == admission::refusal::kDeadline;
  auto answer = MakeNotRunAnswer(deadline_missed ? kStatusGatewayTimeout : kStatusUnavailable,
                                 admission::ToText(decision.reason));
  answer.retry_after_ms =
      static_cast<std::uint32_t>(std::chrono::ceil<milliseconds>(decision.retry_after).count());
  return answer;
}

admission::call_result ToCallResult(const wire::call_answer_t& answer, bool cancelled) {
  if (answer.retry_after_ms > 0 && answer.status == kStatusUnavailable) {
    return admission::call_result::kRefusedByUpstream;
  }
  switch (answer.outcome) {
    case wire::outcome_kind::answered:
      return admission::call_result::kAnswered;
    case wire::outcome_kind::not_run:
      return answer.reason == kUnreachableReason ? admission::call_result::kAbandoned
                                                 : admission::call_result::kRefusedByUpstream;
    case wire::outcome_kind::unknown:
      break;
  }
  return cancelled ? admission::call_result::kAbandoned : admission::call_result::kFailed;
}

}  // namespace

wire::call_answer_t MakeNotRunAnswer(unsigned status, std::string_view reason) {
  wire::call_answer_t answer;
  answer.outcome = wire::outcome_kind::not_run;
  answer.status = static_cast<std::uint16_t>(status);
  answer.reason = reason;
  return answer;
}

wire::call_answer_t ToUnknownOutcome(wire::call_answer_t refusal) {
  refusal.outcome = wire::outcome_kind::unknown;
  refusal.status = kStatusBadGateway;
  refusal.reason += "; an earlier copy of this key may have run";
  return refusal;
}

wire::call_answer_t MakeUnknownAnswer(unsigned status, std::string_view reason) {
  wire::call_answer_t answer = MakeNotRunAnswer(status, reason);
  answer.outcome = wire::outcome_kind::unknown;
  return answer;
}

serving_service::serving_service(node_context& context, quarantine_service& quarantine)
    : context_(context),
      quarantine_(quarantine),
      configured_snapshot_(context.config.Current()),
      gate_(std::make_shared<admission::slot_gate<admission::controller>>(admission::controller(
          FindLimits(*configured_snapshot_), configured_snapshot_->config.resources.ranks))) {}

void serving_service::ApplyCurrentConfig() {
  config_snapshot_ptr current = context_.config.Current();
  const std::lock_guard lock(configure_mutex_);
  if (current == configured_snapshot_) return;
  configured_snapshot_ = std::move(current);
  gate_->WithController([this](admission::controller& controller) {
    controller.Configure(FindLimits(*configured_snapshot_),
                         configured_snapshot_->config.resources.ranks);
  });
}

admission::upstream_limits serving_service::FindLimits(const config_snapshot& snapshot) const {
  const node_settings& settings = context_.settings;
  const auto* service = snapshot.config.resources.FindService(settings.service);
  if (service == nullptr) return {std::max<std::uint32_t>(1, settings.slots), milliseconds(0)};
  return {service->slots, milliseconds(service->ramp_ms)};
}

wire::call_answer_t serving_service::Serve(const wire::call_request_t& call,
                                           net::cancellation& cancel) {
  // Counted before the check: otherwise a shutdown could count no call in flight although one has
  // passed the check.
  const support::in_flight_guard count(in_flight_);
  if (cancel.cancelled()) return MakeNotRunAnswer(kStatusUnavailable, kWithdrawnReason);
  if (context_.refusing) return MakeNotRunAnswer(kStatusUnavailable, "node is shutting down");
  if (context_.config.Current()->config.version == 0) {
    return MakeNotRunAnswer(kStatusUnavailable, "no configuration is in force yet");
  }
  if (!context_.settings.upstream_address || call.service != context_.settings.service) {
    return MakeNotRunAnswer(kStatusUnavailable, "service is not served here");
  }
  const auto deadline = std::chrono::steady_clock::now() + milliseconds(call.deadline_ms);
  // Checked before admission, so that the refusal is not counted as one by an overloaded upstream.
  auto refusal = quarantine_.RefuseIfQuarantined(call);
  wire::call_answer_t answer = refusal ? std::move(*refusal) : AdmitAndSend(call, deadline, cancel);
  const admission::upstream_load load =
      gate_->WithController([&call](const admission::controller& controller) {
        return controller.LoadFor(call.rank, std::chrono::steady_clock::now());
      });
  answer.in_flight = static_cast<std::uint16_t>(load.in_flight);
  answer.queued = static_cast<std::uint16_t>(load.queued);
  answer.slots = static_cast<std::uint16_t>(load.limit);
  answer.node_id = context_.settings.node_id;
  return answer;
}

wire::call_answer_t serving_service::AdmitAndSend(const wire::call_request_t& call,
                                                  net::steady_time deadline,
                                                  net::cancellation& cancel) {
  ApplyCurrentConfig();
  const auto* rank = context_.config.Current()->config.resources.FindRank(call.rank);
  const auto now = std::chrono::steady_clock::now();
  const auto queue_deadline =
      rank == nullptr ? deadline : std::min(deadline, now + milliseconds(rank->target_ms));
  const admission::decision decision = gate_->Acquire(
      admission::arrival{0, call.rank, call.caller, deadline}, queue_deadline, cancel);
  if (!decision.admitted) return MakeRefusal(decision);
  admission::slot_lease lease(*gate_, decision.ticket);
  // The caller may have left while the call waited.
  if (cancel.cancelled()) {
    lease.SetResult(admission::call_result::kAbandoned, milliseconds(0));
    return MakeNotRunAnswer(kStatusUnavailable, kWithdrawnReason);
  }
  wire::call_answer_t answer = SendToUpstream(call, deadline, cancel);
  lease.SetResult(ToCallResult(answer, cancel.cancelled()), milliseconds(answer.retry_after_ms));
  return answer;
}

wire::call_answer_t serving_service::SendToUpstream(const wire::call_request_t& call,
                                                    net::steady_time deadline,
                                                    net::cancellation& cancel) {
  const auto remaining =
      std::chrono::ceil<milliseconds>(deadline - std::chrono::steady_clock::now());
  net::http_request request = ToHttpRequest(call, remaining);
  std::string id = call.request_id;
  if (id.empty()) {
    id = MakeRequestId();
    request.fields.push_back({std::string(kRequestIdField), id});
  }
  quarantine::scoped_run run(quarantine_, call);
  net::http_result result =
      context_.upstream_client.Send(*context_.settings.upstream_address, std::move(request),
                                    deadline, &cancel, MakeExchangeOptions(id));
  run.End(result, cancel.cancelled());
  if (result.stage == net::exchange_stage::kNotSent) {
    return MakeNotRunAnswer(kStatusUnavailable, kUnreachableReason);
  }
  if (result.stage == net::exchange_stage::kSent) {
    return result.timed_out
               ? MakeUnknownAnswer(kStatusGatewayTimeout, "upstream did not answer in time")
               : MakeUnknownAnswer(kStatusBadGateway, kUpstreamConnectionLostReason);
  }
  wire::call_answer_t answer;
  if (ReportsNotRun(result.response))
    answer = MakeNotRunAnswer(kStatusUnavailable, "upstream refused the call");
  answer.status = static_cast<std::uint16_t>(result.response.status);
  if (answer.outcome == wire::outcome_kind::not_run || answer.status == kStatusUnavailable) {
    answer.retry_after_ms = ParseRetryAfterMs(result.response, std::chrono::system_clock::now());
  }
  answer.headers = net::ToWireFields(result.response.fields);
  answer.body.assign(result.response.body.begin(), result.response.body.end());
  return answer;
}

bool serving_service::ProbeUpstream() {
  const std::string id = MakeRequestId();
  const auto result = context_.upstream_client.Send(
      *context_.settings.upstream_address,
      {"GET", "/healthz", {{std::string(kRequestIdField), id}}, {}},
      std::chrono::steady_clock::now() + kProbeTimeout, nullptr, MakeExchangeOptions(id));
  if (result.stage == net::exchange_stage::kNotSent) upstream_unreachable_ = true;
  const bool healthy =
      result.stage == net::exchange_stage::kAnswered && result.response.status == kStatusOk;
  if (healthy && upstream_unreachable_.exchange(false)) {
    ApplyCurrentConfig();
    gate_->WithController([](admission::controller& controller) {
      controller.StartRamp(std::chrono::steady_clock::now());
    });
  }
  return healthy;
}

}  // namespace siskinrack::node
