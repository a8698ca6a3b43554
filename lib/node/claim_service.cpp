#include "claim_service.h"

#include <random>

#include "claim_messages.h"
#include "outcome.h"
#include "serving_service.h"
#include "siskinrack/quarantine/fingerprint.h"

namespace siskinrack::node {
namespace {

using idempotency::claim_ask;
using idempotency::claim_decision;
using idempotency::kShards;
using idempotency::verdict;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

/// Nine writes a second and a read for each takeover and settlement, for up to 32 shards.
constexpr double kStoreCallsPerSecond = 600;
constexpr double kStoreBurst = 600;
/// A platform that takes longer is treated as down; it normally answers in milliseconds.
constexpr milliseconds kStoreTimeout{300};
constexpr milliseconds kOwnersLifetime{100};
/// Longest time that an owner keeps an ask; the entry node repeats it until its deadline.
constexpr milliseconds kOwnerWait{2'000};
constexpr milliseconds kClaimTimeout{2'300};
/// Time kept back by the owner, so that its reply arrives before the asker's deadline.
constexpr milliseconds kReplyMargin{100};
/// A shorter time isn't enough for another round trip to the owner.
constexpr milliseconds kMinAskTime{120};
constexpr milliseconds kWritePoll{2};
constexpr milliseconds kResultPoll{10};
constexpr milliseconds kDriverPause{5};
constexpr milliseconds kDriverMinPause{1};
constexpr milliseconds kMaintenance{5'000};
constexpr milliseconds kStopPoll{100};
constexpr int kReportAttempts = 8;
constexpr milliseconds kReportPause{500};

std::uint64_t RandomNumber() {
  thread_local std::mt19937_64 random{std::random_device{}()};
  return random();
}

milliseconds Until(net::steady_time time) {
  return std::chrono::duration_cast<milliseconds>(time - steady_clock::now());
}

}  // namespace

claim_service::claim_service(node_context& context)
    : context_(context),
      store_(context.runtime, {.address = context.settings.platform_address,
                               .call_timeout = kStoreTimeout,
                               .calls_per_second = kStoreCallsPerSecond,
                               .call_burst = kStoreBurst}) {
  for (std::size_t i = 0; i < kShards; ++i) {
    shards_.at(i).owner = std::make_unique<idempotency::shard_owner>(i, RandomNumber());
  }
}

void claim_service::Start() {
  fibers_.Post(context_.runtime, 0, [this] { MaintenanceLoop(); });
}

std::shared_ptr<const claim_service::owner_table> claim_service::MakeOwners() const {
  std::vector<std::string> ids;
  for (const auto& member : context_.members.All()) {
    const bool leaves = member.state == wire::upstream_state::draining ||
                        member.state == wire::upstream_state::left;
    if (member.health == wire::member_health::alive && !leaves) ids.push_back(member.node_id);
  }
  auto table = std::make_shared<owner_table>();
  for (std::size_t i = 0; i < kShards; ++i) {
    shard_owner_node& owner = table->at(i);
    owner.node_id = idempotency::OwnerOf(i, ids);
    const auto member = context_.members.Find(owner.node_id);
    if (member) owner.address = support::ParseSocketAddress(member->peer_address);
  }
  return table;
}

std::shared_ptr<const claim_service::owner_table> claim_service::Owners() {
  const auto now = steady_clock::now();
  const std::lock_guard lock(owners_mutex_);
  if (now >= owners_until_) {
    owners_ = MakeOwners();
    owners_until_ = now + kOwnersLifetime;
  }
  return owners_;
}

bool claim_service::IsSelf(const shard_owner_node& owner) const {
  return owner.node_id == context_.settings.node_id;
}

wire::call_answer_t claim_service::Run(wire::call_request_t call, bool is_first_attempt,
                                       net::cancellation& cancel, const forwarder& forward) {
  const std::string key = call.idempotency_key;
  if (key.empty() || key.size() > idempotency::kMaxKeyBytes) {
    return MakeNotRunAnswer(kStatusBadRequest,
                            "this route needs an idempotency-key of 1 to 128 bytes");
  }
  const auto deadline = steady_clock::now() + milliseconds(call.deadline_ms);
  const claim_ask ask{key,
                      quarantine::FingerprintOf(call.service, call.method, call.target, call.body),
                      RandomNumber(), milliseconds(call.deadline_ms)};
  wire::claim_result_t result;
  result.shard = static_cast<std::uint16_t>(idempotency::ShardOf(key));
  result.key = key;
  result.attempt = ask.attempt;

  const wire::claim_reply_t reply = Claim(ask, cancel);
  if (reply.verdict != wire::claim_verdict::granted) {
    // The grant may be on its way, or be written by an owner that gave no answer.
    if (reply.verdict == wire::claim_verdict::refused) Report(std::move(result));
    return AnswerWithoutGrant(key, is_first_attempt, reply);
  }
  result.epoch = reply.epoch;
  const milliseconds remaining = Until(deadline);
  if (remaining <= milliseconds(0) || cancel.cancelled()) {
    Report(std::move(result));
    return MakeNotRunAnswer(kStatusGatewayTimeout, "deadline passed before the claim was granted");
  }
  call.deadline_ms = static_cast<std::uint32_t>(remaining.count());
  // A caller that hangs up doesn't cancel the run, so that its repeat gets the recorded answer.
  net::cancellation never;
  wire::call_answer_t answer = forward(std::move(call), never);
  result.executed = answer.outcome != wire::outcome_kind::not_run;
  if (answer.outcome == wire::outcome_kind::answered) result.answer = KeptCopy(answer);
  Report(std::move(result));
  return answer;
}

wire::call_answer_t claim_service::AnswerWithoutGrant(const std::string& key, bool is_first_attempt,
                                                      const wire::claim_reply_t& reply) {
  if (reply.verdict == wire::claim_verdict::finished && reply.answer != nullptr) {
    return *reply.answer;
  }
  context_.log.Info("claim_refused", {{"key", key}, {"reason", reply.reason}});
  if (reply.verdict == wire::claim_verdict::refused) {
    auto refusal = MakeNotRunAnswer(kStatusUnavailable, reply.reason);
    return is_first_attempt ? std::move(refusal) : ToUnknownOutcome(std::move(refusal));
  }
  if (reply.verdict == wire::claim_verdict::mismatch) {
    return MakeNotRunAnswer(kStatusUnprocessable, reply.reason);
  }
  const bool in_progress = reply.verdict == wire::claim_verdict::in_progress;
  return MakeUnknownAnswer(in_progress ? kStatusGatewayTimeout : kStatusBadGateway, reply.reason);
}

wire::claim_reply_t claim_service::Claim(const claim_ask& ask, net::cancellation& cancel) {
  const auto deadline = steady_clock::now() + ask.deadline;
  claim_ask attempt = ask;
  std::optional<wire::claim_reply_t> in_progress;
  while (true) {
    wire::claim_reply_t reply = ClaimOnce(attempt, cancel);
    if (reply.verdict == wire::claim_verdict::refused && in_progress) {
      // The key was seen to run, so "not run" would be wrong although the owner is gone now.
      return std::move(*in_progress);
    }
    if (reply.verdict != wire::claim_verdict::in_progress) return reply;
    attempt.deadline = Until(deadline);
    if (attempt.deadline < kMinAskTime || cancel.cancelled()) return reply;
    in_progress = std::move(reply);
  }
}

wire::claim_reply_t claim_service::ClaimOnce(const claim_ask& ask, net::cancellation& cancel) {
  const std::size_t index = idempotency::ShardOf(ask.key);
  const auto owners = Owners();
  const shard_owner_node& owner = owners->at(index);
  if (IsSelf(owner)) return Decide(index, ask, cancel);
  if (!owner.address) return RefusedReply("claim owner is unknown");
  wire::claim_request_t request;
  request.shard = static_cast<std::uint16_t>(index);
  request.key = ask.key;
  request.fingerprint = ask.fingerprint;
  request.attempt = ask.attempt;
  request.deadline_ms = static_cast<std::uint32_t>(ask.deadline.count());
  const auto deadline = steady_clock::now() + std::min(ask.deadline, kClaimTimeout);
  auto result = context_.peers.Request(*owner.address, wire::MakeEnvelope(std::move(request)),
                                       deadline, &cancel);
  auto* reply = result.reply == nullptr ? nullptr : result.reply->message.Asclaim_reply();
  if (reply == nullptr) return RefusedReply("claim owner is unreachable");
  return std::move(*reply);
}

void claim_service::Report(wire::claim_result_t result) {
  fibers_.Spawn([this, result = std::move(result)] {
    for (int i = 0; i < kReportAttempts && !fibers_.stopping(); ++i) {
      if (i > 0) net::SleepFor(kReportPause);
      if (ReportOnce(result)) return;
    }
  });
}

bool claim_service::ReportOnce(const wire::claim_result_t& result) {
  const auto owners = Owners();
  const shard_owner_node& owner = owners->at(result.shard);
  if (IsSelf(owner)) return Record(result);
  if (!owner.address) return false;
  auto answer = context_.peers.Request(*owner.address, wire::MakeEnvelope(result),
                                       steady_clock::now() + kClaimTimeout);
  const auto* reply = answer.reply == nullptr ? nullptr : answer.reply->message.Asclaim_reply();
  return reply != nullptr && reply->verdict == wire::claim_verdict::finished;
}

std::optional<wire::envelope_t> claim_service::Handle(const wire::envelope_t& message,
                                                      net::cancellation& cancel) {
  if (const auto* request = message.message.Asclaim_request()) {
    const std::size_t index = idempotency::ShardOf(request->key);
    const bool valid = !request->key.empty() && request->key.size() <= idempotency::kMaxKeyBytes;
    if (!valid) return wire::MakeEnvelope(RefusedReply("claim without a valid key"));
    if (!IsSelf(Owners()->at(index))) {
      return wire::MakeEnvelope(RefusedReply("node does not own the shard"));
    }
    const claim_ask ask{request->key, request->fingerprint, request->attempt,
                        milliseconds(request->deadline_ms)};
    return wire::MakeEnvelope(Decide(index, ask, cancel));
  }
  if (const auto* result = message.message.Asclaim_result()) {
    wire::claim_reply_t reply = RefusedReply("claim is not known");
    if (result->shard < kShards && Record(*result)) reply.verdict = wire::claim_verdict::finished;
    return wire::MakeEnvelope(std::move(reply));
  }
  return std::nullopt;
}

wire::claim_reply_t claim_service::Decide(std::size_t index, const claim_ask& ask,
                                          net::cancellation& cancel) {
  shard& item = shards_.at(index);
  const milliseconds margin = std::min(kReplyMargin, ask.deadline / 4);
  const auto end = steady_clock::now() + std::min(ask.deadline - margin, kOwnerWait);
  while (true) {
    const auto now = steady_clock::now();
    const bool over = now >= end || cancel.cancelled();
    std::optional<claim_decision> decision;
    {
      const std::lock_guard lock(item.mutex);
      decision = item.owner->Ask(ask, now);
      if (!decision && over) item.owner->Finish(ask.key, ask.attempt, false, {}, now);
    }
    Kick(index);
    const bool waits = !decision || decision->outcome == verdict::kInProgress;
    if (!waits) return ToReply(*decision);
    if (over) return decision ? ToReply(*decision) : RefusedReply("claim was not written in time");
    net::SleepFor(decision ? kResultPoll : kWritePoll);
  }
}

bool claim_service::Record(const wire::claim_result_t& result) {
  shard& item = shards_.at(result.shard);
  bool known = false;
  {
    const auto now = steady_clock::now();
    const std::lock_guard lock(item.mutex);
    known = item.owner->Finish(result.key, result.attempt, result.executed,
                               ToKept(result.answer.get()), now);
    // A loaded log that doesn't hold the claim needs no result of it.
    known = known || item.owner->ready();
    if (!known) item.owner->Open();
  }
  Kick(result.shard);
  return known;
}

void claim_service::Kick(std::size_t index) {
  shard& item = shards_.at(index);
  {
    const std::lock_guard lock(item.mutex);
    if (item.driven || item.owner->IsIdle(steady_clock::now())) return;
    item.driven = true;
  }
  fibers_.Post(context_.runtime, index % context_.runtime.thread_count(),
               [this, index] { Drive(index); });
}

void claim_service::Drive(std::size_t index) {
  shard& item = shards_.at(index);
  while (!fibers_.stopping()) {
    std::optional<idempotency::store_call> call;
    std::vector<idempotency::owner_event> events;
    std::vector<idempotency::log_record> unsaved;
    milliseconds pause{0};
    bool idle = false;
    {
      const auto now = steady_clock::now();
      const std::lock_guard lock(item.mutex);
      call = item.owner->NextCall(now);
      events = item.owner->TakeEvents();
      unsaved = item.owner->TakeUnsavedResults();
      idle = !call && item.owner->IsIdle(now);
      if (idle) item.driven = false;
      pause = std::clamp(Until(item.owner->NextCallAt()), kDriverMinPause, kDriverPause);
    }
    LogEvents(index, events);
    for (const auto& record : unsaved) Report(ToResult(index, record));
    if (idle) return;
    if (!call) {
      net::SleepFor(pause);
      continue;
    }
    auto result = idempotency::RunCall(store_, *call);
    const std::lock_guard lock(item.mutex);
    item.owner->OnResult(std::move(result), steady_clock::now());
  }
}

void claim_service::LogEvents(std::size_t index,
                              const std::vector<idempotency::owner_event>& events) {
  using idempotency::owner_event_kind;
  for (const auto& event : events) {
    if (event.kind == owner_event_kind::kGranted) {
      context_.log.Info("claim_granted", {{"key", event.key}, {"epoch", event.epoch}});
    } else if (event.kind == owner_event_kind::kTakeover) {
      context_.log.Info("claim_takeover", {{"shard", index}, {"epoch", event.epoch}});
    } else if (event.kind == owner_event_kind::kFenced) {
      context_.log.Warn("claim_fenced", {{"shard", index}});
    }
  }
}

void claim_service::MaintenanceLoop() {
  auto next = steady_clock::now() + kMaintenance;
  while (!context_.refusing && !fibers_.stopping()) {
    net::SleepFor(kStopPoll);
    if (steady_clock::now() < next) continue;
    next += kMaintenance;
    const auto owners = Owners();
    for (std::size_t i = 0; i < kShards; ++i) {
      Kick(i);
      if (IsSelf(owners->at(i))) continue;
      shard& item = shards_.at(i);
      const std::lock_guard lock(item.mutex);
      // Frees the memory; a queue is written first, unless the new owner fences it.
      if (item.owner->IsIdle(steady_clock::now())) item.owner->StepDown("node isn't the owner");
    }
  }
}

}  // namespace siskinrack::node
