#include "siskinrack/quarantine/run_outcome.h"

namespace siskinrack::quarantine {

request_outcome ToRequestOutcome(const net::http_result& result, bool cancelled) {
  if (result.stage == net::exchange_stage::kAnswered) return request_outcome::kAnswered;
  if (result.stage == net::exchange_stage::kNotSent) return request_outcome::kNotSent;
  return result.broken() && !cancelled ? request_outcome::kBroken : request_outcome::kAbandoned;
}

bool ProvesCompletion(const net::http_result& result, bool ran) {
  return ran && result.stage == net::exchange_stage::kAnswered && result.response.status / 100 == 2;
}

}  // namespace siskinrack::quarantine
