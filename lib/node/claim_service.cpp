#include "claim_service.h"

#include <random>

#include "claim_messages.h"
#include "outcome.h"
#include "serving_service.h"
#include "siskinrack/quarantine/fingerprint.h"
#include "siskinrack/support/scope_exit.h"

namespace siskinrack::node {
namespace {

using idempotency::claim_decision;
using idempotency::claim_request;
using idempotency::kShards;
using idempotency::verdict;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

/// Allows nine writes a second for each of up to 32 shards, and the reads that load the log at a
/// takeover or determine whether a write took effect.
constexpr double kStoreCallsPerSecond = 600;
constexpr double kStoreBurst = 600;
/// The platform normally answers in milliseconds; one that takes longer is treated as unavailable.
constexpr milliseconds kStoreTimeout{300};
constexpr milliseconds kOwnerTableLifetime{100};
/// Maximum time that an owner holds an undecided claim. The entry node repeats the claim until its
/// deadline.
constexpr milliseconds kOwnerWait{2'000};
/// Timeout of a message to the owner: kOwnerWait and time for the round trip.
constexpr milliseconds kClaimTimeout{2'300};
/// Time before the deadline of a claim at which the owner stops waiting, so that the reply arrives
/// before the deadline.
constexpr milliseconds kReplyMargin{100};
/// A shorter remaining time does not allow another round trip to the owner.
constexpr milliseconds kMinClaimTime{120};
/// Poll interval of a claim that is queued or being written.
constexpr milliseconds kWritePoll{2};
/// Poll interval of a claim whose key is in progress under another attempt.
constexpr milliseconds kResultPoll{10};
/// Bounds of the pause of a driver fiber that has no platform call to make yet.
constexpr milliseconds kDriverMaxPause{5};
constexpr milliseconds kDriverMinPause{1};
constexpr milliseconds kMaintenanceInterval{5'000};
/// Interval at which the maintenance loop checks whether it has to stop.
constexpr milliseconds kStopPoll{100};
/// Maximum number of attempts to report a result, and the pause between two of them.
constexpr int kReportAttempts = 8;
constexpr milliseconds kReportPause{500};

std::uint64_t DrawRandomNumber() {
  thread_local std::mt19937_64 random{std::random_device{}()};
  return random();
}

milliseconds ComputeTimeUntil(net::steady_time time) {
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
    shards_.at(i).owner = std::make_unique<idempotency::shard_owner>(i, DrawRandomNumber());
  }
}

void claim_service::Start() {
  fibers_.Post(context_.runtime, 0, [this] { RunMaintenanceLoop(); });
}

std::shared_ptr<const claim_service::owner_table> claim_service::ComputeOwners() const {
  std::vector<std::string> ids;
  for (const auto& member : context_.members.All()) {
    const bool leaving = member.state == wire::upstream_state::draining ||
                         member.state == wire::upstream_state::left;
    if (member.health == wire::member_health::alive && !leaving) ids.push_back(member.node_id);
  }
  auto table = std::make_shared<owner_table>();
  for (std::size_t i = 0; i < kShards; ++i) {
    shard_owner_node& owner = table->at(i);
    owner.node_id = idempotency::SelectOwner(i, ids);
    const auto member = context_.members.Find(owner.node_id);
    if (member) owner.address = support::ParseSocketAddress(member->peer_address);
  }
  return table;
}

std::shared_ptr<const claim_service::owner_table> claim_service::GetCurrentOwners() {
  const auto now = steady_clock::now();
  const std::lock_guard lock(owners_mutex_);
  if (now >= owners_valid_until_) {
    owners_ = ComputeOwners();
    owners_valid_until_ = now + kOwnerTableLifetime;
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
                            "route requires an idempotency-key of 1 to 128 bytes");
  }
  const auto deadline = steady_clock::now() + milliseconds(call.deadline_ms);
  const claim_request claim{
      key, quarantine::ComputeFingerprint(call.service, call.method, call.target, call.body),
      DrawRandomNumber(), milliseconds(call.deadline_ms)};
  wire::claim_result_t result;
  result.shard = static_cast<std::uint16_t>(idempotency::ShardForKey(key));
  result.key = key;
  result.attempt = claim.attempt;

  const wire::claim_reply_t reply = Claim(claim, cancel);
  if (reply.verdict != wire::claim_verdict::granted) {
    // An owner whose reply was lost may have granted the claim. The result, in which `executed` is
    // false, releases it.
    if (reply.verdict == wire::claim_verdict::refused) ReportResult(std::move(result));
    return AnswerWithoutGrant(key, is_first_attempt, reply);
  }
  result.epoch = reply.epoch;
  const milliseconds remaining = ComputeTimeUntil(deadline);
  if (remaining <= milliseconds(0) || cancel.cancelled()) {
    ReportResult(std::move(result));
    return MakeNotRunAnswer(kStatusGatewayTimeout, "deadline passed before the claim was granted");
  }
  call.deadline_ms = static_cast<std::uint32_t>(remaining.count());
  // The run is not cancelled when the caller disconnects, so that a repeat of the request gets the
  // recorded answer.
  net::cancellation not_cancelled;
  // If the forwarder throws, the request may have run. Without a result its key would stay in
  // progress.
  result.executed = true;
  const support::scope_exit report([this, &result] { ReportResult(std::move(result)); });
  wire::call_answer_t answer = forward(std::move(call), not_cancelled);
  result.executed = answer.outcome != wire::outcome_kind::not_run;
  if (answer.outcome == wire::outcome_kind::answered) result.answer = MakeStorableCopy(answer);
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

wire::claim_reply_t claim_service::Claim(const claim_request& claim, net::cancellation& cancel) {
  const auto deadline = steady_clock::now() + claim.deadline;
  claim_request attempt = claim;
  std::optional<wire::claim_reply_t> in_progress;
  while (true) {
    wire::claim_reply_t reply = TryClaim(attempt, cancel);
    if (reply.verdict == wire::claim_verdict::refused && in_progress) {
      // An earlier reply reported the key as in progress, so "not run" would be wrong even though
      // this claim is refused.
      return std::move(*in_progress);
    }
    if (reply.verdict != wire::claim_verdict::in_progress) return reply;
    attempt.deadline = ComputeTimeUntil(deadline);
    if (attempt.deadline < kMinClaimTime || cancel.cancelled()) return reply;
    in_progress = std::move(reply);
  }
}

wire::claim_reply_t claim_service::TryClaim(const claim_request& claim, net::cancellation& cancel) {
  const std::size_t index = idempotency::ShardForKey(claim.key);
  const auto owners = GetCurrentOwners();
  const shard_owner_node& owner = owners->at(index);
  if (IsSelf(owner)) return DecideClaim(index, claim, cancel);
  if (!owner.address) return MakeRefusedReply("claim owner is unknown");
  wire::claim_request_t request;
  request.shard = static_cast<std::uint16_t>(index);
  request.key = claim.key;
  request.fingerprint = claim.fingerprint;
  request.attempt = claim.attempt;
  request.deadline_ms = static_cast<std::uint32_t>(claim.deadline.count());
  const auto deadline = steady_clock::now() + std::min(claim.deadline, kClaimTimeout);
  auto result = context_.peers.Request(*owner.address, wire::MakeEnvelope(std::move(request)),
                                       deadline, &cancel);
  auto* reply = result.reply == nullptr ? nullptr : result.reply->message.Asclaim_reply();
  if (reply == nullptr) return MakeRefusedReply("claim owner is unreachable");
  return std::move(*reply);
}

void claim_service::ReportResult(wire::claim_result_t result) {
  fibers_.Spawn([this, result = std::move(result)] {
    for (int i = 0; i < kReportAttempts && !fibers_.stopping(); ++i) {
      if (i > 0) net::SleepFor(kReportPause);
      if (TryReportResult(result)) return;
    }
  });
}

bool claim_service::TryReportResult(const wire::claim_result_t& result) {
  const auto owners = GetCurrentOwners();
  const shard_owner_node& owner = owners->at(result.shard);
  if (IsSelf(owner)) return RecordResult(result);
  if (!owner.address) return false;
  auto answer = context_.peers.Request(*owner.address, wire::MakeEnvelope(result),
                                       steady_clock::now() + kClaimTimeout);
  const auto* reply = answer.reply == nullptr ? nullptr : answer.reply->message.Asclaim_reply();
  return reply != nullptr && reply->verdict == wire::claim_verdict::finished;
}

std::optional<wire::envelope_t> claim_service::Handle(const wire::envelope_t& message,
                                                      net::cancellation& cancel) {
  if (const auto* request = message.message.Asclaim_request()) {
    const std::size_t index = idempotency::ShardForKey(request->key);
    const bool valid = !request->key.empty() && request->key.size() <= idempotency::kMaxKeyBytes;
    if (!valid) return wire::MakeEnvelope(MakeRefusedReply("claim without a valid key"));
    if (!IsSelf(GetCurrentOwners()->at(index))) {
      return wire::MakeEnvelope(MakeRefusedReply("node does not own the shard"));
    }
    const claim_request claim{request->key, request->fingerprint, request->attempt,
                              milliseconds(request->deadline_ms)};
    return wire::MakeEnvelope(DecideClaim(index, claim, cancel));
  }
  if (const auto* result = message.message.Asclaim_result()) {
    wire::claim_reply_t reply = MakeRefusedReply("claim is unknown to the owner");
    if (result->shard < kShards && RecordResult(*result))
      reply.verdict = wire::claim_verdict::finished;
    return wire::MakeEnvelope(std::move(reply));
  }
  return std::nullopt;
}

wire::claim_reply_t claim_service::DecideClaim(std::size_t index, const claim_request& claim,
                                               net::cancellation& cancel) {
  shard_state& shard = shards_.at(index);
  const milliseconds margin = std::min(kReplyMargin, claim.deadline / 4);
  const auto end = steady_clock::now() + std::min(claim.deadline - margin, kOwnerWait);
  while (true) {
    const auto now = steady_clock::now();
    const bool stop_waiting = now >= end || cancel.cancelled();
    std::optional<claim_decision> decision;
    {
      const std::lock_guard lock(shard.mutex);
      decision = shard.owner->RequestClaim(claim, now);
      // Withdraws the claim, which the entry node reports as refused.
      if (!decision && stop_waiting)
        shard.owner->RecordResult(claim.key, claim.attempt, false, {}, now);
    }
    StartDriver(index);
    const bool undecided = !decision || decision->outcome == verdict::kInProgress;
    if (!undecided) return ToClaimReply(*decision);
    if (stop_waiting)
      return decision ? ToClaimReply(*decision) : MakeRefusedReply("claim was not written in time");
    net::SleepFor(decision ? kResultPoll : kWritePoll);
  }
}

bool claim_service::RecordResult(const wire::claim_result_t& result) {
  shard_state& shard = shards_.at(result.shard);
  bool handled = false;
  {
    const auto now = steady_clock::now();
    const std::lock_guard lock(shard.mutex);
    handled = shard.owner->RecordResult(result.key, result.attempt, result.executed,
                                        ToStoredAnswer(result.answer.get()), now);
    // If the log is loaded and does not contain the claim, there is no result to record.
    handled = handled || shard.owner->is_ready();
    if (!handled) shard.owner->RequestLoad();
  }
  StartDriver(result.shard);
  return handled;
}

void claim_service::StartDriver(std::size_t index) {
  shard_state& shard = shards_.at(index);
  {
    const std::lock_guard lock(shard.mutex);
    if (shard.driver_running || shard.owner->IsIdle(steady_clock::now())) return;
    shard.driver_running = true;
  }
  fibers_.Post(context_.runtime, index % context_.runtime.thread_count(),
               [this, index] { RunDriver(index); });
}

void claim_service::RunDriver(std::size_t index) {
  shard_state& shard = shards_.at(index);
  while (!fibers_.stopping()) {
    std::optional<idempotency::store_call> call;
    std::vector<idempotency::owner_event> events;
    std::vector<idempotency::log_record> unsaved;
    milliseconds pause{0};
    bool idle = false;
    {
      const auto now = steady_clock::now();
      const std::lock_guard lock(shard.mutex);
      call = shard.owner->NextCall(now);
      events = shard.owner->TakeEvents();
      unsaved = shard.owner->TakeUnsavedResults();
      idle = !call && shard.owner->IsIdle(now);
      if (idle) shard.driver_running = false;
      pause =
          std::clamp(ComputeTimeUntil(shard.owner->NextCallAt()), kDriverMinPause, kDriverMaxPause);
    }
    LogEvents(index, events);
    for (const auto& record : unsaved) ReportResult(ToClaimResult(index, record));
    if (idle) return;
    if (!call) {
      net::SleepFor(pause);
      continue;
    }
    auto result = idempotency::RunCall(store_, *call);
    const std::lock_guard lock(shard.mutex);
    shard.owner->OnResult(std::move(result), steady_clock::now());
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

void claim_service::RunMaintenanceLoop() {
  auto next = steady_clock::now() + kMaintenanceInterval;
  while (!context_.refusing && !fibers_.stopping()) {
    net::SleepFor(kStopPoll);
    if (steady_clock::now() < next) continue;
    next += kMaintenanceInterval;
    const auto owners = GetCurrentOwners();
    for (std::size_t i = 0; i < kShards; ++i) {
      StartDriver(i);
      if (IsSelf(owners->at(i))) continue;
      shard_state& shard = shards_.at(i);
      const std::lock_guard lock(shard.mutex);
      // Frees the memory of the shard. Queued records are written first, unless the new owner has
      // fenced the log.
      if (shard.owner->IsIdle(steady_clock::now()))
        shard.owner->StepDown("node does not own the shard");
    }
  }
}

}  // namespace siskinrack::node
