// Measures the service level of each rank during a load surge, in virtual time. The production
// admission and balancing code runs over simulated upstreams with a fixed number of slots, a skewed
// distribution of service times, and links between failure domains with 4 ms delay, jitter and 1%
// loss (a lost packet costs a retransmission). The baseline in the same run selects endpoints round
// robin, admits everything and retries twice without a budget.

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <iostream>
#include <map>
#include <queue>
#include <random>
#include <string>
#include <tuple>
#include <unordered_map>

#include "report.h"
#include "siskinrack/admission/controller.h"
#include "siskinrack/balancing/retry_budget.h"
#include "siskinrack/balancing/selection.h"

namespace siskinrack::bench {
namespace {

using admission::call_result;
using balancing::call_outcome;
using std::chrono::milliseconds;
using std::chrono::nanoseconds;
using time_point = std::chrono::steady_clock::time_point;

/// Mean service time of the calls that are not long.
constexpr double kMeanServiceMs = 20;
constexpr double kLongCallShare = 0.05;
constexpr double kLongCallMs = 150;
constexpr double kLinkDelayMs = 4;
constexpr double kLinkJitterMs = 2;
constexpr double kLossProbability = 0.01;
constexpr double kRetransmissionMs = 200;
constexpr milliseconds kSurgeStart{4'000};
constexpr milliseconds kSurgeEnd{12'000};
constexpr milliseconds kRunEnd{20'000};
constexpr std::size_t kCallerCount = 20;
constexpr unsigned kBaselineRetries = 2;
/// Queue capacity of a typical server without admission control.
constexpr std::size_t kBaselineQueueCapacity = 1000;

struct rank_load {
  config::rank_policy policy;
  /// Share of all calls at 1x load.
  double share;
};

struct deployment {
  std::string name;
  std::size_t instances;
  std::uint32_t slots;
  std::size_t domains;
  std::vector<rank_load> ranks;  // In descending order of urgency.
};

/// Counts the calls of a rank and those answered within its target latency.
struct rank_total {
  std::uint64_t offered = 0;
  std::uint64_t in_target = 0;
};

/// Holds the results of one run. `before` and `during` the surge are indexed by rank.
struct run_result {
  std::vector<rank_total> before, during;
  std::uint64_t calls = 0;
  std::uint64_t retries = 0;
  /// Number of answers within the target latency in each kGoodputSlice.
  std::vector<double> goodput;
};

constexpr milliseconds kGoodputSlice{100};

/// Simulates one deployment. During the surge, extra calls of rank `surge_rank` raise the load of
/// all ranks together to `factor` times the base load.
class simulation {
 public:
  simulation(const deployment& setup, std::size_t surge_rank, double factor, bool baseline)
      : setup_(setup), surge_rank_(surge_rank), factor_(factor), baseline_(baseline) {
    std::vector<config::rank_policy> ranks;
    for (const rank_load& rank : setup.ranks) ranks.push_back(rank.policy);
    for (std::size_t i = 0; i < setup.instances; ++i) {
      upstreams_.push_back({admission::controller({setup.slots, milliseconds(0)}, ranks), {}, 0});
    }
    // The entry node of each domain keeps separate endpoint states for each rank.
    for (std::size_t set = 0; set < setup.domains * ranks.size(); ++set) {
      const std::size_t domain = set % setup.domains;
      auto& endpoints = endpoint_sets_.emplace_back();
      for (std::size_t i = 0; i < setup.instances; ++i) {
        endpoints.push_back({std::make_shared<balancing::endpoint_state>(setup.slots),
                             i % setup.domains == domain});
      }
    }
    result_.before.resize(ranks.size());
    result_.during.resize(ranks.size());
    result_.goodput.resize(static_cast<std::size_t>(kRunEnd / kGoodputSlice) + 1);
  }

  run_result Run() {
    for (std::size_t rank = 0; rank < setup_.ranks.size(); ++rank) ScheduleArrival(rank);
    while (!events_.empty() && events_.top().at < RunStart() + kRunEnd) {
      const auto action = events_.top().action;
      now_ = events_.top().at;
      events_.pop();
      action();
    }
    return result_;
  }

 private:
  struct event {
    time_point at;
    std::uint64_t order;
    std::function<void()> action;
    bool operator<(const event& other) const {
      return std::tie(at, order) > std::tie(other.at, other.order);
    }
  };
  struct simulated_call {
    std::size_t rank = 0;
    std::size_t domain = 0;
    std::string caller;
    time_point start, deadline, sent;
    double service_ms = 0;
    unsigned attempt = 0;
    std::size_t target = 0;
  };
  struct simulated_upstream {
    admission::controller controller;
    std::deque<std::uint64_t> baseline_queue;
    std::size_t baseline_running;
  };

  static time_point RunStart() { return time_point() + std::chrono::hours(1); }
  static nanoseconds FromMilliseconds(double ms) { return nanoseconds(std::llround(ms * 1e6)); }
  double DrawUniform() { return std::uniform_real_distribution<double>(0, 1)(random_); }
  void ScheduleAfter(nanoseconds delay, std::function<void()> action) {
    events_.push({now_ + delay, ++order_, std::move(action)});
  }

  bool IsInSurge() const {
    return now_ >= RunStart() + kSurgeStart && now_ < RunStart() + kSurgeEnd;
  }

  /// Returns the calls per second of `rank`. At 1x, all ranks together use 60% of the slots.
  double ComputeArrivalRate(std::size_t rank) const {
    const double capacity = static_cast<double>(setup_.instances * setup_.slots) * 1000 /
                            (kMeanServiceMs * (1 - kLongCallShare) + kLongCallMs * kLongCallShare);
    const double base = 0.6 * capacity;
    const double own = base * setup_.ranks[rank].share;
    if (rank != surge_rank_ || !IsInSurge()) return own;
    return own + base * (factor_ - 1);
  }

  void ScheduleArrival(std::size_t rank) {
    const double gap = std::exponential_distribution<double>(ComputeArrivalRate(rank))(random_);
    // Steps of at most 20 ms let the arrival rate follow the start and end of the surge.
    const bool long_gap = gap > 0.02;
    ScheduleAfter(FromMilliseconds(std::min(gap, 0.02) * 1000), [this, rank, long_gap] {
      if (!long_gap) GenerateCall(rank);
      ScheduleArrival(rank);
    });
  }

  void GenerateCall(std::size_t rank) {
    simulated_call call;
    call.rank = rank;
    call.domain = random_() % setup_.domains;
    call.caller = std::to_string(random_() % kCallerCount);
    call.start = now_;
    call.deadline = now_ + milliseconds(setup_.ranks[rank].policy.target_ms);
    call.service_ms = DrawUniform() < kLongCallShare
                          ? kLongCallMs
                          : std::exponential_distribution<double>(1 / kMeanServiceMs)(random_);
    ++result_.calls;
    budget_.AddRequest();
    if (rank_total* total = FindTotal(call)) ++total->offered;
    const std::uint64_t id = ++next_id_;
    calls_.emplace(id, call);
    SendCall(id, std::nullopt);
  }

  /// Returns the total that counts the call, or nullptr for calls of the one-second warm-up and
  /// calls after the surge.
  rank_total* FindTotal(const simulated_call& call) {
    const auto age = call.start - RunStart();
    if (age >= kSurgeStart && age < kSurgeEnd) return &result_.during[call.rank];
    return age >= milliseconds(1000) && age < kSurgeStart ? &result_.before[call.rank] : nullptr;
  }

  void SendCall(std::uint64_t id, std::optional<std::size_t> exclude) {
    simulated_call& call = calls_.at(id);
    if (baseline_) {
      call.target = next_endpoint_++ % setup_.instances;
    } else {
      const auto chosen = balancing::Choose(GetEndpointSet(call), now_, random_(), exclude);
      if (!chosen.index) return RemoveCall(id);
      call.target = *chosen.index;
    }
    call.sent = now_;
    GetEndpointSet(call)[call.target].state->Start(now_);
    ScheduleAfter(DrawLinkDelay(call), [this, id] { DeliverCall(id); });
  }

  std::vector<balancing::candidate>& GetEndpointSet(const simulated_call& call) {
    return endpoint_sets_[call.rank * setup_.domains + call.domain];
  }

  /// Returns a random one-way delay between the entry node and the target of the call.
  nanoseconds DrawLinkDelay(const simulated_call& call) {
    if (call.target % setup_.domains == call.domain) return FromMilliseconds(0.1);
    const double lost = DrawUniform() < kLossProbability ? kRetransmissionMs : 0;
    return FromMilliseconds(kLinkDelayMs + DrawUniform() * kLinkJitterMs + lost);
  }

  void DeliverCall(std::uint64_t id) {
    const simulated_call& call = calls_.at(id);
    simulated_upstream& upstream = upstreams_[call.target];
    if (!baseline_) {
      ApplyDecisions(upstream.controller.Offer(
          {id, setup_.ranks[call.rank].policy.name, call.caller, call.deadline}, now_));
    } else if (upstream.baseline_running < setup_.slots) {
      ++upstream.baseline_running;
      ExecuteCall(id);
    } else if (upstream.baseline_queue.size() < kBaselineQueueCapacity) {
      upstream.baseline_queue.push_back(id);
    } else {
      SendAnswer(id, false);
    }
  }

  void ApplyDecisions(const admission::decisions& list) {
    for (const admission::decision& decision : list) {
      if (decision.admitted) {
        ExecuteCall(decision.ticket);
      } else {
        SendAnswer(decision.ticket, false);
      }
    }
  }

  void ExecuteCall(std::uint64_t id) {
    ScheduleAfter(FromMilliseconds(calls_.at(id).service_ms), [this, id] {
      const std::size_t target = calls_.at(id).target;
      simulated_upstream& upstream = upstreams_[target];
      SendAnswer(id, true);
      if (!baseline_)
        return ApplyDecisions(upstream.controller.Finish(id, call_result::kAnswered, now_));
      if (upstream.baseline_queue.empty()) {
        --upstream.baseline_running;
        return;
      }
      const std::uint64_t next = upstream.baseline_queue.front();
      upstream.baseline_queue.pop_front();
      ExecuteCall(next);
    });
  }

  void SendAnswer(std::uint64_t id, bool executed) {
    const simulated_call& call = calls_.at(id);
    const auto load =
        upstreams_[call.target].controller.LoadFor(setup_.ranks[call.rank].policy.name, now_);
    const balancing::reported_load report{static_cast<std::uint32_t>(load.in_flight),
                                          static_cast<std::uint32_t>(load.queued),
                                          static_cast<std::uint32_t>(load.limit)};
    ScheduleAfter(DrawLinkDelay(call),
                  [this, id, executed, report] { ReceiveAnswer(id, executed, report); });
  }

  void ReceiveAnswer(std::uint64_t id, bool executed, const balancing::reported_load& load) {
    simulated_call& call = calls_.at(id);
    GetEndpointSet(call)[call.target].state->Finish(
        {executed ? call_outcome::kAnswered : call_outcome::kRefused, now_ - call.sent, load, {}},
        now_);
    const bool in_time = now_ <= call.deadline;
    if (executed && in_time) {
      if (rank_total* total = FindTotal(call)) ++total->in_target;
      result_.goodput[static_cast<std::size_t>((now_ - RunStart()) / kGoodputSlice)] += 1;
    }
    if (executed && (in_time || !baseline_)) return RemoveCall(id);
    // The baseline retries refused calls and calls whose answer came after the deadline.
    const bool retry = baseline_ ? call.attempt < kBaselineRetries
                                 : in_time &&
                                       balancing::IsRetryAllowed({call.attempt, true, !executed}) &&
                                       budget_.TakeRetry();
    if (!retry) return RemoveCall(id);
    ++call.attempt;
    ++result_.retries;
    SendCall(id, call.target);
  }

  void RemoveCall(std::uint64_t id) { calls_.erase(id); }

  const deployment& setup_;
  std::size_t surge_rank_;
  double factor_;
  bool baseline_;
  std::mt19937_64 random_{20261204};
  time_point now_ = RunStart();
  std::uint64_t order_ = 0;
  std::uint64_t next_id_ = 0;
  std::size_t next_endpoint_ = 0;
  std::priority_queue<event> events_;
  std::unordered_map<std::uint64_t, simulated_call> calls_;
  std::vector<simulated_upstream> upstreams_;
  std::vector<std::vector<balancing::candidate>> endpoint_sets_;
  balancing::retry_budget budget_;
  run_result result_;
};

double ComputeInTargetPercent(const rank_total& total) {
  return total.offered == 0
             ? 100
             : 100 * static_cast<double>(total.in_target) / static_cast<double>(total.offered);
}

/// Returns the milliseconds after the surge until the mean goodput of half a second reaches 95% of
/// its mean in the last second before the surge, or the rest of the run if it doesn't.
double ComputeRecoveryMs(const run_result& result) {
  constexpr std::size_t kWindowSlices = 5;
  constexpr double kRecoveredShare = 0.95;
  const auto mean = [&](std::size_t from, std::size_t count) {
    double sum = 0;
    for (std::size_t i = from; i < from + count; ++i) sum += result.goodput[i];
    return sum / static_cast<double>(count);
  };
  const auto begin = static_cast<std::size_t>(kSurgeStart / kGoodputSlice);
  const auto end = static_cast<std::size_t>(kSurgeEnd / kGoodputSlice);
  const double normal = mean(begin - 2 * kWindowSlices, 2 * kWindowSlices);
  for (std::size_t i = end; i + kWindowSlices < result.goodput.size(); ++i) {
    if (mean(i, kWindowSlices) >= kRecoveredShare * normal) {
      return static_cast<double>(i - end) * static_cast<double>(kGoodputSlice.count());
    }
  }
  return static_cast<double>((kRunEnd - kSurgeEnd).count());
}

/// Runs the simulation and the baseline for a surge of one rank and prints their figures.
void MeasureSurge(const deployment& setup, std::size_t surge_rank, double factor) {
  const std::string scenario = setup.name + '_' + setup.ranks[surge_rank].policy.name + "_flood_" +
                               std::to_string(static_cast<int>(factor)) + "x_";
  for (const bool baseline : {false, true}) {
    const run_result result = simulation(setup, surge_rank, factor, baseline).Run();
    const std::string prefix = (baseline ? "baseline_" : "") + scenario;
    rank_total others_before, others_during;
    for (std::size_t i = 0; i < setup.ranks.size(); ++i) {
      Print(prefix + setup.ranks[i].policy.name + "_in_target_share",
            ComputeInTargetPercent(result.during[i]), "%");
      if (i == surge_rank) continue;
      others_before.offered += result.before[i].offered;
      others_before.in_target += result.before[i].in_target;
      others_during.offered += result.during[i].offered;
      others_during.in_target += result.during[i].in_target;
    }
    Print(prefix + "kept_by_others_share",
          100 * ComputeInTargetPercent(others_during) / ComputeInTargetPercent(others_before), "%");
    Print(prefix + "recovery_ms", ComputeRecoveryMs(result), "ms");
    Print(prefix + "retry_share",
          100 * static_cast<double>(result.retries) / static_cast<double>(result.calls), "%");
  }
}

/// Returns the services of docs/examples, with load shares per rank that are specific to this
/// benchmark.
std::vector<deployment> MakeDeployments() {
  const std::vector<rank_load> lensfold = {{{"urgent", 200, 100, 40}, 0.4},
                                           {{"normal", 1000, 20, 20}, 0.3},
                                           {{"background", 5000, 1, 10}, 0.3}};
  const std::vector<rank_load> mavromallo = {{{"deposit", 1000, 100, 30}, 0.25},
                                             {{"lookup", 300, 50, 30}, 0.35},
                                             {{"order", 2000, 40, 15}, 0.2},
                                             {{"dye-check", 5000, 1, 10}, 0.2}};
  return {{"lensfold_counter", 9, 6, 3, lensfold},
          {"lensfold_dockyard", 3, 6, 3, lensfold},
          {"mavromallo_loom-desk", 9, 18, 4, mavromallo},
          {"mavromallo_till-ledger", 4, 18, 4, mavromallo}};
}

void MeasureAll() {
  for (const deployment& setup : MakeDeployments()) {
    for (const std::size_t surge_rank : {setup.ranks.size() - 1, std::size_t{0}}) {
      for (const double factor : {1.0, 2.0, 5.0, 10.0}) MeasureSurge(setup, surge_rank, factor);
    }
  }
}

}  // namespace
}  // namespace siskinrack::bench

int main() {
  siskinrack::bench::MeasureAll();
  return 0;
}
