#include "claim_messages.h"

namespace siskinrack::node {
namespace {

using idempotency::verdict;

wire::claim_verdict ToWireVerdict(verdict outcome) {
  switch (outcome) {
    case verdict::kGranted:
      return wire::claim_verdict::granted;
    case verdict::kFinished:
      return wire::claim_verdict::finished;
    case verdict::kInProgress:
      return wire::claim_verdict::in_progress;
    case verdict::kLost:
      return wire::claim_verdict::lost;
    case verdict::kMismatch:
      return wire::claim_verdict::mismatch;
    case verdict::kRefused:
      break;
  }
  return wire::claim_verdict::refused;
}

std::unique_ptr<wire::call_answer_t> FromStoredAnswer(const idempotency::stored_answer& stored) {
  auto answer = std::make_unique<wire::call_answer_t>();
  answer->status = stored.status;
  for (const auto& [name, value] : stored.fields) {
    auto field = std::make_unique<wire::header_field_t>();
    field->name = name;
    field->value = value;
    answer->headers.push_back(std::move(field));
  }
  answer->body.assign(stored.body.begin(), stored.body.end());
  return answer;
}

}  // namespace

wire::claim_reply_t MakeRefusedReply(std::string_view reason) {
  wire::claim_reply_t reply;
  reply.verdict = wire::claim_verdict::refused;
  reply.reason = reason;
  return reply;
}

wire::claim_reply_t ToClaimReply(const idempotency::claim_decision& decision) {
  wire::claim_reply_t reply;
  reply.verdict = ToWireVerdict(decision.outcome);
  reply.epoch = decision.epoch;
  reply.reason = decision.reason;
  if (decision.answer) reply.answer = FromStoredAnswer(*decision.answer);
  return reply;
}

wire::claim_result_t ToClaimResult(std::size_t shard, const idempotency::log_record& record) {
  wire::claim_result_t result;
  result.shard = static_cast<std::uint16_t>(shard);
  result.key = record.key;
  result.attempt = record.attempt;
  result.executed = record.kind == idempotency::record_kind::kFinish;
  if (record.answer) result.answer = FromStoredAnswer(*record.answer);
  return result;
}

std::optional<idempotency::stored_answer> ToStoredAnswer(const wire::call_answer_t* answer) {
  if (answer == nullptr) return std::nullopt;
  idempotency::stored_answer stored;
  stored.status = answer->status;
  for (const auto& field : answer->headers) stored.fields.emplace_back(field->name, field->value);
  stored.body.assign(answer->body.begin(), answer->body.end());
  return stored;
}

std::unique_ptr<wire::call_answer_t> MakeStorableCopy(const wire::call_answer_t& answer) {
  const auto stored = ToStoredAnswer(&answer);
  if (idempotency::ContentBytes(*stored) > idempotency::kMaxStoredAnswerBytes) return nullptr;
  return FromStoredAnswer(*stored);
}

}  // namespace siskinrack::node
