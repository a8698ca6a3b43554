#include "siskinrack/admission/controller.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <utility>

namespace siskinrack::admission {
namespace {

using std::chrono::milliseconds;

/// Window over which the slots in use by a rank are smoothed; longer than a few service times, so
/// that a floor of less than one slot is a share of time.
constexpr nanoseconds kUseWindow = milliseconds(500);
/// Time after which an estimate of the service time counts half, so that a slow spell is forgotten
/// although its estimate lets no call through.
constexpr nanoseconds kServiceHalfLife = milliseconds(1000);
constexpr double kServiceWeight = 0.1;
/// Waiting calls per slot. With the shortest usual target (200 ms) and 20 ms of service time, about
/// ten calls per slot can be in time.
constexpr std::size_t kQueuePerSlot = 8;
constexpr std::size_t kMinQueue = 16;
/// Share of the slots assumed for a rank without a floor when more worthy work takes everything.
constexpr double kMinAvailableSlots = 0.05;
constexpr double kPercent = 100;
/// Target without any configured rank; equal to the largest deadline of a request.
constexpr std::uint32_t kDefaultTargetMs = 30'000;

double Seconds(nanoseconds time) { return std::chrono::duration<double>(time).count(); }

nanoseconds Scaled(nanoseconds time, double factor) {
  return nanoseconds(std::llround(static_cast<double>(time.count()) * factor));
}

double HalvedBy(nanoseconds age) { return std::exp2(-Seconds(age) / Seconds(kServiceHalfLife)); }

double FloorShare(const config::rank_policy& policy) { return policy.floor_percent / kPercent; }

decision Refuse(const queued_call& call) {
  return {call.ticket, false, call.by_target ? refusal::kRankTarget : refusal::kDeadline,
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
    case refusal::kUpstreamPause:
      break;
  }
  return "upstream asked for a pause";
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
  std::vector<std::size_t> moved(old.size());
  for (std::size_t i = 0; i < old.size(); ++i) {
    moved[i] = RankIndex(old[i].policy.name);
    rank_state& target = ranks_[moved[i]];
    const config::rank_policy policy = target.policy;
    caller_queue waiting = old[i].queue;
    while (!waiting.empty()) target.queue.Push(waiting.Pop());
    target.in_flight += old[i].in_flight;
    target.use += old[i].use;
    target.use_at = std::max(target.use_at, old[i].use_at);
    if (policy.name == old[i].policy.name) {
      target.service = old[i].service;
      target.service_at = old[i].service_at;
    }
  }
  for (auto& [ticket, call] : running_) call.rank = moved[call.rank];
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
  const nanoseconds service = Service(rank, now);
  const nanoseconds pause = std::max(paused_until_ - now, nanoseconds(0));
  if (pause.count() > 0 && paused_until_ + service >= entry.end_by) {
    return {{call.ticket, false, refusal::kUpstreamPause, pause}};
  }
  const nanoseconds wait = pause + EstimatedWait(index, call.caller, now);
  if (now + wait + service >= entry.end_by) return {Refuse(entry)};
  decisions out;
  if (pause.count() == 0 && Queued() == 0 && running_.size() < Limit(now)) {
    Run(call.ticket, index, now, out);
    return out;
  }
  entry.caller = call.caller;
  rank.queue.Push(std::move(entry));
  MakeRoom(now, out);
  Dispatch(now, out);
  return out;
}

decisions controller::Finish(std::uint64_t ticket, call_result result, time_point now,
                             nanoseconds retry_after) {
  const auto found = running_.find(ticket);
  assert(found != running_.end() && "the call does not run");
  const running_call call = found->second;
  running_.erase(found);
  rank_state& rank = ranks_[call.rank];
  SetInFlight(rank, rank.in_flight - 1, now);
  decisions out;
  if (result == call_result::kAnswered || result == call_result::kFailed) {
    Learn(rank, now - call.started, now);
  }
  if (result == call_result::kAnswered) {
    shed_limit_ = std::min<double>(limits_.slots, shed_limit_ + 1 / shed_limit_);
  }
  if (result == call_result::kShed) {
    // Calls that started before the last cut say nothing about the lower limit.
    if (call.started >= last_cut_) {
      shed_limit_ = std::max(1.0, shed_limit_ / 2);
      last_cut_ = now;
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
  return {running_.size(), Queued(), Limit(now)};
}

upstream_load controller::LoadFor(std::string_view rank, time_point now) const {
  upstream_load load = Load(now);
  load.queued = 0;
  const std::size_t index = RankIndex(rank);
  for (std::size_t i = 0; i <= index; ++i) load.queued += ranks_[i].queue.size();
  const double floor = FloorShare(ranks_[index].policy);
  if (floor > 0) {
    // The slots of the floor alone clear the rank's own queue after this many calls of all ranks.
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

std::size_t controller::Limit(time_point now) const {
  double limit = std::min<double>(limits_.slots, shed_limit_);
  const nanoseconds age = now - ramp_start_;
  if (ramping_ && age < limits_.ramp) {
    const double part = Seconds(age) / Seconds(limits_.ramp);
    limit = std::min(limit, 1 + (limits_.slots - 1) * part);
  }
  return std::max<std::size_t>(1, static_cast<std::size_t>(limit));
}

double controller::SmoothedUse(const rank_state& rank, time_point now) const {
  const double kept = std::exp(-Seconds(now - rank.use_at) / Seconds(kUseWindow));
  const auto current = static_cast<double>(rank.in_flight);
  return current + (rank.use - current) * kept;
}

bool controller::FloorUnmet(const rank_state& rank, time_point now) const {
  const double floor = FloorShare(rank.policy) * static_cast<double>(Limit(now));
  // After an idle time the smoothed use is low; the calls in flight bound the burst.
  return SmoothedUse(rank, now) < floor && static_cast<double>(rank.in_flight) < std::ceil(floor);
}

nanoseconds controller::Service(const rank_state& rank, time_point now) const {
  return Scaled(rank.service, HalvedBy(now - rank.service_at));
}

nanoseconds controller::EstimatedWait(std::size_t index, std::string_view caller,
                                      time_point now) const {
  const rank_state& rank = ranks_[index];
  const auto limit = static_cast<double>(Limit(now));
  const double floor = FloorShare(rank.policy) * limit;
  std::size_t more_worthy = 0;
  double taken = 0;
  for (std::size_t i = 0; i < ranks_.size(); ++i) {
    if (i == index) continue;
    const double use = SmoothedUse(ranks_[i], now);
    // Less worthy work keeps no more than its floor once this rank waits.
    taken += i < index ? use : std::min(use, FloorShare(ranks_[i].policy) * limit);
    if (i < index) more_worthy += ranks_[i].queue.size();
  }
  if (running_.size() + Queued() < Limit(now)) return nanoseconds(0);
  const auto ahead = static_cast<double>(rank.queue.CallsAhead(caller) + 1);
  const double available = std::max({limit - taken, floor, kMinAvailableSlots});
  double slot_times =
      std::max(ahead / available, (ahead + static_cast<double>(more_worthy)) / limit);
  if (floor > 0) slot_times = std::min(slot_times, ahead / floor);
  // While no slot becomes free, the wait is expected to last as long again as it has lasted.
  return std::max(Scaled(Service(rank, now), slot_times), now - last_progress_);
}

std::size_t controller::QueueCapacity() const {
  return std::max(kMinQueue, kQueuePerSlot * limits_.slots);
}

std::size_t controller::Queued() const {
  std::size_t count = 0;
  for (const rank_state& rank : ranks_) count += rank.queue.size();
  return count;
}

controller::rank_state* controller::NextRank(time_point now) {
  rank_state* most_worthy = nullptr;
  for (rank_state& rank : ranks_) {
    if (rank.queue.empty()) continue;
    if (FloorUnmet(rank, now)) return &rank;
    if (most_worthy == nullptr) most_worthy = &rank;
  }
  return most_worthy;
}

void controller::Run(std::uint64_t ticket, std::size_t index, time_point now, decisions& out) {
  running_.emplace(ticket, running_call{index, now});
  SetInFlight(ranks_[index], ranks_[index].in_flight + 1, now);
  out.push_back({.ticket = ticket, .admitted = true});
}

void controller::Dispatch(time_point now, decisions& out) {
  if (now < paused_until_) return;
  while (running_.size() < Limit(now)) {
    rank_state* rank = NextRank(now);
    if (rank == nullptr) return;
    const queued_call call = rank->queue.Pop();
    if (now + Service(*rank, now) >= call.end_by) {
      out.push_back(Refuse(call));
    } else {
      Run(call.ticket, static_cast<std::size_t>(rank - ranks_.data()), now, out);
    }
  }
}

void controller::MakeRoom(time_point /*now*/, decisions& out) {
  if (Queued() <= QueueCapacity()) return;
  rank_state* victim = nullptr;
  for (rank_state& rank : ranks_) {
    // A rank keeps its share of the queue too, else its floor would have nothing to run.
    const auto kept = std::max<std::size_t>(
        1,
        static_cast<std::size_t>(FloorShare(rank.policy) * static_cast<double>(QueueCapacity())));
    if (rank.queue.size() > (rank.policy.floor_percent > 0 ? kept : 0)) victim = &rank;
  }
  assert(victim != nullptr && "floors add up to at most the whole queue");
  out.push_back({victim->queue.PopFromLongest().ticket, false, refusal::kQueueFull, {}});
}

void controller::RefuseDuringPause(time_point now, decisions& out) {
  for (rank_state& rank : ranks_) {
    const time_point earliest_end = paused_until_ + Service(rank, now);
    rank.queue.EraseIf(
        [&](const queued_call& call) { return earliest_end >= call.end_by; },
        [&](const queued_call& call) {
          out.push_back({call.ticket, false, refusal::kUpstreamPause, paused_until_ - now});
        });
  }
}

void controller::SetInFlight(rank_state& rank, std::size_t count, time_point now) {
  rank.use = SmoothedUse(rank, now);
  rank.use_at = now;
  rank.in_flight = count;
  last_progress_ = now;
}

void controller::Learn(rank_state& rank, nanoseconds took, time_point now) {
  // An old estimate weighs less than a fresh one.
  const double weight = std::max(kServiceWeight, 1 - HalvedBy(now - rank.service_at));
  rank.service += Scaled(took - rank.service, weight);
  rank.service_at = now;
}

}  // namespace siskinrack::admission
