// Service by rank in overload, in virtual time: the real admission and balancing code over fake
// upstreams with a fixed number of slots, a skewed mix of service times, and links between failure
// domains with 4 ms delay, jitter and 1% loss (a lost packet costs a retransmission). The baseline
// in the same run takes endpoints in turn, admits everything and retries twice without a budget.

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

constexpr double kMeanServiceMs = 20;
constexpr double kLongShare = 0.05;
constexpr double kLongMs = 150;
constexpr double kLinkDelayMs = 4;
constexpr double kLinkJitterMs = 2;
constexpr double kLoss = 0.01;
constexpr double kRetransmitMs = 200;
constexpr milliseconds kFloodStart{4'000};
constexpr milliseconds kFloodEnd{12'000};
constexpr milliseconds kRunEnd{20'000};
constexpr std::size_t kCallers = 20;
constexpr unsigned kBaselineRetries = 2;
/// Queue of a usual server without admission control.
constexpr std::size_t kBaselineQueue = 1000;

struct rank_load {
  config::rank_policy policy;
  /// Share of the calls at 1x.
  double share;
};

struct deployment {
  std::string name;
  std::size_t instances;
  std::uint32_t slots;
  std::size_t domains;
  std::vector<rank_load> ranks;  // most urgent first
};

struct rank_total {
  std::uint64_t offered = 0;
  std::uint64_t in_target = 0;
};

/// Results of one run.
struct run_result {
  std::vector<rank_total> before, during;
  std::uint64_t calls = 0;
  std::uint64_t retries = 0;
  /// Answers within the target by slice of time.
  std::vector<double> goodput;
};

constexpr milliseconds kSlice{100};

class simulation {
 public:
  simulation(const deployment& setup, std::size_t flooded, double factor, bool baseline)
      : setup_(setup), flooded_(flooded), factor_(factor), baseline_(baseline) {
    std::vector<config::rank_policy> ranks;
    for (const rank_load& rank : setup.ranks) ranks.push_back(rank.policy);
    for (std::size_t i = 0; i < setup.instances; ++i) {
      upstreams_.push_back({admission::controller({setup.slots, milliseconds(0)}, ranks), {}, 0});
    }
    // Each domain's entry node has a view of its own, by rank.
    for (std::size_t view = 0; view < setup.domains * ranks.size(); ++view) {
      const std::size_t domain = view % setup.domains;
      auto& list = views_.emplace_back();
      for (std::size_t i = 0; i < setup.instances; ++i) {
        list.push_back({std::make_shared<balancing::endpoint_state>(setup.slots),
                        i % setup.domains == domain});
      }
    }
    result_.before.resize(ranks.size());
    result_.during.resize(ranks.size());
    result_.goodput.resize(static_cast<std::size_t>(kRunEnd / kSlice) + 1);
  }

  run_result Run() {
    for (std::size_t rank = 0; rank < setup_.ranks.size(); ++rank) ScheduleArrival(rank);
    while (!events_.empty() && events_.top().at < Start() + kRunEnd) {
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
  struct call {
    std::size_t rank = 0;
    std::size_t domain = 0;
    std::string caller;
    time_point start, end_by, sent;
    double service_ms = 0;
    unsigned attempt = 0;
    std::size_t target = 0;
  };
  struct upstream {
    admission::controller gate;
    std::deque<std::uint64_t> fifo;  // baseline
    std::size_t running;             // baseline
  };

  static time_point Start() { return time_point() + std::chrono::hours(1); }
  static nanoseconds Ms(double ms) { return nanoseconds(std::llround(ms * 1e6)); }
  double Uniform() { return std::uniform_real_distribution<double>(0, 1)(random_); }
  void After(nanoseconds delay, std::function<void()> action) {
    events_.push({now_ + delay, ++order_, std::move(action)});
  }

  bool InFlood() const { return now_ >= Start() + kFloodStart && now_ < Start() + kFloodEnd; }

  /// Calls a second at 1x: 60% of what the slots can do.
  double Rate(std::size_t rank) const {
    const double capacity = static_cast<double>(setup_.instances * setup_.slots) * 1000 /
                            (kMeanServiceMs * (1 - kLongShare) + kLongMs * kLongShare);
    const double base = 0.6 * capacity;
    const double own = base * setup_.ranks[rank].share;
    if (rank != flooded_ || !InFlood()) return own;
    // The overload brings the sum of all calls to `factor` times the base.
    return own + base * (factor_ - 1);
  }

  void ScheduleArrival(std::size_t rank) {
    const double gap = std::exponential_distribution<double>(Rate(rank))(random_);
    // An overload begins and ends while an arrival is due; short steps follow the rate.
    const bool long_gap = gap > 0.02;
    After(Ms(std::min(gap, 0.02) * 1000), [this, rank, long_gap] {
      if (!long_gap) Arrive(rank);
      ScheduleArrival(rank);
    });
  }

  void Arrive(std::size_t rank) {
    call item;
    item.rank = rank;
    item.domain = random_() % setup_.domains;
    item.caller = std::to_string(random_() % kCallers);
    item.start = now_;
    item.end_by = now_ + milliseconds(setup_.ranks[rank].policy.target_ms);
    item.service_ms = Uniform() < kLongShare
                          ? kLongMs
                          : std::exponential_distribution<double>(1 / kMeanServiceMs)(random_);
    ++result_.calls;
    budget_.AddRequest();
    if (rank_total* total = Total(item)) ++total->offered;
    const std::uint64_t id = ++next_id_;
    calls_.emplace(id, item);
    Send(id, std::nullopt);
  }

  /// The warm-up of one second and the time after the overload don't count.
  rank_total* Total(const call& item) {
    const auto age = item.start - Start();
    if (age >= kFloodStart && age < kFloodEnd) return &result_.during[item.rank];
    return age >= milliseconds(1000) && age < kFloodStart ? &result_.before[item.rank] : nullptr;
  }

  void Send(std::uint64_t id, std::optional<std::size_t> exclude) {
    call& item = calls_.at(id);
    if (baseline_) {
      item.target = next_endpoint_++ % setup_.instances;
    } else {
      const auto chosen = balancing::Choose(View(item), now_, random_(), exclude);
      if (!chosen.index) return Lose(id);
      item.target = *chosen.index;
    }
    item.sent = now_;
    View(item)[item.target].state->Start(now_);
    After(LinkDelay(item), [this, id] { Deliver(id); });
  }

  std::vector<balancing::candidate>& View(const call& item) {
    return views_[item.rank * setup_.domains + item.domain];
  }

  nanoseconds LinkDelay(const call& item) {
    if (item.target % setup_.domains == item.domain) return Ms(0.1);
    const double lost = Uniform() < kLoss ? kRetransmitMs : 0;
    return Ms(kLinkDelayMs + Uniform() * kLinkJitterMs + lost);
  }

  void Deliver(std::uint64_t id) {
    const call& item = calls_.at(id);
    upstream& host = upstreams_[item.target];
    if (!baseline_) {
      Apply(host.gate.Offer({id, setup_.ranks[item.rank].policy.name, item.caller, item.end_by},
                            now_));
    } else if (host.running < setup_.slots) {
      ++host.running;
      Execute(id);
    } else if (host.fifo.size() < kBaselineQueue) {
      host.fifo.push_back(id);
    } else {
      Answer(id, false);
    }
  }

  void Apply(const admission::decisions& list) {
    for (const admission::decision& item : list) {
      if (item.admitted) {
        Execute(item.ticket);
      } else {
        Answer(item.ticket, false);
      }
    }
  }

  void Execute(std::uint64_t id) {
    After(Ms(calls_.at(id).service_ms), [this, id] {
      const std::size_t target = calls_.at(id).target;
      upstream& host = upstreams_[target];
      Answer(id, true);
      if (!baseline_) return Apply(host.gate.Finish(id, call_result::kAnswered, now_));
      if (host.fifo.empty()) {
        --host.running;
        return;
      }
      const std::uint64_t next = host.fifo.front();
      host.fifo.pop_front();
      Execute(next);
    });
  }

  void Answer(std::uint64_t id, bool ran) {
    const call& item = calls_.at(id);
    const auto load =
        upstreams_[item.target].gate.LoadFor(setup_.ranks[item.rank].policy.name, now_);
    const balancing::reported_load report{static_cast<std::uint32_t>(load.in_flight),
                                          static_cast<std::uint32_t>(load.queued),
                                          static_cast<std::uint32_t>(load.limit)};
    After(LinkDelay(item), [this, id, ran, report] { Receive(id, ran, report); });
  }

  void Receive(std::uint64_t id, bool ran, const balancing::reported_load& load) {
    call& item = calls_.at(id);
    View(item)[item.target].state->Finish(
        {ran ? call_outcome::kAnswered : call_outcome::kRefused, now_ - item.sent, load, {}}, now_);
    const bool in_time = now_ <= item.end_by;
    if (ran && in_time) {
      if (rank_total* total = Total(item)) ++total->in_target;
      result_.goodput[static_cast<std::size_t>((now_ - Start()) / kSlice)] += 1;
    }
    if (ran && (in_time || !baseline_)) return Lose(id);
    // A plain client sends again after a refusal and after a time-out.
    const bool retry = baseline_
                           ? item.attempt < kBaselineRetries
                           : in_time && balancing::IsRetryAllowed({item.attempt, true, !ran}) &&
                                 budget_.TakeRetry();
    if (!retry) return Lose(id);
    ++item.attempt;
    ++result_.retries;
    Send(id, item.target);
  }

  void Lose(std::uint64_t id) { calls_.erase(id); }

  const deployment& setup_;
  std::size_t flooded_;
  double factor_;
  bool baseline_;
  std::mt19937_64 random_{20261204};
  time_point now_ = Start();
  std::uint64_t order_ = 0;
  std::uint64_t next_id_ = 0;
  std::size_t next_endpoint_ = 0;
  std::priority_queue<event> events_;
  std::unordered_map<std::uint64_t, call> calls_;
  std::vector<upstream> upstreams_;
  std::vector<std::vector<balancing::candidate>> views_;
  balancing::retry_budget budget_;
  run_result result_;
};

double Share(const rank_total& total) {
  return total.offered == 0
             ? 100
             : 100 * static_cast<double>(total.in_target) / static_cast<double>(total.offered);
}

/// Time after the overload until goodput over half a second is back at 95% of its mean before it.
double RecoveryMs(const run_result& result) {
  constexpr std::size_t kWindow = 5;
  constexpr double kRecovered = 0.95;
  const auto mean = [&](std::size_t from, std::size_t count) {
    double sum = 0;
    for (std::size_t i = from; i < from + count; ++i) sum += result.goodput[i];
    return sum / static_cast<double>(count);
  };
  const auto begin = static_cast<std::size_t>(kFloodStart / kSlice);
  const auto end = static_cast<std::size_t>(kFloodEnd / kSlice);
  const double normal = mean(begin - 2 * kWindow, 2 * kWindow);
  for (std::size_t i = end; i + kWindow < result.goodput.size(); ++i) {
    if (mean(i, kWindow) >= kRecovered * normal) {
      return static_cast<double>(i - end) * static_cast<double>(kSlice.count());
    }
  }
  return static_cast<double>((kRunEnd - kFloodEnd).count());
}

void Measure(const deployment& setup, std::size_t flooded, double factor) {
  const std::string place = setup.name + '_' + setup.ranks[flooded].policy.name + "_flood_" +
                            std::to_string(static_cast<int>(factor)) + "x_";
  for (const bool baseline : {false, true}) {
    const run_result result = simulation(setup, flooded, factor, baseline).Run();
    const std::string prefix = (baseline ? "baseline_" : "") + place;
    rank_total others_before, others_during;
    for (std::size_t i = 0; i < setup.ranks.size(); ++i) {
      Print(prefix + setup.ranks[i].policy.name + "_in_target_share", Share(result.during[i]), "%");
      if (i == flooded) continue;
      others_before.offered += result.before[i].offered;
      others_before.in_target += result.before[i].in_target;
      others_during.offered += result.during[i].offered;
      others_during.in_target += result.during[i].in_target;
    }
    Print(prefix + "kept_by_others_share", 100 * Share(others_during) / Share(others_before), "%");
    Print(prefix + "recovery_ms", RecoveryMs(result), "ms");
    Print(prefix + "retry_share",
          100 * static_cast<double>(result.retries) / static_cast<double>(result.calls), "%");
  }
}

/// The services of docs/examples with shares of the ranks chosen for the benchmark.
std::vector<deployment> Deployments() {
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
  for (const deployment& setup : Deployments()) {
    for (const std::size_t flooded : {setup.ranks.size() - 1, std::size_t{0}}) {
      for (const double factor : {1.0, 2.0, 5.0, 10.0}) Measure(setup, flooded, factor);
    }
  }
}

}  // namespace
}  // namespace siskinrack::bench

int main() {
  siskinrack::bench::MeasureAll();
  return 0;
}
