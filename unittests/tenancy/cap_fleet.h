#ifndef SISKINRACK_UNITTESTS_TENANCY_CAP_FLEET_H_
#define SISKINRACK_UNITTESTS_TENANCY_CAP_FLEET_H_

#include <functional>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "siskinrack/tenancy/cap_node.h"

namespace siskinrack::tenancy::test {

/// State that all machines of a fleet share.
struct fleet_state {
  std::chrono::milliseconds now{0};
  usage_cap cap;
  cap_tolerance tolerance;
  std::function<cap_exchange(std::size_t from, std::size_t to, const cap_demand& demand)> exchange;
};

/// Environment of one node.
class machine {
 public:
  machine(const fleet_state& shared, std::size_t position) : fleet(shared), index(position) {}

  /// Stands still while the machine is suspended.
  [[nodiscard]] cap_bucket::time_point SteadyNow() const {
    return cap_bucket::time_point(std::chrono::hours(1) + fleet.now - suspended);
  }
  [[nodiscard]] support::boot_clock::time_point BootNow() const {
    return support::boot_clock::time_point(std::chrono::hours(2) + fleet.now);
  }
  [[nodiscard]] std::optional<support::boot_clock::time_point> ProvedAt() const {
    return proved_at;
  }
  [[nodiscard]] std::string Self() const { return std::to_string(index); }
  [[nodiscard]] std::vector<std::string> FindCandidates(const std::string& /*tenant*/) const {
    return candidates;
  }
  [[nodiscard]] std::optional<usage_cap> FindCap(const std::string& /*tenant*/) const {
    return fleet.cap;
  }
  [[nodiscard]] cap_tolerance Tolerance() const { return fleet.tolerance; }
  [[nodiscard]] cap_exchange Ask(const std::string& node, const cap_demand& demand,
                                 cap_bucket::time_point /*deadline*/) const {
    return fleet.exchange(index, std::stoul(node), demand);
  }
  void OnGranted(const std::string& /*shard*/, std::uint32_t /*tokens*/,
                 std::size_t /*rank*/) const {}

  const fleet_state& fleet;
  std::size_t index;
  std::vector<std::string> candidates;
  bool frozen = false;
  bool clock_stopped = false;
  bool reaches_store = true;
  std::chrono::milliseconds suspended{0};
  std::optional<support::boot_clock::time_point> proved_at;
};

/// Simulates the nodes of a mesh and the requests of one tenant in virtual time. Calls between
/// nodes take no time.
class cap_fleet {
 public:
  using milliseconds = std::chrono::milliseconds;

  cap_fleet(std::size_t nodes, usage_cap cap, cap_tolerance tolerance)
      : state_{milliseconds(0), cap, tolerance,
               [this](std::size_t from, std::size_t to, const cap_demand& demand) {
                 return Exchange(from, to, demand);
               }},
        nodes_(nodes) {
    for (std::size_t i = 0; i < nodes; ++i) {
      machines_.push_back(std::make_unique<machine>(state_, i));
      Restart(i);
    }
    SetCandidates({0, 1, 2}, 0, nodes);
  }

  /// Runs for a time in which the nodes `first` to `last` receive `per_second` requests.
  void RunFor(milliseconds time, double per_second, std::size_t first, std::size_t last) {
    for (milliseconds passed{0}; passed < time; passed += kStep) {
      state_.now += kStep;
      for (auto& entry : machines_) Advance(*entry);
      std::poisson_distribution<int> arrivals(per_second * kStepSeconds);
      for (int count = arrivals(random_); count > 0; --count) {
        Send(std::uniform_int_distribution<std::size_t>(first, last - 1)(random_));
      }
    }
  }
  void RunFor(milliseconds time, double per_second) {
    RunFor(time, per_second, 0, machines_.size());
  }

  void SetCap(usage_cap cap) { state_.cap = cap; }
  /// Sets what the nodes from `first` to `last` take for the candidates.
  void SetCandidates(const std::vector<std::size_t>& ranked, std::size_t first, std::size_t last) {
    for (std::size_t i = first; i < last; ++i) {
      machines_[i]->candidates.clear();
      for (const std::size_t candidate : ranked) {
        machines_[i]->candidates.push_back(std::to_string(candidate));
      }
    }
  }

  void Kill(std::size_t index) { nodes_[index].reset(); }
  void Restart(std::size_t index) {
    nodes_[index] = std::make_unique<cap_node<machine>>(*machines_[index]);
  }
  /// Stops a process; `suspended` also stops its steady clock.
  void Freeze(std::size_t index, bool suspended) {
    machines_[index]->frozen = true;
    machines_[index]->clock_stopped = suspended;
  }
  void Wake(std::size_t index) { machines_[index]->frozen = false; }
  /// Cuts the path between two nodes.
  void Cut(std::size_t a, std::size_t b) { cuts_.insert({std::min(a, b), std::max(a, b)}); }
  /// Cuts a group of nodes off from the store and the other nodes.
  void CutOff(const std::set<std::size_t>& group) {
    for (const std::size_t inner : group) {
      machines_[inner]->reaches_store = false;
      for (std::size_t outer = 0; outer < machines_.size(); ++outer) {
        if (!group.contains(outer)) Cut(inner, outer);
      }
    }
  }
  /// Ends all cuts.
  void Heal() {
    cuts_.clear();
    for (auto& entry : machines_) entry->reaches_store = true;
  }

  [[nodiscard]] std::size_t asked() const { return asked_; }
  [[nodiscard]] std::size_t refused() const { return asked_ - served_; }
  [[nodiscard]] std::size_t served() const { return served_; }
  cap_node<machine>& node(std::size_t index) { return *nodes_[index]; }
  void ForgetRuns() { runs_.clear(); }
  /// Returns how many requests ran in the last `time` at the nodes from `first` to `last`.
  [[nodiscard]] std::size_t CountServedSince(milliseconds time, std::size_t first,
                                             std::size_t last) const {
    std::size_t count = 0;
    for (const run& entry : runs_) {
      count += entry.at > state_.now - time && entry.node >= first && entry.node < last;
    }
    return count;
  }
  /// Returns by how many requests the worst sliding window exceeds what the present cap allows;
  /// negative if none does.
  [[nodiscard]] double WorstExcess() const {
    const double allowed = (state_.cap.per_second * state_.tolerance.window_s + state_.cap.burst) *
                               (1 + state_.tolerance.excess) +
                           state_.tolerance.slack;
    const milliseconds window(static_cast<std::int64_t>(state_.tolerance.window_s * 1'000));
    std::size_t worst = 0;
    std::size_t first = 0;
    for (std::size_t last = 0; last < runs_.size(); ++last) {
      while (runs_[first].at + window < runs_[last].at) ++first;
      worst = std::max(worst, last - first + 1);
    }
    return static_cast<double>(worst) - allowed;
  }

 private:
  struct run {
    milliseconds at;
    std::size_t node;
  };

  static constexpr milliseconds kStep{10};
  static constexpr double kStepSeconds = 0.01;
  static constexpr milliseconds kTick{200};
  /// Interval and age of the proofs of a node that reaches the store.
  static constexpr milliseconds kProofInterval{1'000};
  static constexpr milliseconds kProofAge{500};

  void Advance(machine& entry) {
    if (entry.frozen) {
      if (entry.clock_stopped) entry.suspended += kStep;
      return;
    }
    if (nodes_[entry.index] == nullptr) return;
    const milliseconds offset(static_cast<std::int64_t>(entry.index) * 37 / 10 * 10);
    if (entry.reaches_store &&
        (!entry.proved_at || (state_.now + offset) % kProofInterval < kStep)) {
      entry.proved_at = entry.BootNow() - kProofAge;
    }
    if ((state_.now + offset) % kTick < kStep) nodes_[entry.index]->Tick();
  }

  void Send(std::size_t index) {
    machine& entry = *machines_[index];
    if (entry.frozen || nodes_[entry.index] == nullptr) return;
    ++asked_;
    const auto result =
        nodes_[entry.index]->Acquire("tenant", entry.SteadyNow() + std::chrono::seconds(1));
    if (result.kind != cap_node<machine>::outcome::kGranted) return;
    ++served_;
    runs_.push_back({state_.now, index});
  }

  cap_exchange Exchange(std::size_t from, std::size_t to, const cap_demand& demand) {
    machine& target = *machines_[to];
    if (cuts_.contains({std::min(from, to), std::max(from, to)}) || target.frozen) return {};
    if (nodes_[to] == nullptr) return {std::nullopt, true};
    return {nodes_[to]->OnDemand(demand), false};
  }

  fleet_state state_;
  std::vector<std::unique_ptr<machine>> machines_;
  /// Null for a machine whose process doesn't run.
  std::vector<std::unique_ptr<cap_node<machine>>> nodes_;
  std::set<std::pair<std::size_t, std::size_t>> cuts_;
  std::vector<run> runs_;
  std::size_t asked_ = 0;
  std::size_t served_ = 0;
  std::mt19937_64 random_{20261206};
};

}  // namespace siskinrack::tenancy::test

#endif  // SISKINRACK_UNITTESTS_TENANCY_CAP_FLEET_H_
