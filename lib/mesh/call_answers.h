#ifndef SISKINRACK_LIB_MESH_CALL_ANSWERS_H_
#define SISKINRACK_LIB_MESH_CALL_ANSWERS_H_

#include <chrono>
#include <string_view>

#include "siskinrack/admission/controller.h"
#include "siskinrack/wire/siskinrack_generated.h"

namespace siskinrack::mesh {

inline constexpr unsigned kStatusBadRequest = 400;
inline constexpr unsigned kStatusNotFound = 404;
inline constexpr unsigned kFirstServerError = 500;
inline constexpr unsigned kStatusBadGateway = 502;
inline constexpr unsigned kStatusUnavailable = 503;
inline constexpr unsigned kStatusGatewayTimeout = 504;

/// Makes the answer to a request that has not run and will not run, with status 503. A zero
/// `retry_after` means that there is no delay to wait for.
wire::call_answer_t MakeNotRunAnswer(
    wire::answer_cause cause, std::string_view reason,
    std::chrono::milliseconds retry_after = std::chrono::milliseconds(0));
/// Makes the answer to a request that may have run, with status 504 if it timed out and 502 for any
/// other cause.
wire::call_answer_t MakeUnknownAnswer(wire::answer_cause cause, std::string_view reason);

/// Returns the result of a call for the admission control at its serving node. An upstream that
/// answers with a server error has failed: its response time is no sample of the service time.
admission::call_result ToCallResult(const wire::call_answer_t& answer);

}  // namespace siskinrack::mesh

#endif  // SISKINRACK_LIB_MESH_CALL_ANSWERS_H_
