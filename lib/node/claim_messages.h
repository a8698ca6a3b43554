#ifndef SISKINRACK_LIB_NODE_CLAIM_MESSAGES_H_
#define SISKINRACK_LIB_NODE_CLAIM_MESSAGES_H_

#include <memory>
#include <optional>
#include <string_view>

#include "siskinrack/idempotency/claim.h"
#include "siskinrack/idempotency/segment.h"
#include "siskinrack/wire/siskinrack_generated.h"

namespace siskinrack::node {

/// Returns a reply that refuses a claim for `reason`.
wire::claim_reply_t MakeRefusedReply(std::string_view reason);
/// Converts the decision of a shard owner to its reply.
wire::claim_reply_t ToClaimReply(const idempotency::claim_decision& decision);

/// Converts a finish or release record to the message that reports the result.
wire::claim_result_t ToClaimResult(std::size_t shard, const idempotency::log_record& record);

/// Returns a copy of the parts of an answer that are stored to answer repeats, or null if they are
/// too large to be stored.
std::unique_ptr<wire::call_answer_t> MakeStorableCopy(const wire::call_answer_t& answer);
/// Converts the answer of a claim result to its stored form. Returns std::nullopt if `answer` is
/// null.
std::optional<idempotency::stored_answer> ToStoredAnswer(const wire::call_answer_t* answer);

}  // namespace siskinrack::node

#endif  // SISKINRACK_LIB_NODE_CLAIM_MESSAGES_H_
