#include "call_answers.h"

namespace siskinrack::mesh {

wire::call_answer_t MakeNotRunAnswer(wire::answer_cause cause, std::string_view reason,
                                     std::chrono::milliseconds retry_after) {
  wire::call_answer_t answer;
  answer.outcome = wire::outcome_kind::not_run;
  answer.status = kStatusUnavailable;
  answer.cause = cause;
  answer.reason = reason;
  answer.retry_after_ms = static_cast<std::uint32_t>(retry_after.count());
  return answer;
}

wire::call_answer_t MakeUnknownAnswer(wire::answer_cause cause, std::string_view reason) {
  wire::call_answer_t answer;
  answer.outcome = wire::outcome_kind::unknown;
  answer.status =
      cause == wire::answer_cause::timed_out ? kStatusGatewayTimeout : kStatusBadGateway;
  answer.cause = cause;
  answer.reason = reason;
  return answer;
}

admission::call_result ToCallResult(const wire::call_answer_t& answer) {
  switch (answer.cause) {
    case wire::answer_cause::none:
      return answer.status >= kFirstServerError ? admission::call_result::kFailed
                                                : admission::call_result::kAnswered;
    case wire::answer_cause::refused_by_upstream:
      return admission::call_result::kRefusedByUpstream;
    case wire::answer_cause::broken:
    case wire::answer_cause::timed_out:
      return admission::call_result::kFailed;
    default:
      return admission::call_result::kAbandoned;
  }
}

}  // namespace siskinrack::mesh
