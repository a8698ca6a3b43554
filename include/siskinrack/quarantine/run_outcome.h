#ifndef SISKINRACK_QUARANTINE_RUN_OUTCOME_H_
#define SISKINRACK_QUARANTINE_RUN_OUTCOME_H_

#include "siskinrack/net/http_client.h"
#include "siskinrack/quarantine/crash_detector.h"

namespace siskinrack::quarantine {

/// Returns the outcome of an exchange with an upstream as evidence. `cancelled` tells that the
/// caller left before its end.
request_outcome ToRequestOutcome(const net::http_result& result, bool cancelled);

}  // namespace siskinrack::quarantine

#endif  // SISKINRACK_QUARANTINE_RUN_OUTCOME_H_
