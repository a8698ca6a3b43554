#include "entry_service.h"

#include <charconv>

#include "outcome.h"

namespace siskinrack::node {
namespace {

using std::chrono::milliseconds;

constexpr std::uint32_t kMaxDeadlineMs = 30'000;
/// Time for the answer to travel back after the upstream's deadline.
constexpr milliseconds kAnswerMargin{20};

std::string_view OutcomeText(wire::outcome_kind outcome) {
  switch (outcome) {
    case wire::outcome_kind::answered:
      return kAnsweredText;
    case wire::outcome_kind::not_run:
      return kNotRunText;
    case wire::outcome_kind::unknown:
      break;
  }
  return kUnknownText;
}

net::http_response ToHttp(wire::call_answer_t answer) {
  net::http_response response;
  response.status = answer.status;
  for (auto& field : answer.headers) {
    if (field->name == kOutcomeField || field->name == kReasonField) continue;
    response.fields.push_back({std::move(field->name), std::move(field->value)});
  }
  response.fields.push_back({std::string(kOutcomeField), std::string(OutcomeText(answer.outcome))});
  if (!answer.reason.empty()) {
    response.fields.push_back({std::string(kReasonField), answer.reason});
  }
  response.body.assign(answer.body.begin(), answer.body.end());
  if (response.body.empty() && !answer.reason.empty()) response.body = answer.reason + '\n';
  return response;
}

/// Remaining time that the caller gives, else the rank's target.
std::uint32_t DeadlineMs(const net::http_request& request, const config::rank_policy& rank) {
  const std::string_view text = net::FindField(request.fields, kDeadlineField);
  std::uint32_t deadline_ms = rank.target_ms;
  std::from_chars(text.data(), text.data() + text.size(), deadline_ms);
  return std::min(deadline_ms, kMaxDeadlineMs);
}

wire::call_request_t MakeCall(net::http_request request, const config::route& route,
                              const config::rank_policy& rank, std::uint64_t config_version) {
  wire::call_request_t call;
  call.service = route.service;
  call.rank = rank.name;
  call.caller = net::FindField(request.fields, kCallerField);
  call.request_id = net::FindField(request.fields, kRequestIdField);
  if (route.non_repeatable) {
    call.idempotency_key = net::FindField(request.fields, kIdempotencyKeyField);
  }
  call.deadline_ms = DeadlineMs(request, rank);
  call.config_version = config_version;
  call.method = std::move(request.method);
  call.target = std::move(request.target);
  for (net::http_field& field : request.fields) {
    auto copy = std::make_unique<wire::header_field_t>();
    copy->name = std::move(field.name);
    copy->value = std::move(field.value);
    call.headers.push_back(std::move(copy));
  }
  call.body.assign(request.body.begin(), request.body.end());
  return call;
}

}  // namespace

net::http_response entry_service::Handle(net::http_request request, net::cancellation& cancel) {
  if (context_.refusing) return ToHttp(NotRun(kStatusUnavailable, "node is shutting down"));
  const config_snapshot_ptr snapshot = context_.config.Current();
  const config::mesh_resources& resources = snapshot->config.resources;
  const config::route* route = resources.MatchRoute(request.target);
  if (route == nullptr) return ToHttp(NotRun(kStatusNotFound, "no route"));
  const std::string_view named_rank = net::FindField(request.fields, kRankField);
  const config::rank_policy* rank =
      resources.FindRank(named_rank.empty() ? std::string_view(route->rank) : named_rank);
  if (rank == nullptr) return ToHttp(NotRun(kStatusBadRequest, "unknown rank"));
  return ToHttp(
      ForwardGuarded(MakeCall(std::move(request), *route, *rank, snapshot->config.version),
                     route->non_repeatable, cancel));
}

wire::call_answer_t entry_service::ForwardGuarded(wire::call_request_t call, bool non_repeatable,
                                                  net::cancellation& cancel) {
  if (auto refusal = quarantine_.Refusal(call)) return std::move(*refusal);
  if (!non_repeatable) return Forward(std::move(call), cancel);
  return claims_.Run(std::move(call), cancel,
                     [this](wire::call_request_t claimed, net::cancellation& claimed_cancel) {
                       return Forward(std::move(claimed), claimed_cancel);
                     });
}

wire::call_answer_t entry_service::Forward(wire::call_request_t call, net::cancellation& cancel) {
  const auto endpoints = context_.members.Endpoints(call.service);
  if (endpoints->empty()) return NotRun(kStatusUnavailable, "no upstream");
  return ForwardTo((*endpoints)[next_endpoint_++ % endpoints->size()], call, cancel);
}

wire::call_answer_t entry_service::ForwardTo(const membership::member_record& endpoint,
                                             const wire::call_request_t& call,
                                             net::cancellation& cancel) {
  if (endpoint.node_id == context_.settings.node_id) return serving_.Serve(call, cancel);
  const auto address = support::ParseSocketAddress(endpoint.peer_address);
  if (!address) return NotRun(kStatusUnavailable, "upstream has no address");
  const auto deadline =
      std::chrono::steady_clock::now() + milliseconds(call.deadline_ms) + kAnswerMargin;
  auto result = context_.peers.Request(*address, wire::MakeEnvelope(call), deadline, &cancel);
  if (result.stage == net::exchange_stage::kNotSent) {
    return NotRun(kStatusUnavailable, "serving node is unreachable");
  }
  if (result.stage == net::exchange_stage::kSent) {
    return result.timed_out ? Unknown(kStatusGatewayTimeout, "serving node did not answer in time")
                            : Unknown(kStatusBadGateway, "link to the serving node broke");
  }
  auto* answer = result.reply->message.Ascall_answer();
  if (answer == nullptr) return Unknown(kStatusBadGateway, "serving node sent another message");
  return std::move(*answer);
}

}  // namespace siskinrack::node
