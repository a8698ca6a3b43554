#ifndef SISKINRACK_UNITTESTS_TENANCY_CAP_FLEET_H_
#define SISKINRACK_UNITTESTS_TENANCY_CAP_FLEET_H_

#include <algorithm>
#include <functional>
#include <map>
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
  std::function<void(std::size_t from, std::size_t node)> suspend;
  std::function<void(std::size_t reader)> read_nodes;
};

/// Environment of one node. Its name is the index of the machine with two digits, so that the
/// names are in the order of the indices, which is also that of the candidates.
class machine {
 public:
  machine(const fleet_state& shared, std::size_t position) : fleet(shared), index(position) {}

  static std::string MakeName(std::size_t index) {
    return (index < 10 ? "0" : "") + std::to_string(index);
  }

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
  [[nodiscard]] std::string Self() const { return MakeName(index); }
  [[nodiscard]] const node_history& Nodes() const { return nodes; }
  [[nodiscard]] static std::vector<std::string> Rank(const std::string& /*shard*/,
                                                     std::vector<std::string> names,
                                                     std::size_t count) {
    std::sort(names.begin(), names.end());
    names.resize(std::min(names.size(), count));
    return names;
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
  void OnAcquired(const std::string& /*shard*/, const std::string& /*way*/) const {}
  void OnYielded(const std::string& /*shard*/, const std::string& /*node*/) const {}
  void Suspend(const std::string& node) const { fleet.suspend(index, std::stoul(node)); }
  void ReadNodes() const { fleet.read_nodes(index); }

  const fleet_state& fleet;
  std::size_t index;
  node_history nodes;
  bool frozen = false;
  bool clock_stopped = false;
  /// Proofs of the configuration arrive.
  bool reaches_store = true;
  /// Proofs of the list arrive, too.
  bool proves_list = true;
  std::chrono::milliseconds suspended{0};
  std::optional<support::boot_clock::time_point> proved_at;
};

/// Simulates the nodes of a mesh and the requests of one tenant in virtual time. Calls between
/// nodes take no time.
class cap_fleet {
 public:
  using milliseconds = std::chrono::milliseconds;

  cap_fleet(std::size_t nodes, usage_cap cap, cap_tolerance tolerance)
      : state_{milliseconds(0),
               cap,
               tolerance,
               [this](std::size_t from, std::size_t to, const cap_demand& demand) {
                 return Exchange(from, to, demand);
               },
               [this](std::size_t from, std::size_t node) { Suspend(from, node); },
               [this](std::size_t reader) {
                 machine& entry = *machines_[reader];
                 if (entry.reaches_store && entry.proves_list) ProveList(entry, milliseconds(0));
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
  /// Sets the nodes that may own caps, in the store. Those from `first` to `last` learn of it with
  /// their next proofs; the others keep their lists, of which they get no proofs until they learn
  /// of it, too.
  void SetCandidates(const std::set<std::size_t>& nodes, std::size_t first, std::size_t last) {
    if (nodes != listed_) {
      SetList(nodes);
      for (auto& entry : machines_) entry->proves_list = false;
    }
    for (std::size_t i = first; i < last; ++i) machines_[i]->proves_list = true;
  }
  /// Sets the nodes that may own caps.
  void SetList(const std::set<std::size_t>& nodes) {
    listed_ = nodes;
    WriteList();
  }

  void Kill(std::size_t index) { nodes_[index].reset(); }
  void Restart(std::size_t index) {
    machines_[index]->nodes = node_history();
    machines_[index]->proved_at.reset();
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
  /// Cuts a node off from the proofs of the list, but not from those of the configuration.
  void CutOffFromList(std::size_t index) { machines_[index]->proves_list = false; }
  /// Loses the replies of a node to another one; the requests arrive.
  void CutReplies(std::size_t from, std::size_t to) { lost_replies_.insert({from, to}); }
  /// Ends all cuts.
  void Heal() {
    cuts_.clear();
    lost_replies_.clear();
    for (auto& entry : machines_) {
      entry->reaches_store = true;
      entry->proves_list = true;
    }
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
      if (entry.proves_list) ProveList(entry, kProofAge);
    }
    LiftSuspension(entry.index);
    if ((state_.now + offset) % kTick < kStep) nodes_[entry.index]->Tick();
  }

  /// Gives a machine the list of the time `age` ago, with a proof that was requested then.
  void ProveList(machine& entry, milliseconds age) {
    const milliseconds time = state_.now - age;
    std::size_t last = 0;
    while (last + 1 < written_.size() && written_[last + 1].first <= time) ++last;
    entry.nodes.OnProof({written_[last].second, last + 1}, entry.BootNow() - age, entry.BootNow());
  }

  /// Writes the list without the suspended nodes to the store.
  void WriteList() {
    std::vector<std::string> names;
    for (const std::size_t node : listed_) {
      if (!suspended_by_.contains(node)) names.push_back(machine::MakeName(node));
    }
    const bool first = state_.now == milliseconds(0);
    written_.emplace_back(first ? milliseconds::min() : state_.now, std::move(names));
  }

  /// Returns true if a node gets replies of another one.
  [[nodiscard]] bool Reaches(std::size_t from, std::size_t to) const {
    return nodes_[to] != nullptr && !machines_[to]->frozen &&
           !cuts_.contains({std::min(from, to), std::max(from, to)}) &&
           !lost_replies_.contains({to, from});
  }

  /// Suspends a node that neither `from` nor any node that it reaches gets replies of.
  void Suspend(std::size_t from, std::size_t node) {
    if (!machines_[from]->reaches_store || !machines_[from]->proves_list) return;
    bool reaches_others = false;
    for (std::size_t other = 0; other < machines_.size(); ++other) {
      if (other == from || other == node || !Reaches(from, other)) continue;
      reaches_others = true;
      if (Reaches(other, node)) return;
    }
    if (!reaches_others || !suspended_by_.try_emplace(node, from).second) return;
    WriteList();
    ProveList(*machines_[from], milliseconds(0));
  }

  /// Ends the suspension of a running node once it gets replies of the one that suspended it, or
  /// that one is gone.
  void LiftSuspension(std::size_t node) {
    const auto found = suspended_by_.find(node);
    if (found == suspended_by_.end()) return;
    const machine& own = *machines_[node];
    const std::size_t by = found->second;
    if (!own.reaches_store || !own.proves_list) return;
    if (!Reaches(node, by) && nodes_[by] != nullptr && listed_.contains(by)) return;
    suspended_by_.erase(found);
    WriteList();
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
    const cap_grant grant = nodes_[to]->OnDemand(demand);
    if (lost_replies_.contains({to, from})) return {};
    return {grant, false};
  }

  fleet_state state_;
  std::vector<std::unique_ptr<machine>> machines_;
  /// Null for a machine whose process doesn't run.
  std::vector<std::unique_ptr<cap_node<machine>>> nodes_;
  /// Nodes that may own caps, and those of them that are suspended, with the nodes that did it.
  std::set<std::size_t> listed_;
  std::map<std::size_t, std::size_t> suspended_by_;
  /// Lists in the store, with the times at which they were written.
  std::vector<std::pair<milliseconds, std::vector<std::string>>> written_;
  std::set<std::pair<std::size_t, std::size_t>> cuts_;
  /// Replies that are lost, as sender and receiver.
  std::set<std::pair<std::size_t, std::size_t>> lost_replies_;
  std::vector<run> runs_;
  std::size_t asked_ = 0;
  std::size_t served_ = 0;
  std::mt19937_64 random_{20261206};
};

}  // namespace siskinrack::tenancy::test

#endif  // SISKINRACK_UNITTESTS_TENANCY_CAP_FLEET_H_
