#include "siskinrack/idempotency/shard_owner.h"

namespace siskinrack::idempotency {

std::optional<claim_decision> shard_owner::Ask(const claim_ask&, steady_time) {
  return claim_decision{verdict::kGranted, 1, {}, {}};
}

bool shard_owner::Finish(const std::string&, std::uint64_t, bool, std::optional<kept_answer>,
                         steady_time) {
  return true;
}

std::optional<store_call> shard_owner::NextCall(steady_time) { return std::nullopt; }

void shard_owner::OnResult(store_call_result, steady_time) {}

std::vector<owner_event> shard_owner::TakeEvents() { return {}; }

}  // namespace siskinrack::idempotency
