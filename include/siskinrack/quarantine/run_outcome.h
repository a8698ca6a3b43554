#ifndef SISKINRACK_QUARANTINE_RUN_OUTCOME_H_
#define SISKINRACK_QUARANTINE_RUN_OUTCOME_H_

#include "siskinrack/net/http_client.h"
#include "siskinrack/quarantine/crash_detector.h"

namespace siskinrack::quarantine {

/// Returns the outcome of an exchange with an upstream as evidence. `cancelled` tells that the
/// caller left before its end.
request_outcome ToRequestOutcome(const net::http_result& result, bool cancelled);

/// Returns true if the exchange proves that the upstream ran the request to its end and survived
/// it. `ran` tells whether the upstream states in the response that it ran the request. Redirects
/// and errors prove nothing: an overloaded or faulty upstream may answer them before it runs the
/// request, or when it stops at the deadline.
bool ProvesCompletion(const net::http_result& result, bool ran);

}  // namespace siskinrack::quarantine

#endif  // SISKINRACK_QUARANTINE_RUN_OUTCOME_H_
