#include "siskinrack/admission/controller.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <utility>

namespace siskinrack::admission {
namespace {

using std::chrono::milliseconds;

/// Time constant for smoothing the slots used by a rank. Longer than a few service times, so that a
/// rank whose floor is less than one slot gets one slot for that fraction of the time.
constexpr nanoseconds kSlotUseTimeConstant = milliseconds(500);
/// Half-life of a service time estimate. After a slow period the estimate may cause every call to
/// be refused, and so prevent new samples; the decay ends this.
constexpr nanoseconds kServiceTimeHalfLife = milliseconds(1000);
/// Minimum weight of a new sample in the smoothed service time.
constexpr double kServiceTimeWeight = 0.1;
/// Queue capacity per slot. With the shortest usual target (200 ms) and a service time of 20 ms,
/// about ten calls per slot can be answered in time.
constexpr std::size_t kQueuedCallsPerSlot = 8;
constexpr std::size_t kMinQueueCapacity = 16;
/// Number of slots assumed for a rank without a floor when ranks of higher worth use all slots.
constexpr double kMinAvailableSlots = 0.05;
constexpr double kPercent = 100;
/// Target that applies if no rank is configured; equals the largest deadline of a request.
constexpr std::uint32_t kDefaultTargetMs = 30'000;

double Seconds(nanoseconds time) { return std::chrono::duration<double>(time).count(); }

nanoseconds Scale(nanoseconds time, double factor) {
  return nanoseconds(std::llround(static_cast<double>(time.count()) * factor));
}

/// Returns the remaining weight of a service time estimate of this age.
double DecayFactor(nanoseconds age) {
  return std::exp2(-Seconds(age) / Seconds(kServiceTimeHalfLife));
}

double FloorShare(const config::rank_policy& policy) { return policy.floor_percent / kPercent; }

decision MakeRefusal(const queued_call& call) {
  return {call.ticket, false, call.limited_by_target ? refusal::kRankTarget : refusal::kDeadline,
          nanoseconds(0)};
}

}  // namespace

std::string_view ToText(refusal reason) {
  switch (reason) {
    case refusal::kDeadline:
      return "deadline can't be met";
    case refusal::kRankTarget:
      return "wait would exceed the target of the rank";
    case refusal::kQueueFull:
      return "queue is full";
    case refusal::kRedirected:
      return "answer would be late here";
    case refusal::kUpstreamPause:
      break;
  }
  return "upstream requested a pause (Retry-After)";
}

controller::controller(upstream_limits limits, std::span<const config::rank_policy> ranks)
    : shed_limit_(limits.slots) {
  Configure(limits, ranks);
}

void controller::Configure(upstream_limits limits, std::span<const config::rank_policy> ranks) {
  const std::vector<rank_state> old = std::exchange(ranks_, {});
  for (const config::rank_policy& policy : ranks) ranks_.emplace_back().policy = policy;
  if (ranks_.empty()) ranks_.emplace_back().policy.target_ms = kDefaultTargetMs;
  std::stable_sort(ranks_.begin(), ranks_.end(), [](const rank_state& a, const rank_state& b) {
    return a.policy.worth > b.policy.worth;
  });
  std::vector<std::size_t> new_indices(old.size());
  for (std::size_t i = 0; i < old.size(); ++i) {
    new_indices[i] = RankIndex(old[i].policy.name);
    rank_state& target = ranks_[new_indices[i]];
    const config::rank_policy policy = target.policy;
    caller_queue waiting = old[i].queue;
    while (!waiting.empty()) target.queue.Push(waiting.Pop());
    target.in_flight += old[i].in_flight;
    target.smoothed_use += old[i].smoothed_use;
    target.smoothed_use_at = std::max(target.smoothed_use_at, old[i].smoothed_use_at);
    if (policy.name == old[i].policy.name) {
      target.service_time = old[i].service_time;
      target.service_time_at = old[i].service_time_at;
    }
  }
  for (auto& [ticket, call] : running_) call.rank = new_indices[call.rank];
  if (limits.slots != limits_.slots) shed_limit_ = limits.slots;
  limits_ = limits;
}

void controller::StartRamp(time_point now) {
  ramp_start_ = now;
  ramping_ = true;
}

decisions controller::Offer(const arrival& call, time_point now) {
  const std::size_t index = RankIndex(call.rank);
  rank_state& rank = ranks_[index];
  const time_point target = now + milliseconds(rank.policy.target_ms);
  queued_call entry{call.ticket, {}, std::min(call.deadline, target), target < call.deadline};
  const nanoseconds service = EstimateServiceTime(rank, now);
  const nanoseconds pause = std::max(paused_until_ - now, nanoseconds(0));
  if (pause.count() > 0 && paused_until_ + service >= entry.latest_end) {
    return {{call.ticket, false, refusal::kUpstreamPause, pause}};
  }
  const nanoseconds wait = pause + EstimateWait(index, call.caller, now);
  if (now + wait + service >= entry.latest_end) return {MakeRefusal(entry)};
  decisions out;
  if (pause.count() == 0 && QueuedCalls() == 0 && running_.size() < SlotLimit(now)) {
    Run(call.ticket, index, now, out);
    return out;
  }
  entry.caller = call.caller;
  rank.queue.Push(std::move(entry));
  EnforceQueueCapacity(now, out);
  Dispatch(now, out);
  return out;
}

decisions controller::Finish(std::uint64_t ticket, call_result result, time_point now,
                             nanoseconds retry_after) {
  const auto found = running_.find(ticket);
  assert(found != running_.end() && "the call is not running");
  const running_call call = found->second;
  running_.erase(found);
  rank_state& rank = ranks_[call.rank];
  SetInFlight(rank, rank.in_flight - 1, now);
  decisions out;
  if (result == call_result::kAnswered || result == call_result::kFailed) {
    UpdateServiceTime(rank, now - call.started, now);
  }
  if (result == call_result::kAnswered) {
    shed_limit_ = std::min<double>(limits_.slots, shed_limit_ + 1 / shed_limit_);
  }
  if (result == call_result::kRefusedByUpstream) {
    // A call that started before the last reduction was not subject to the lower limit, so its
    // refusal is no reason for another reduction.
    if (call.started >= last_limit_cut_) {
      shed_limit_ = std::max(1.0, shed_limit_ / 2);
      last_limit_cut_ = now;
    }
    paused_until_ = std::max(paused_until_, now + retry_after);
    RefuseDuringPause(now, out);
  }
  Dispatch(now, out);
  return out;
}

bool controller::Withdraw(std::uint64_t ticket) {
  return std::any_of(ranks_.begin(), ranks_.end(),
                     [ticket](rank_state& rank) { return rank.queue.Erase(ticket); });
}

decisions controller::Advance(time_point now) {
  decisions out;
  Dispatch(now, out);
  return out;
}

upstream_load controller::Load(time_point now) const {
  return {running_.size(), QueuedCalls(), SlotLimit(now)};
}

upstream_load controller::LoadFor(std::string_view rank, time_point now) const {
  upstream_load load = Load(now);
  load.queued = 0;
  const std::size_t index = RankIndex(rank);
  for (std::size_t i = 0; i <= index; ++i) load.queued += ranks_[i].queue.size();
  const double floor = FloorShare(ranks_[index].policy);
  if (floor > 0) {
    // The floor alone guarantees that the rank's own queue is served within this many calls of all
    // ranks.
    const double by_floor = static_cast<double>(ranks_[index].queue.size()) / floor;
    load.queued = std::min(load.queued, static_cast<std::size_t>(by_floor));
  }
  return load;
}

std::size_t controller::RankIndex(std::string_view name) const {
  for (std::size_t i = 0; i < ranks_.size(); ++i) {
    if (ranks_[i].policy.name == name) return i;
  }
  return ranks_.size() - 1;
}

std::size_t controller::SlotLimit(time_point now) const {
  double limit = std::min<double>(limits_.slots, shed_limit_);
  const nanoseconds age = now - ramp_start_;
  if (ramping_ && age < limits_.ramp) {
    const double part = Seconds(age) / Seconds(limits_.ramp);
    limit = std::min(limit, 1 + (limits_.slots - 1) * part);
  }
  return std::max<std::size_t>(1, static_cast<std::size_t>(limit));
}

double controller::SmoothedSlotUse(const rank_state& rank, time_point now) const {
  const double remaining_weight =
      std::exp(-Seconds(now - rank.smoothed_use_at) / Seconds(kSlotUseTimeConstant));
  const auto current = static_cast<double>(rank.in_flight);
  return current + (rank.smoothed_use - current) * remaining_weight;
}

bool controller::IsBelowFloor(const rank_state& rank, time_point now) const {
  const double floor = FloorShare(rank.policy) * static_cast<double>(SlotLimit(now));
  // The smoothed use is low after an idle period; the limit on calls in flight bounds the burst.
  return SmoothedSlotUse(rank, now) < floor &&
         static_cast<double>(rank.in_flight) < std::ceil(floor);
}

nanoseconds controller::EstimateServiceTime(const rank_state& rank, time_point now) const {
  return Scale(rank.service_time, DecayFactor(now - rank.service_time_at));
}

nanoseconds controller::EstimateWait(std::size_t index, std::string_view caller,
                                     time_point now) const {
  const rank_state& rank = ranks_[index];
  const auto limit = static_cast<double>(SlotLimit(now));
  const double floor = FloorShare(rank.policy) * limit;
  std::size_t higher_rank_calls = 0;
  double slots_of_other_ranks = 0;
  for (std::size_t i = 0; i < ranks_.size(); ++i) {
    if (i == index) continue;
    const double use = SmoothedSlotUse(ranks_[i], now);
    // Ranks of lower worth keep at most their floor while this rank has waiting calls.
    slots_of_other_ranks += i < index ? use : std::min(use, FloorShare(ranks_[i].policy) * limit);
    if (i < index) higher_rank_calls += ranks_[i].queue.size();
  }
  if (running_.size() + QueuedCalls() < SlotLimit(now)) return nanoseconds(0);
  // The wait is the longer of two times: the calls of this rank up to the new one run in the slots
  // that the other ranks leave, and together with the queued calls of higher ranks they run in all
  // slots. The floor limits the wait regardless of the other ranks.
  const auto rank_calls = static_cast<double>(rank.queue.CallsAhead(caller) + 1);
  const double available = std::max({limit - slots_of_other_ranks, floor, kMinAvailableSlots});
  double wait_in_service_times = std::max(
      rank_calls / available, (rank_calls + static_cast<double>(higher_rank_calls)) / limit);
  if (floor > 0) wait_in_service_times = std::min(wait_in_service_times, rank_calls / floor);
  // While no slot becomes free, the remaining wait is expected to equal the time since the last
  // call started or ended.
  return std::max(Scale(EstimateServiceTime(rank, now), wait_in_service_times),
                  now - last_progress_);
}

std::size_t controller::QueueCapacity() const {
  return std::max(kMinQueueCapacity, kQueuedCallsPerSlot * limits_.slots);
}

std::size_t controller::QueuedCalls() const {
  std::size_t count = 0;
  for (const rank_state& rank : ranks_) count += rank.queue.size();
  return count;
}

controller::rank_state* controller::SelectNextRank(time_point now) {
  rank_state* highest = nullptr;
  for (rank_state& rank : ranks_) {
    if (rank.queue.empty()) continue;
    if (IsBelowFloor(rank, now)) return &rank;
    if (highest == nullptr) highest = &rank;
  }
  return highest;
}

void controller::Run(std::uint64_t ticket, std::size_t index, time_point now, decisions& out) {
  running_.emplace(ticket, running_call{index, now});
  SetInFlight(ranks_[index], ranks_[index].in_flight + 1, now);
  out.push_back({.ticket = ticket, .admitted = true});
}

void controller::Dispatch(time_point now, decisions& out) {
  if (now < paused_until_) return;
  while (running_.size() < SlotLimit(now)) {
    rank_state* rank = SelectNextRank(now);
    if (rank == nullptr) return;
    const queued_call call = rank->queue.Pop();
    if (now + EstimateServiceTime(*rank, now) >= call.latest_end) {
      out.push_back(MakeRefusal(call));
    } else {
      Run(call.ticket, static_cast<std::size_t>(rank - ranks_.data()), now, out);
    }
  }
}

void controller::EnforceQueueCapacity(time_point /*now*/, decisions& out) {
  if (QueuedCalls() <= QueueCapacity()) return;
  rank_state* victim = nullptr;
  for (rank_state& rank : ranks_) {
    // A rank keeps its floor share of the queue too; otherwise no call would be left to run in its
    // floor slots.
    const auto reserved = std::max<std::size_t>(
        1,
        static_cast<std::size_t>(FloorShare(rank.policy) * static_cast<double>(QueueCapacity())));
    if (rank.queue.size() > (rank.policy.floor_percent > 0 ? reserved : 0)) victim = &rank;
  }
  assert(victim != nullptr && "the floors must add up to at most the queue capacity");
  out.push_back({victim->queue.PopFromLongest().ticket, false, refusal::kQueueFull, {}});
}

void controller::RefuseDuringPause(time_point now, decisions& out) {
  for (rank_state& rank : ranks_) {
    const time_point earliest_end = paused_until_ + EstimateServiceTime(rank, now);
    rank.queue.EraseIf(
        [&](const queued_call& call) { return earliest_end >= call.latest_end; },
        [&](const queued_call& call) {
          out.push_back({call.ticket, false, refusal::kUpstreamPause, paused_until_ - now});
        });
  }
}

void controller::SetInFlight(rank_state& rank, std::size_t count, time_point now) {
  rank.smoothed_use = SmoothedSlotUse(rank, now);
  rank.smoothed_use_at = now;
  rank.in_flight = count;
  last_progress_ = now;
}

void controller::UpdateServiceTime(rank_state& rank, nanoseconds took, time_point now) {
  // The older the estimate, the greater the weight of the new sample.
  const double weight = std::max(kServiceTimeWeight, 1 - DecayFactor(now - rank.service_time_at));
  rank.service_time += Scale(took - rank.service_time, weight);
  rank.service_time_at = now;
}

}  // namespace siskinrack::admission
