#ifndef SISKINRACK_LIB_NODE_CLAIM_MESSAGES_H_
#define SISKINRACK_LIB_NODE_CLAIM_MESSAGES_H_

#include <memory>
#include <optional>
#include <string_view>

#include "siskinrack/idempotency/claim.h"
#include "siskinrack/idempotency/segment.h"
#include "siskinrack/wire/siskinrack_generated.h"

namespace siskinrack::node {

wire::claim_reply_t RefusedReply(std::string_view reason);
wire::claim_reply_t ToReply(const idempotency::claim_decision& decision);

/// The message that records the result of a finish or release record.
wire::claim_result_t ToResult(std::size_t shard, const idempotency::log_record& record);

/// The parts of an answer that are kept for repeats; null if it is too large to be kept.
std::unique_ptr<wire::call_answer_t> KeptCopy(const wire::call_answer_t& answer);
std::optional<idempotency::stored_answer> ToKept(const wire::call_answer_t* answer);

}  // namespace siskinrack::node

#endif  // SISKINRACK_LIB_NODE_CLAIM_MESSAGES_H_
