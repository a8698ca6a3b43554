#include "entry_service.h"

#include <boost/beast/core/string.hpp>
#include <random>

#include "outcome.h"
#include "request_headers.h"
#include "siskinrack/balancing/scoped_call.h"
#include "siskinrack/net/wire_fields.h"

namespace siskinrack::node {
namespace {

using balancing::call_outcome;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

/// Time after the deadline of the call for its answer to arrive from the serving node.
constexpr milliseconds kAnswerMargin{20};
constexpr unsigned kFirstServerError = 500;

bool FieldNamesEqual(std::string_view name, std::string_view expected) {
  return name.size() == expected.size() && boost::beast::iequals(name, expected);
}

std::string_view GetOutcomeFieldValue(wire::outcome_kind outcome) {
  switch (outcome) {
    case wire::outcome_kind::answered:
      return kAnsweredOutcome;
    case wire::outcome_kind::not_run:
      return kNotRunOutcome;
    case wire::outcome_kind::unknown:
      break;
  }
  return kUnknownOutcome;
}

/// Returns the delay of an answer in whole seconds for Retry-After. It is rounded up, so that the
/// caller waits for the full delay, and at least 1, so that a refused caller does not retry at
/// once.
std::string MakeRetryAfterFieldValue(const wire::call_answer_t& answer) {
  const auto delay = std::chrono::ceil<std::chrono::seconds>(milliseconds(answer.retry_after_ms));
  return std::to_string(std::max<std::int64_t>(1, delay.count()));
}

net::http_response ToHttpResponse(wire::call_answer_t answer) {
  net::http_response response;
  response.status = answer.status;
  response.fields.reserve(answer.headers.size() + 3);
  for (auto& field : answer.headers) {
    if (FieldNamesEqual(field->name, kOutcomeField) || FieldNamesEqual(field->name, kReasonField))
      continue;
    response.fields.push_back({std::move(field->name), std::move(field->value)});
  }
  response.fields.push_back(
      {std::string(kOutcomeField), std::string(GetOutcomeFieldValue(answer.outcome))});
  if (!answer.reason.empty()) {
    response.fields.push_back({std::string(kReasonField), answer.reason});
  }
  const bool may_retry_later =
      answer.outcome == wire::outcome_kind::not_run &&
      (answer.status == kStatusUnavailable || answer.status == kStatusTooManyRequests);
  if (may_retry_later && net::FindField(response.fields, kRetryAfterField).empty()) {
    response.fields.push_back({std::string(kRetryAfterField), MakeRetryAfterFieldValue(answer)});
  }
  response.body.assign(answer.body.begin(), answer.body.end());
  if (response.body.empty() && !answer.reason.empty()) response.body = answer.reason + '\n';
  return response;
}

/// Returns true if a header field is sent in a dedicated member of the call instead of the list of
/// headers.
bool HasDedicatedMember(std::string_view name) {
  return FieldNamesEqual(name, kDeadlineField) || FieldNamesEqual(name, kAttemptField);
}

wire::call_request_t MakeCallRequest(net::http_request request, const request_headers& headers,
                                     const config::route& route, const config::rank_policy& rank,
                                     std::uint64_t config_version) {
  wire::call_request_t call;
  call.service = route.service;
  call.rank = rank.name;
  call.caller = headers.caller;
  call.request_id = headers.request_id;
  if (route.non_repeatable) call.idempotency_key = headers.idempotency_key;
  call.deadline_ms = std::min(headers.deadline_ms.value_or(rank.target_ms), kMaxDeadlineMs);
  call.attempt = headers.attempt;
  call.config_version = config_version;
  call.method = std::move(request.method);
  call.target = std::move(request.target);
  call.headers = net::ToWireFields(request.fields, HasDedicatedMember);
  call.body.assign(request.body.begin(), request.body.end());
  return call;
}

std::uint64_t DrawRandomNumber() {
  thread_local std::mt19937_64 random{std::random_device{}()};
  return random();
}

call_outcome ToCallOutcome(const wire::call_answer_t& answer, bool cancelled) {
  if (cancelled) return call_outcome::kAbandoned;
  switch (answer.outcome) {
    case wire::outcome_kind::answered:
      // With a 503 and Retry-After, the upstream refuses calls because of overload. It gets no
      // calls during the delay.
      if (answer.retry_after_ms > 0) return call_outcome::kRefused;
      return answer.status >= kFirstServerError ? call_outcome::kFailed : call_outcome::kAnswered;
    case wire::outcome_kind::unknown:
      return answer.status == kStatusGatewayTimeout ? call_outcome::kTimedOut
                                                    : call_outcome::kFailed;
    case wire::outcome_kind::not_run:
      break;
  }
  // A refusal because of the deadline does not count against the endpoint: the caller may have sent
  // too short a deadline.
  if (answer.status == kStatusGatewayTimeout) return call_outcome::kAbandoned;
  // A refusal without a load report comes from a node that does not serve the service, is shutting
  // down or has no configuration.
  const bool serves = answer.slots > 0 && answer.reason != kUnreachableReason;
  return serves ? call_outcome::kRefused : call_outcome::kFailed;
}

balancing::call_report MakeCallReport(const wire::call_answer_t& answer, bool cancelled,
                                      steady_clock::duration latency) {
  balancing::call_report report{
      ToCallOutcome(answer, cancelled), latency, {}, milliseconds(answer.retry_after_ms)};
  if (answer.slots > 0) {
    report.load = balancing::reported_load{answer.in_flight, answer.queued, answer.slots};
  }
  return report;
}

wire::call_answer_t MakePausedAnswer(std::chrono::nanoseconds retry_after) {
  auto answer = MakeNotRunAnswer(kStatusUnavailable, "all upstreams are paused by Retry-After");
  answer.retry_after_ms =
      static_cast<std::uint32_t>(std::chrono::ceil<milliseconds>(retry_after).count());
  return answer;
}

}  // namespace

net::http_response entry_service::Handle(net::http_request request, net::cancellation& cancel) {
  std::string problem;
  const request_headers headers = ParseRequestHeaders(request, problem);
  if (problem.empty()) problem = net::FindRequestProblem(request).value_or("");
  if (!problem.empty()) return ToHttpResponse(MakeNotRunAnswer(kStatusBadRequest, problem));
  // Until the route is known, a request with an idempotency key is treated as non-repeatable.
  const auto refuse = [&](unsigned status, std::string_view reason) {
    auto answer = MakeNotRunAnswer(status, reason);
    const bool may_have_run_before = !headers.idempotency_key.empty() && !headers.is_first_attempt;
    return ToHttpResponse(may_have_run_before ? ToUnknownOutcome(std::move(answer))
                                              : std::move(answer));
  };
  if (cancel.cancelled()) return refuse(kStatusUnavailable, "caller left before");
  if (context_.refusing) return refuse(kStatusUnavailable, "node is shutting down");
  const config_snapshot_ptr snapshot = context_.config.Current();
  if (snapshot->config.version == 0) {
    return refuse(kStatusUnavailable, "no configuration is in force yet");
  }
  const config::mesh_resources& resources = snapshot->config.resources;
  const config::route* route = resources.MatchRoute(request.target);
  if (route == nullptr) return refuse(kStatusNotFound, "no route matches the request target");
  const config::rank_policy* rank =
      resources.FindRank(headers.rank.empty() ? std::string_view(route->rank) : headers.rank);
  if (rank == nullptr) return ToHttpResponse(MakeNotRunAnswer(kStatusBadRequest, "unknown rank"));
  // The views of `headers` refer to the fields, which MakeCallRequest moves only after reading
  // them.
  const bool is_first_attempt = headers.is_first_attempt;
  const auto waited = net::ComputeWait(request, steady_clock::now());
  auto call = MakeCallRequest(std::move(request), headers, *route, *rank, snapshot->config.version);
  call.deadline_ms = wire::DeductWait(call.deadline_ms, waited);
  return ToHttpResponse(
      CheckAndForward(std::move(call), route->non_repeatable, is_first_attempt, cancel));
}

wire::call_answer_t entry_service::CheckAndForward(wire::call_request_t call, bool non_repeatable,
                                                   bool is_first_attempt,
                                                   net::cancellation& cancel) {
  if (auto refusal = quarantine_.RefuseIfQuarantined(call)) {
    const bool may_have_run_before =
        non_repeatable && !is_first_attempt && !call.idempotency_key.empty();
    return may_have_run_before ? ToUnknownOutcome(std::move(*refusal)) : std::move(*refusal);
  }
  if (!non_repeatable) return Forward(std::move(call), cancel);
  return claims_.Run(std::move(call), is_first_attempt, cancel,
                     [this](wire::call_request_t claimed, net::cancellation& claimed_cancel) {
                       return Forward(std::move(claimed), claimed_cancel);
                     });
}

wire::call_answer_t entry_service::Forward(wire::call_request_t call, net::cancellation& cancel) {
  const auto deadline = steady_clock::now() + milliseconds(call.deadline_ms);
  const auto list = endpoints_.Find(call.service, call.rank);
  if (list->endpoints.empty())
    return MakeNotRunAnswer(kStatusUnavailable, "no upstream serves the service");
  const auto budget = retry_budgets_.Get(call.service);
  budget->AddRequest();
  const auto first = balancing::Choose(list->candidates, steady_clock::now(), DrawRandomNumber());
  if (!first.index) return MakePausedAnswer(first.retry_after);
  wire::call_answer_t answer =
      RunAttempt(*list, *first.index, call,
                 ComputeFirstAttemptDeadline(*list, *first.index, call, deadline), cancel);

  const bool not_run = answer.outcome == wire::outcome_kind::not_run;
  const bool retry = balancing::IsRetryAllowed({call.attempt, call.idempotency_key.empty(), not_run,
                                                answer.outcome == wire::outcome_kind::unknown,
                                                answer.reason == kUpstreamConnectionLostReason});
  if (!retry || cancel.cancelled() || list->endpoints.size() < 2 ||
      steady_clock::now() >= deadline) {
    return answer;
  }
  const auto second = ChooseRetryEndpoint(*list, *first.index, answer.outcome);
  if (!second || !budget->TakeRetry()) return answer;
  ++call.attempt;
  wire::call_answer_t retried = RunAttempt(*list, *second, call, deadline, cancel);
  // The first attempt may have run, even if the second one did not.
  if (!not_run && retried.outcome == wire::outcome_kind::not_run) return answer;
  return retried;
}

std::optional<std::size_t> entry_service::ChooseRetryEndpoint(const endpoint_list& list,
                                                              std::size_t first,
                                                              wire::outcome_kind outcome) {
  const auto now = steady_clock::now();
  const bool domain_may_be_partitioned =
      outcome == wire::outcome_kind::unknown && !list.candidates[first].same_domain;
  if (domain_may_be_partitioned) {
    std::vector<std::size_t> indices;
    std::vector<balancing::candidate> own_domain;
    for (std::size_t i = 0; i < list.candidates.size(); ++i) {
      if (!list.candidates[i].same_domain) continue;
      indices.push_back(i);
      own_domain.push_back(list.candidates[i]);
    }
    const auto choice = balancing::Choose(own_domain, now, DrawRandomNumber());
    if (choice.index) return indices[*choice.index];
  }
  return balancing::Choose(list.candidates, now, DrawRandomNumber(), first).index;
}

net::steady_time entry_service::ComputeFirstAttemptDeadline(const endpoint_list& list,
                                                            std::size_t index,
                                                            const wire::call_request_t& call,
                                                            net::steady_time deadline) {
  const bool may_retry = call.attempt == 0 && call.idempotency_key.empty();
  if (!may_retry || list.endpoints.size() < 2) return deadline;
  const auto now = steady_clock::now();
  const auto half = now + (deadline - now) / 2;
  return std::min(deadline, std::max(half, now + list.candidates[index].state->AnswerTimeout()));
}

wire::call_answer_t entry_service::RunAttempt(const endpoint_list& list, std::size_t index,
                                              wire::call_request_t& call, net::steady_time deadline,
                                              net::cancellation& cancel) {
  const auto start = steady_clock::now();
  const auto remaining = std::chrono::ceil<milliseconds>(deadline - start).count();
  if (remaining <= 0) return MakeNotRunAnswer(kStatusGatewayTimeout, "deadline has passed");
  call.deadline_ms = static_cast<std::uint32_t>(remaining);
  balancing::scoped_call attempt(*list.candidates[index].state, start);
  wire::call_answer_t answer = ForwardTo(list.endpoints[index], call, cancel);
  const auto end = steady_clock::now();
  attempt.Finish(MakeCallReport(answer, cancel.cancelled(), end - start), end);
  return answer;
}

wire::call_answer_t entry_service::ForwardTo(const endpoint& target,
                                             const wire::call_request_t& call,
                                             net::cancellation& cancel) {
  if (target.node_id == context_.settings.node_id) return serving_.Serve(call, cancel);
  const auto deadline = steady_clock::now() + milliseconds(call.deadline_ms) + kAnswerMargin;
  auto result = context_.peers.Request(target.address, wire::MakeEnvelope(call), deadline, &cancel);
  if (result.stage == net::exchange_stage::kNotSent) {
    return MakeNotRunAnswer(kStatusUnavailable, "serving node is unreachable");
  }
  if (result.stage == net::exchange_stage::kSent) {
    return result.timed_out
               ? MakeUnknownAnswer(kStatusGatewayTimeout, "serving node did not answer in time")
               : MakeUnknownAnswer(kStatusBadGateway, "link to the serving node was lost");
  }
  auto* answer = result.reply->message.Ascall_answer();
  if (answer == nullptr)
    return MakeUnknownAnswer(kStatusBadGateway, "serving node replied with an unexpected message");
  return std::move(*answer);
}

}  // namespace siskinrack::node
