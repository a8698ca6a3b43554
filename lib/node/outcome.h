#ifndef SISKINRACK_LIB_NODE_OUTCOME_H_
#define SISKINRACK_LIB_NODE_OUTCOME_H_

#include <string_view>

namespace siskinrack::node {

/// Fields that this system reads from requests and adds to responses.
inline constexpr std::string_view kOutcomeField = "x-siskinrack-outcome";
inline constexpr std::string_view kReasonField = "x-siskinrack-reason";
inline constexpr std::string_view kRankField = "x-siskinrack-rank";
inline constexpr std::string_view kDeadlineField = "x-siskinrack-deadline-ms";
inline constexpr std::string_view kCallerField = "x-siskinrack-caller";
inline constexpr std::string_view kAttemptField = "x-siskinrack-attempt";
inline constexpr std::string_view kRequestIdField = "x-request-id";
inline constexpr std::string_view kIdempotencyKeyField = "idempotency-key";

inline constexpr std::string_view kRetryAfterField = "retry-after";

/// Reason of a call that didn't reach its upstream; load balancing counts it as a failure.
inline constexpr std::string_view kUnreachableReason = "upstream is unreachable";
inline constexpr std::string_view kUpstreamBrokeReason = "connection to the upstream broke";

inline constexpr std::string_view kAnsweredText = "answered";
inline constexpr std::string_view kNotRunText = "not-run";
inline constexpr std::string_view kUnknownText = "unknown";

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
