#include "load_replay.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <queue>
#include <random>

#include "siskinrack/balancing/call_placement.h"
#include "siskinrack/routing/caller_wait.h"
#include "siskinrack/routing/retry_delay.h"
#include "siskinrack/routing/retry_share.h"

namespace siskinrack::placement {
namespace {

using std::chrono::milliseconds;

/// One-way delays between nodes of one zone and of different zones.
constexpr double kInZoneMs = 0.1;
constexpr double kCrossZoneMs = 0.5;
constexpr double kMsPerSecond = 1'000;
/// Time after which an upstream refuses a call.
constexpr double kShedMs = 2;
/// A request with less time left isn't sent again.
constexpr milliseconds kMinTimeForRetry{20};
/// Bound of retries on second upstreams, as on the users' deployments.
constexpr routing::retry_bound kRetryBound{0.2, 162, milliseconds(10'000)};

nanoseconds Ns(double ms) { return nanoseconds(std::llround(ms * 1e6)); }
double Ms(nanoseconds time) { return std::chrono::duration<double, std::milli>(time).count(); }

struct call_state {
  std::size_t kind = 0;
  std::size_t entry = 0;
  double work_ms = 0;
  time_point first_sent;
  time_point caller_deadline;
  time_point in_time_by;
  time_point deadline;
  int attempts = 0;
  std::uint32_t refusals = 0;
  std::vector<std::size_t> tried;
  std::size_t target = 0;
  time_point sent_at;
  time_point arrived_at;
  time_point started_at;
  bool redirectable = false;
};
using call_ptr = std::shared_ptr<call_state>;

struct node_state {
  std::vector<balancing::candidate> candidates;
  std::map<std::uint64_t, balancing::call_profile> profiles;
  std::map<std::uint64_t, routing::caller_wait> waits;
  routing::retry_share retries{kRetryBound};
  std::unique_ptr<admission::deadline_controller> controller;
  std::map<std::uint64_t, call_ptr> at_upstream;
};

class replay {
 public:
  explicit replay(const load_pattern& pattern) : pattern_(pattern), random_(pattern.seed) {
    result_.kinds.resize(pattern.kinds.size());
    result_.runs.resize(pattern.upstreams.size());
    result_.runs_in_trouble.resize(pattern.upstreams.size());
    nodes_.resize(pattern.upstreams.size());
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      nodes_[i].controller = std::make_unique<admission::deadline_controller>(pattern.slots);
      for (const upstream_model& upstream : pattern.upstreams) {
        nodes_[i].candidates.push_back({std::make_shared<balancing::endpoint_state>(pattern.slots),
                                        upstream.zone == pattern.upstreams[i].zone});
      }
    }
  }

  replay_result Run() {
    ScheduleArrival();
    while (!events_.empty()) {
      event next = events_.top();
      events_.pop();
      now_ = next.at;
      next.action();
    }
    double owed = 0;
    double earned = 0;
    for (std::size_t i = 0; i < pattern_.kinds.size(); ++i) {
      const call_kind& kind = pattern_.kinds[i];
      const auto& counts = result_.kinds[i];
      owed += kind.worth * static_cast<double>(counts.owed);
      earned += kind.worth * static_cast<double>(counts.in_time) +
                kind.late_worth * static_cast<double>(counts.late);
    }
    result_.worth = earned / owed;
    return std::move(result_);
  }

 private:
  struct event {
    time_point at;
    std::uint64_t order = 0;
    std::function<void()> action;
    bool operator<(const event& other) const {
      return std::pair(other.at, other.order) < std::pair(at, order);
    }
  };

  void After(double ms, std::function<void()> action) {
    events_.push({now_ + Ns(ms), ++order_, std::move(action)});
  }
  double Uniform() { return std::uniform_real_distribution<double>(0, 1)(random_); }
  [[nodiscard]] double NowMs() const { return Ms(now_ - start_); }

  void ScheduleArrival() {
    if (NowMs() > pattern_.length_ms) return;
    const double gap = -std::log(1 - Uniform()) * kMsPerSecond / pattern_.rate_at(NowMs());
    After(gap, [this] {
      auto call = std::make_shared<call_state>();
      double pick = Uniform();
      while (call->kind + 1 < pattern_.kinds.size() && pick >= pattern_.kinds[call->kind].share) {
        pick -= pattern_.kinds[call->kind++].share;
      }
      const call_kind& kind = pattern_.kinds[call->kind];
      std::lognormal_distribution<double> work(
          std::log(kind.work_ms) - kind.spread * kind.spread / 2, kind.spread);
      call->work_ms = work(random_) * (Uniform() < kind.tail ? kind.tail_factor : 1);
      call->first_sent = now_;
      call->caller_deadline = now_ + Ns(kind.caller_deadline_ms);
      ++result_.kinds[call->kind].owed;
      Attempt(call);
      ScheduleArrival();
    });
  }

  std::size_t ChooseEntry() {
    const auto any = [this] {
      return static_cast<std::size_t>(Uniform() * static_cast<double>(nodes_.size()));
    };
    if (pattern_.zone_shares.empty()) return any();
    std::size_t zone = 0;
    double pick = Uniform();
    while (zone + 1 < pattern_.zone_shares.size() && pick >= pattern_.zone_shares[zone]) {
      pick -= pattern_.zone_shares[zone++];
    }
    std::size_t node = any();
    while (pattern_.upstreams[node].zone != zone) node = any();
    return node;
  }

  void Attempt(const call_ptr& call) {
    const call_kind& kind = pattern_.kinds[call->kind];
    call->entry = ChooseEntry();
    ++call->attempts;
    call->refusals = 0;
    call->tried.clear();
    nodes_[call->entry].retries.AddRequest(nodes_.size(), now_);
    call->deadline = std::min(call->caller_deadline, now_ + Ns(kind.timeout_ms));
    const auto left = std::chrono::floor<milliseconds>(call->caller_deadline - now_);
    const auto target = milliseconds(std::llround(kind.target_ms));
    call->in_time_by =
        now_ + target - nodes_[call->entry].waits[kind.work_class].EstimateWait(left, target);
    Place(call);
  }

  void Place(const call_ptr& call) {
    const call_kind& kind = pattern_.kinds[call->kind];
    node_state& entry = nodes_[call->entry];
    std::vector<balancing::candidate> untried;
    std::vector<std::size_t> indices;
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      if (std::find(call->tried.begin(), call->tried.end(), i) != call->tried.end()) continue;
      untried.push_back(entry.candidates[i]);
      indices.push_back(i);
    }
    const balancing::call_profile& profile = entry.profiles[kind.work_class];
    const balancing::completion_goal goal = balancing::MakeCompletionGoal(
        {call->in_time_by - now_, Ns(kind.target_ms), call->refusals}, profile);
    const auto choice = balancing::ChooseByCompletion(untried, goal, now_, random_());
    if (!choice.index) return EndRefused(call, std::nullopt);
    call->target = indices[*choice.index];
    call->tried.push_back(call->target);
    call->redirectable = balancing::MayRedirect(call->refusals, choice.in_time_candidates);
    call->sent_at = now_;
    entry.candidates[call->target].state->Start(now_);
    ++result_.calls;
    const std::uint64_t ticket = ++tickets_;
    After(DelayMs(*call), [this, call, ticket] { Arrive(call, ticket); });
  }

  [[nodiscard]] double DelayMs(const call_state& call) const {
    if (call.entry == call.target) return 0;
    return pattern_.upstreams[call.entry].zone == pattern_.upstreams[call.target].zone
               ? kInZoneMs
               : kCrossZoneMs;
  }

  void Arrive(const call_ptr& call, std::uint64_t ticket) {
    const call_kind& kind = pattern_.kinds[call->kind];
    node_state& node = nodes_[call->target];
    node.at_upstream[ticket] = call;
    call->arrived_at = now_;
    Apply(call->target,
          node.controller->Offer({ticket, kind.priority, kind.work_class, call->in_time_by,
                                  call->deadline, call->redirectable},
                                 now_));
    if (node.at_upstream.contains(ticket) && call->started_at < call->arrived_at) {
      if (AnyIdleInZone(pattern_.upstreams[call->target].zone)) ++result_.waited_beside_idle;
      After(Ms(call->deadline - now_), [this, call, ticket] {
        node_state& waiting = nodes_[call->target];
        if (!waiting.controller->Withdraw(ticket)) return;
        waiting.at_upstream.erase(ticket);
        Answer(call, call_result::kRefused, nanoseconds(0), nanoseconds(0));
      });
    }
  }

  [[nodiscard]] bool AnyIdleInZone(std::size_t zone) const {
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      const auto load = nodes_[i].controller->Load();
      if (pattern_.upstreams[i].zone == zone && load.in_flight < load.limit) return true;
    }
    return false;
  }

  [[nodiscard]] bool InTrouble(const upstream_model& model) const {
    return NowMs() >= model.trouble_from_ms && NowMs() < model.trouble_until_ms;
  }
  [[nodiscard]] double ShedRate(const upstream_model& model) const {
    return InTrouble(model) ? model.shed_rate : 0;
  }

  [[nodiscard]] double ServiceMs(std::size_t upstream, double work_ms) const {
    const upstream_model& model = pattern_.upstreams[upstream];
    return work_ms / model.speed * (InTrouble(model) ? model.slow_factor : 1);
  }

  void Apply(std::size_t index, const admission::decisions& list) {
    node_state& node = nodes_[index];
    for (const admission::decision& outcome : list) {
      const auto found = node.at_upstream.find(outcome.ticket);
      if (found == node.at_upstream.end()) continue;
      const call_ptr call = found->second;
      if (!outcome.admitted) {
        node.at_upstream.erase(found);
        Answer(call, call_result::kRefused, nanoseconds(0), outcome.retry_after);
        continue;
      }
      call->started_at = now_;
      if (Ms(now_ - call->arrived_at) > pattern_.kinds[call->kind].target_ms / 2) {
        ++result_.waited_over_half_target;
      }
      ++result_.runs[index];
      if (pattern_.upstreams[call->entry].zone != pattern_.upstreams[index].zone) {
        ++result_.crossings;
      }
      const upstream_model& model = pattern_.upstreams[index];
      if (InTrouble(model)) ++result_.runs_in_trouble[index];
      if (Uniform() < ShedRate(model)) {
        const std::uint64_t shed = outcome.ticket;
        After(kShedMs, [this, call, shed, index] {
          node_state& running = nodes_[index];
          running.at_upstream.erase(shed);
          Apply(index,
                running.controller->Finish(shed, admission::call_result::kRefusedByUpstream, now_));
          Answer(call, call_result::kShed, nanoseconds(0), nanoseconds(0));
        });
        continue;
      }
      const double service = ServiceMs(index, call->work_ms);
      const double left = Ms(call->deadline - now_);
      const bool answered = service <= left;
      const std::uint64_t ticket = outcome.ticket;
      After(std::min(service, left), [this, call, ticket, index, answered, service] {
        node_state& running = nodes_[index];
        running.at_upstream.erase(ticket);
        const auto ended =
            answered ? admission::call_result::kAnswered : admission::call_result::kFailed;
        Apply(index, running.controller->Finish(ticket, ended, now_));
        Answer(call, answered ? call_result::kAnswered : call_result::kTimedOut, Ns(service),
               nanoseconds(0));
      });
    }
  }

  enum class call_result { kAnswered, kTimedOut, kRefused, kShed };

  void Answer(const call_ptr& call, call_result result, nanoseconds service,
              nanoseconds retry_after) {
    const auto load = nodes_[call->target].controller->Load();
    After(DelayMs(*call), [this, call, result, service, retry_after, load] {
      const call_kind& kind = pattern_.kinds[call->kind];
      node_state& entry = nodes_[call->entry];
      balancing::call_report report;
      report.latency = now_ - call->sent_at;
      report.load = balancing::reported_load{static_cast<std::uint32_t>(load.in_flight),
                                             static_cast<std::uint32_t>(load.queued),
                                             static_cast<std::uint32_t>(load.limit)};
      if (result == call_result::kAnswered) {
        balancing::call_profile& profile = entry.profiles[kind.work_class];
        report.service = service;
        report.expected_service = profile.service();
        profile.Record(service, 1);
      }
      report.outcome = result == call_result::kAnswered   ? balancing::call_outcome::kAnswered
                       : result == call_result::kTimedOut ? balancing::call_outcome::kTimedOut
                       : result == call_result::kShed     ? balancing::call_outcome::kShed
                                                          : balancing::call_outcome::kRefused;
      entry.candidates[call->target].state->Finish(report, now_);
      if (result == call_result::kAnswered) return EndAnswered(call);
      if (result == call_result::kTimedOut) return;
      if (call->deadline - now_ < kMinTimeForRetry) return EndRefused(call, std::nullopt);
      if (result == call_result::kShed) {
        if (entry.retries.TakeRetry(now_)) return Place(call);
        return EndRefused(call, milliseconds(0));
      }
      if (balancing::MayTryAnother(++call->refusals)) return Place(call);
      EndRefused(call, retry_after);
    });
  }

  void EndAnswered(const call_ptr& call) {
    const call_kind& kind = pattern_.kinds[call->kind];
    auto& counts = result_.kinds[call->kind];
    const double latency = Ms(now_ - call->first_sent);
    counts.latencies_ms.push_back(latency);
    ++(latency <= kind.target_ms ? counts.in_time : counts.late);
  }

  void EndRefused(const call_ptr& call, std::optional<nanoseconds> room_in) {
    const call_kind& kind = pattern_.kinds[call->kind];
    ++result_.refusals;
    const nanoseconds left = call->caller_deadline - now_;
    if (call->attempts > kind.caller_retries || left < kMinTimeForRetry) {
      if (call->attempts > 1) ++result_.refused_again;
      return;
    }
    routing::refused_request refused;
    refused.left = std::chrono::floor<milliseconds>(left);
    refused.latest_start = std::chrono::floor<milliseconds>(
        call->in_time_by - now_ - nodes_[call->entry].profiles[kind.work_class].service());
    if (room_in) refused.room_in = std::chrono::ceil<milliseconds>(*room_in);
    const double delay_ms = Ms(routing::ComputeRetryDelay(refused, Uniform()));
    After(std::min(delay_ms, Ms(left) / 3), [this, call] { Attempt(call); });
  }

  const load_pattern& pattern_;
  std::mt19937_64 random_;
  const time_point start_ = time_point() + std::chrono::hours(1);
  time_point now_ = start_;
  std::priority_queue<event> events_;
  std::uint64_t order_ = 0;
  std::uint64_t tickets_ = 0;
  std::vector<node_state> nodes_;
  replay_result result_;
};

}  // namespace

double replay_result::kind_result::Percentile(double fraction) const {
  if (latencies_ms.empty()) return 0;
  std::vector<double> sorted = latencies_ms;
  const auto index = static_cast<std::size_t>(fraction * static_cast<double>(sorted.size() - 1));
  std::nth_element(sorted.begin(), sorted.begin() + static_cast<std::ptrdiff_t>(index),
                   sorted.end());
  return sorted[index];
}

replay_result Replay(const load_pattern& pattern) { return replay(pattern).Run(); }

}  // namespace siskinrack::placement
