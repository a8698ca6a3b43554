#ifndef SISKINRACK_LIB_NODE_OUTCOME_H_
#define SISKINRACK_LIB_NODE_OUTCOME_H_

#include <string_view>

namespace siskinrack::node {

/// HTTP header fields that a node reads from requests and adds to responses.
inline constexpr std::string_view kOutcomeField = "x-siskinrack-outcome";
inline constexpr std::string_view kReasonField = "x-siskinrack-reason";
inline constexpr std::string_view kRankField = "x-siskinrack-rank";
inline constexpr std::string_view kDeadlineField = "x-siskinrack-deadline-ms";
inline constexpr std::string_view kCallerField = "x-siskinrack-caller";
inline constexpr std::string_view kAttemptField = "x-siskinrack-attempt";
inline constexpr std::string_view kRequestIdField = "x-request-id";
inline constexpr std::string_view kIdempotencyKeyField = "idempotency-key";

inline constexpr std::string_view kRetryAfterField = "retry-after";

/// Reason of a call that could not be delivered to its upstream. The entry node compares the reason
/// text and counts the call as a failure of the endpoint, not as a refusal.
inline constexpr std::string_view kUnreachableReason = "upstream is unreachable";
/// Reason of a call whose upstream connection closed before the response was complete. The entry
/// node compares the reason text and does not retry the call, which may have crashed the upstream.
inline constexpr std::string_view kUpstreamConnectionLostReason =
    "connection to the upstream broke";

/// Values of the outcome field.
inline constexpr std::string_view kAnsweredOutcome = "answered";
inline constexpr std::string_view kNotRunOutcome = "not-run";
inline constexpr std::string_view kUnknownOutcome = "unknown";

inline constexpr unsigned kStatusOk = 200;
inline constexpr unsigned kStatusBadRequest = 400;
inline constexpr unsigned kStatusNotFound = 404;
inline constexpr unsigned kStatusUnprocessable = 422;
inline constexpr unsigned kStatusTooManyRequests = 429;
inline constexpr unsigned kStatusBadGateway = 502;
inline constexpr unsigned kStatusUnavailable = 503;
inline constexpr unsigned kStatusGatewayTimeout = 504;

}  // namespace siskinrack::node

#endif  // SISKINRACK_LIB_NODE_OUTCOME_H_
