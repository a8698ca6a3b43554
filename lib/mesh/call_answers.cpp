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

}  // namespace siskinrack::mesh
