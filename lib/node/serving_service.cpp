#include "serving_service.h"

#include <charconv>

#include "outcome.h"

namespace siskinrack::node {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kProbeTimeout{500};

net::http_request ToHttp(const wire::call_request_t& call) {
  net::http_request request{call.method, call.target, {}, {call.body.begin(), call.body.end()}};
  for (const auto& field : call.headers) request.fields.push_back({field->name, field->value});
  return request;
}

/// An upstream that refuses without having run the request says so in the outcome field.
bool SaysNotRun(const net::http_response& response) {
  return net::FindField(response.fields, kOutcomeField) == kNotRunText;
}

std::uint32_t RetryAfterMs(const net::http_response& response) {
  constexpr std::uint32_t kMsPerSecond = 1000;
  constexpr std::uint32_t kMaxSeconds = 3600;
  const std::string_view text = net::FindField(response.fields, "Retry-After");
  std::uint32_t seconds = 0;
  std::from_chars(text.data(), text.data() + text.size(), seconds);
  return std::min(seconds, kMaxSeconds) * kMsPerSecond;
}

}  // namespace

wire::call_answer_t NotRun(unsigned status, std::string_view reason) {
  wire::call_answer_t answer;
  answer.outcome = wire::outcome_kind::not_run;
  answer.status = static_cast<std::uint16_t>(status);
  answer.reason = reason;
  return answer;
}

wire::call_answer_t Unknown(unsigned status, std::string_view reason) {
  wire::call_answer_t answer = NotRun(status, reason);
  answer.outcome = wire::outcome_kind::unknown;
  return answer;
}

wire::call_answer_t serving_service::Serve(const wire::call_request_t& call,
                                           net::cancellation& cancel) {
  if (context_.refusing) return NotRun(kStatusUnavailable, "node is shutting down");
  if (!context_.settings.upstream_address || call.service != context_.settings.service) {
    return NotRun(kStatusUnavailable, "service is not served here");
  }
  ++in_flight_;
  wire::call_answer_t answer = SendToUpstream(call, cancel);
  answer.in_flight = static_cast<std::uint16_t>(in_flight_.load());
  answer.slots = context_.settings.slots;
  answer.node_id = context_.settings.node_id;
  --in_flight_;
  return answer;
}

wire::call_answer_t serving_service::SendToUpstream(const wire::call_request_t& call,
                                                    net::cancellation& cancel) {
  if (auto refusal = quarantine_.Refusal(call)) return std::move(*refusal);
  const auto deadline = std::chrono::steady_clock::now() + milliseconds(call.deadline_ms);
  const auto run = quarantine_.BeginRun();
  net::http_result result = context_.upstream_client.Send(*context_.settings.upstream_address,
                                                          ToHttp(call), deadline, &cancel);
  quarantine_.EndRun(run, call, result, cancel.cancelled());
  if (result.stage == net::exchange_stage::kNotSent) {
    return NotRun(kStatusUnavailable, "upstream is unreachable");
  }
  if (result.stage == net::exchange_stage::kSent) {
    return result.timed_out ? Unknown(kStatusGatewayTimeout, "upstream did not answer in time")
                            : Unknown(kStatusBadGateway, "connection to the upstream broke");
  }
  wire::call_answer_t answer;
  if (SaysNotRun(result.response)) answer = NotRun(kStatusUnavailable, "upstream sheds load");
  answer.status = static_cast<std::uint16_t>(result.response.status);
  answer.retry_after_ms = RetryAfterMs(result.response);
  for (auto& field : result.response.fields) {
    auto copy = std::make_unique<wire::header_field_t>();
    copy->name = std::move(field.name);
    copy->value = std::move(field.value);
    answer.headers.push_back(std::move(copy));
  }
  answer.body.assign(result.response.body.begin(), result.response.body.end());
  return answer;
}

bool serving_service::ProbeUpstream() {
  const auto result = context_.upstream_client.Send(
      *context_.settings.upstream_address, {"GET", "/healthz", {}, {}},
      std::chrono::steady_clock::now() + kProbeTimeout);
  return result.stage == net::exchange_stage::kAnswered && result.response.status == kStatusOk;
}

}  // namespace siskinrack::node
