#include "serving_service.h"

#include <algorithm>

#include "call_answers.h"
#include "request_codec.h"
#include "siskinrack/admission/slot_lease.h"
#include "siskinrack/net/wire_fields.h"
#include "siskinrack/quarantine/scoped_run.h"
#include "siskinrack/support/in_flight_guard.h"

namespace siskinrack::mesh {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;
using wire::answer_cause;

/// Time after the deadline for the upstream's answer to arrive. The upstream itself stops working
/// at the deadline.
constexpr milliseconds kUpstreamAnswerMargin{60};
/// A departing upstream accepts calls for the drain period divided by this number, so that the
/// other nodes receive the departure before calls are refused.
constexpr int kDrainServingDivisor = 2;
/// Longest idle time of a connection that is reused. Upstreams close idle connections after
/// seconds, some without notice.
constexpr milliseconds kMaxIdleRepeatable{5'000};
constexpr milliseconds kMaxIdleAtMostOnce{3'000};

/// Time that a node needs to start again after its exit.
constexpr milliseconds kRestartTime{500};

/// Largest service time that is reported; the wire field has 16 bits.
constexpr std::int64_t kMaxServiceMs = 60'000;

wire::call_answer_t ToAnswer(net::http_response response) {
  wire::call_answer_t answer;
  answer.outcome = wire::outcome_kind::answered;
  answer.status = static_cast<std::uint16_t>(response.status);
  answer.headers = net::ToWireFields(response.fields);
  answer.body.assign(response.body.begin(), response.body.end());
  return answer;
}

bool IsSuccess(unsigned status) { return status / 100 == 2; }

wire::call_answer_t InterpretResult(net::http_result result, bool cancelled) {
  if (result.stage == net::exchange_stage::kNotSent) {
    return MakeNotRunAnswer(answer_cause::unreachable,
                            "no connection to the upstream: " + result.error);
  }
  if (result.stage == net::exchange_stage::kSent) {
    if (cancelled) return MakeUnknownAnswer(answer_cause::cancelled, "caller disconnected");
    return result.timed_out
               ? MakeUnknownAnswer(answer_cause::timed_out, "upstream did not answer in time")
               : MakeUnknownAnswer(answer_cause::broken,
                                   "connection to the upstream broke: " + result.error);
  }
  const auto read = platform_adapter::ReadUpstreamAnswer(result.response);
  if (read.not_run) {
    return MakeNotRunAnswer(
        read.wrong_instance ? answer_cause::wrong_instance : answer_cause::refused_by_upstream,
        "upstream refused with status " + std::to_string(result.response.status), read.retry_after);
  }
  if (!read.stamped && IsSuccess(result.response.status)) {
    return MakeUnknownAnswer(answer_cause::broken, "success response without the upstream's stamp");
  }
  return ToAnswer(std::move(result.response));
}

}  // namespace

serving_service::serving_service(mesh_context& context, registration& instance,
                                 crash_guard& crashes, rollout_counter& rollouts)
    : context_(context),
      registration_(instance),
      crashes_(crashes),
      rollouts_(rollouts),
      gate_(std::make_shared<gate>(admission::deadline_controller(slots_))) {}

void serving_service::UpdateSlots() {
  const std::uint32_t slots = registration_.instance().current()->slots;
  if (slots == slots_) return;
  slots_ = slots;
  gate_->WithController(
      [slots](admission::deadline_controller& controller) { controller.SetSlots(slots); });
}

void serving_service::ApplyStatements(const routing::lifetime& life,
                                      const net::http_result& result) {
  if (result.stage != net::exchange_stage::kAnswered) return;
  const auto read = platform_adapter::ReadUpstreamAnswer(result.response);
  // Another instance, or something that is no upstream, says nothing about this one.
  if (read.wrong_instance || !(read.stamped || read.not_run)) return;
  if (read.leaving) registration_.OnAnnouncedDeparture(life);
  if (!(life == limited_life_)) return;
  limit_stated_ = true;
  SetLimit(read.requests_per_second);
}

void serving_service::AdoptLimit(const wire::call_request_t& call) {
  const routing::lifetime& life = registration_.instance().current()->life;
  if (!(limited_life_ == life)) {
    limited_life_ = life;
    limit_stated_ = false;
    SetLimit(std::nullopt);
  }
  if (!limit_stated_ && !limit_ && call.known_limit > 0) SetLimit(call.known_limit);
}

void serving_service::SetLimit(std::optional<double> per_second) {
  if (per_second == limit_) return;
  limit_ = per_second;
  context_.log.Info("upstream_limit", {{"named", per_second.has_value()},
                                       {"per_second", per_second.value_or(0)},
                                       {"slots", slots_}});
  gate_->WithController([per_second](admission::deadline_controller& controller) {
    controller.SetRate(per_second, steady_clock::now());
  });
}

std::optional<wire::call_answer_t> serving_service::FindRefusal(const wire::call_request_t& call,
                                                                const net::cancellation& cancel) {
  if (cancel.cancelled()) {
    return MakeNotRunAnswer(answer_cause::cancelled, "withdrawn before it was started");
  }
  if (stopped_) {
    const auto now = steady_clock::now();
    const auto until_exit =
        std::chrono::ceil<milliseconds>(context_.shutdown->ExpectCallerRefusal(now) - now);
    return MakeNotRunAnswer(answer_cause::draining, "node is shutting down",
                            std::max(milliseconds(0), until_exit) + kRestartTime);
  }
  const routing::local_instance& local = registration_.instance();
  if (!registration_.IsAlive()) {
    return MakeNotRunAnswer(answer_cause::wrong_instance,
                            "no live upstream is registered on this node");
  }
  if (local.current()->service != call.service) {
    return MakeNotRunAnswer(answer_cause::wrong_instance, "this node serves another service");
  }
  const auto leaving = local.leaving_since();
  if (leaving &&
      steady_clock::now() >= *leaving + context_.settings.drain_period / kDrainServingDivisor) {
    return MakeNotRunAnswer(answer_cause::departed, "upstream is draining");
  }
  if (auto refusal = rollouts_.FindRefusal()) return refusal;
  return crashes_.FindRefusal(call);
}

wire::call_answer_t serving_service::Serve(const wire::call_request_t& call,
                                           net::cancellation& cancel,
                                           std::optional<wire::call_answer_t> link_refusal) {
  const support::in_flight_guard count(in_flight_);
  last_call_ = steady_clock::now();
  const auto deadline = steady_clock::now() + milliseconds(call.deadline_ms);
  auto refusal = FindRefusal(call, cancel);
  if (!refusal) refusal = std::move(link_refusal);
  wire::call_answer_t answer = refusal ? std::move(*refusal) : AdmitAndSend(call, deadline, cancel);
  const admission::upstream_load load = gate_->WithController(
      [](const admission::deadline_controller& controller) { return controller.Load(); });
  answer.in_flight = static_cast<std::uint16_t>(load.in_flight);
  answer.queued = static_cast<std::uint16_t>(load.queued);
  answer.slots = static_cast<std::uint16_t>(load.limit);
  answer.node_id = context_.settings.node_id;
  answer.config_version = context_.version();
  answer.leaving = registration_.instance().leaving_since().has_value();
  answer.named_limit = static_cast<float>(limit_.value_or(0));
  if (answer.outcome != wire::outcome_kind::answered) {
    context_.log.Info("call_failed", {{"request", call.request_id},
                                      {"caller", call.caller},
                                      {"cause", wire::EnumNameanswer_cause(answer.cause)},
                                      {"reason", answer.reason},
                                      {"priority", call.priority},
                                      {"deadline_ms", call.deadline_ms},
                                      {"in_time_ms", call.in_time_ms},
                                      {"in_flight", load.in_flight},
                                      {"queued", load.queued}});
  }
  return answer;
}

wire::call_answer_t serving_service::AdmitAndSend(const wire::call_request_t& call,
                                                  net::steady_time deadline,
                                                  net::cancellation& cancel) {
  UpdateSlots();
  AdoptLimit(call);
  const admission::decision decision =
      gate_->Acquire(admission::timed_arrival{0, call.priority, call.work_class,
                                              steady_clock::now() + milliseconds(call.in_time_ms),
                                              deadline, call.redirectable},
                     deadline, cancel);
  if (!decision.admitted) {
    return MakeNotRunAnswer(answer_cause::no_capacity, admission::ToText(decision.reason),
                            std::chrono::ceil<milliseconds>(decision.retry_after));
  }
  admission::slot_lease lease(*gate_, decision.ticket);
  // The upstream may have announced its departure, and the caller may have left, while the call
  // waited.
  auto refusal = FindRefusal(call, cancel);
  const auto sent_at = steady_clock::now();
  wire::call_answer_t answer =
      refusal ? std::move(*refusal) : SendToUpstream(call, deadline, cancel);
  const admission::call_result result = ToCallResult(answer);
  const auto took = std::chrono::ceil<milliseconds>(steady_clock::now() - sent_at);
  if (!refusal) rollouts_.Record(call, answer, took);
  if (result == admission::call_result::kAnswered) {
    answer.service_ms =
        static_cast<std::uint16_t>(std::min<std::int64_t>(took.count(), kMaxServiceMs));
  }
  lease.SetResult(result, milliseconds(0));
  return answer;
}

wire::call_answer_t serving_service::SendToUpstream(const wire::call_request_t& call,
                                                    net::steady_time deadline,
                                                    net::cancellation& cancel) {
  net::http_request request{call.method, call.target, {}, {}, call.host};
  request.body_view = net::ViewBytes(call.body);
  request.fields.reserve(call.headers.size() + 4);
  for (const auto& field : call.headers) request.fields.push_back({field->name, field->value});
  const auto remaining = std::chrono::floor<milliseconds>(deadline - steady_clock::now());
  if (remaining.count() <= 0)
    return MakeNotRunAnswer(answer_cause::no_capacity, "deadline has passed");
  platform_adapter::AddUpstreamFields(
      {.remaining = remaining,
       .instance_id = registration_.instance().current()->life.instance_id,
       .caller_service = call.caller,
       .tenant = call.tenant},
      request.fields);
  net::exchange_options options = platform_adapter::MakeExchangeOptions(call.request_id);
  options.max_idle = call.at_most_once ? kMaxIdleAtMostOnce : kMaxIdleRepeatable;
  const routing::lifetime life = registration_.instance().current()->life;
  quarantine::scoped_run run(crashes_, call);
  net::http_result result =
      context_.upstream_client.Send(context_.settings.upstream_address, std::move(request),
                                    deadline + kUpstreamAnswerMargin, &cancel, options);
  run.End(result, cancel.cancelled());
  ApplyStatements(life, result);
  return InterpretResult(std::move(result), cancel.cancelled());
}

}  // namespace siskinrack::mesh
