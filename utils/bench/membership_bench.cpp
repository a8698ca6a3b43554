// Simulates the membership protocol in virtual time, with 64 to 550 members in 10 failure domains
// and links with 4 ms of delay and 1% loss between domains. Byte figures count encoded frames, sent
// plus received, on the node with the most traffic. The baseline is an exchange of whole tables
// every 500 ms.

#include <algorithm>
#include <iostream>

#include "report.h"
#include "simulated_mesh.h"

namespace siskinrack::bench {
namespace {

using membership::time_ms;
using test::mesh_options;
using test::simulated_mesh;

constexpr std::array<std::size_t, 4> kMeshSizes = {64, 128, 256, 550};
constexpr std::size_t kFailureDomains = 10;
constexpr std::uint64_t kSeed = 20261204;
/// Share of the endpoints that change per second.
constexpr double kChurnPerSecond = 0.01;
/// Every tenth change restarts a member under another address; the others change its upstream
/// state.
constexpr std::size_t kRestartPeriod = 10;
constexpr time_ms kSettleTime{10'000};
constexpr time_ms kIdleTime{20'000};
constexpr time_ms kChurnTime{40'000};
/// Time after the churn for its last changes to propagate.
constexpr time_ms kTailTime{20'000};
constexpr time_ms kStep{100};
constexpr int kTrials = 3;

void PrintForSize(std::size_t members, const std::string& name, double value,
                  std::string_view unit) {
  Print(name + '_' + std::to_string(members), value, unit);
}

/// Represents a change of one member and the members that have not received it yet.
struct tracked_change {
  std::size_t member = 0;
  time_ms at{0};
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;
  std::vector<std::size_t> pending_members;
};

/// Runs the measurements on one simulated mesh.
class measured_mesh {
 public:
  explicit measured_mesh(std::size_t members) : members_(members), mesh_(MakeOptions(members)) {
    mesh_.StartAll();
    constexpr time_ms kJoinLimit{120'000};
    mesh_.RunUntil([&] { return mesh_.HasConverged(); }, kJoinLimit, time_ms(1'000));
    if (!mesh_.HasConverged()) std::cerr << "membership tables did not converge after the start\n";
    mesh_.Run(kSettleTime);
  }

  void MeasureIdle() {
    PrintForSize(members_, "control_bytes_per_node_s_idle",
                 MeasureWorstBytesPerSecond([&] { mesh_.Run(kIdleTime); }), "B/s");
  }

  void MeasureChurn() {
    PrintForSize(members_, "control_bytes_per_node_s_churn",
                 MeasureWorstBytesPerSecond([&] { RunChurn(); }), "B/s");
    PrintForSize(members_, "control_bytes_per_node_s_churn_not_restarted", worst_not_restarted_,
                 "B/s");
    for (const time_ms end = mesh_.now() + kTailTime; mesh_.now() < end;) Advance();
    std::size_t missing = 0;
    for (const tracked_change& change : changes_) missing += change.pending_members.size();
    PrintForSize(members_, "endpoint_convergence_ms_p50", Quantile(delays_ms_, 0.5), "ms");
    PrintForSize(members_, "endpoint_convergence_ms_p99", Quantile(delays_ms_, 0.99), "ms");
    PrintForSize(members_, "endpoint_convergence_ms_max", Quantile(delays_ms_, 1), "ms");
    PrintForSize(members_, "endpoint_convergence_unfinished", static_cast<double>(missing),
                 "count");
  }

  void MeasureKill() {
    std::vector<double> times;
    for (int trial = 0; trial < kTrials; ++trial) {
      const std::size_t killed = PickMember();
      mesh_.Kill(killed);
      times.push_back(MeasureTimeUntil([&](std::size_t at) {
        const auto record = mesh_.at(at).table->Find(mesh_.at(killed).node_id);
        return !record || membership::IsGone(*record);
      }));
    }
    PrintForSize(members_, "killed_gone_everywhere_ms_max", Quantile(times, 1), "ms");
  }

  void MeasureDrain() {
    std::vector<double> times;
    for (int trial = 0; trial < kTrials; ++trial) {
      const std::size_t draining_member = PickMember();
      mesh_.SetState(draining_member, wire::upstream_state::draining);
      times.push_back(MeasureTimeUntil([&](std::size_t at) {
        const auto record = mesh_.at(at).table->Find(mesh_.at(draining_member).node_id);
        return !record || record->state == wire::upstream_state::draining;
      }));
    }
    PrintForSize(members_, "draining_known_everywhere_ms_max", Quantile(times, 1), "ms");
  }

 private:
  static mesh_options MakeOptions(std::size_t members) {
    mesh_options options;
    options.members = members;
    options.failure_domains = kFailureDomains;
    options.seed = kSeed;
    constexpr double kCrossDomainLoss = 0.01;
    options.far.loss = kCrossDomainLoss;
    return options;
  }

  /// Returns a random running member that is not draining. Excludes the first two members, which
  /// are seeds, so that two seeds always run.
  std::size_t PickMember() {
    constexpr std::size_t kExcludedSeeds = 2;
    std::size_t member = 0;
    do {
      member = kExcludedSeeds + mesh_.random()() % (members_ - kExcludedSeeds);
    } while (!mesh_.at(member).running ||
             mesh_.at(member).gossip->self().state == wire::upstream_state::draining);
    return member;
  }

  /// Returns the milliseconds until `is_updated` is true for every running member, at most kLimit.
  double MeasureTimeUntil(const std::function<bool(std::size_t)>& is_updated) {
    constexpr time_ms kLimit{60'000};
    const auto all_updated = [&] {
      for (std::size_t i = 0; i < members_; ++i) {
        if (mesh_.at(i).running && !is_updated(i)) return false;
      }
      return true;
    };
    return static_cast<double>(mesh_.RunUntil(all_updated, kLimit).count());
  }

  /// Runs `action` and returns the bytes per second of the node with the most traffic. Stores the
  /// same figure without restarted members in worst_not_restarted_.
  double MeasureWorstBytesPerSecond(const std::function<void()>& action) {
    const time_ms start = mesh_.now();
    std::vector<std::uint64_t> before(members_);
    for (std::size_t i = 0; i < members_; ++i) before[i] = mesh_.at(i).bytes;
    action();
    std::uint64_t worst = 0;
    std::uint64_t worst_not_restarted = 0;
    for (std::size_t i = 0; i < members_; ++i) {
      const std::uint64_t bytes = mesh_.at(i).bytes - before[i];
      worst = std::max(worst, bytes);
      // Excludes restarted members, which fetch the whole table once.
      if (restarted_.count(i) == 0) worst_not_restarted = std::max(worst_not_restarted, bytes);
    }
    const std::chrono::duration<double> elapsed = mesh_.now() - start;
    worst_not_restarted_ = static_cast<double>(worst_not_restarted) / elapsed.count();
    return static_cast<double>(worst) / elapsed.count();
  }

  /// Applies changes at kChurnPerSecond for kChurnTime.
  void RunChurn() {
    const time_ms start = mesh_.now();
    std::size_t done = 0;
    while (mesh_.now() - start < kChurnTime) {
      const std::chrono::duration<double> elapsed = mesh_.now() - start;
      while (static_cast<double>(done) <
             elapsed.count() * kChurnPerSecond * static_cast<double>(members_)) {
        ApplyChange(done++);
      }
      Advance();
    }
  }

  /// Restarts a member or toggles its upstream state, and tracks the propagation of the change.
  void ApplyChange(std::size_t number) {
    const std::size_t member = PickMember();
    const auto self = mesh_.at(member).gossip->self();
    if (number % kRestartPeriod == 0) {
      restarted_.insert(member);
      mesh_.Kill(member);
      mesh_.Start(member, self.incarnation + 1);
    } else {
      mesh_.SetState(member, self.state == wire::upstream_state::serving
                                 ? wire::upstream_state::starting
                                 : wire::upstream_state::serving);
    }
    // A later change of the same member supersedes the earlier one.
    std::erase_if(changes_, [&](const auto& change) { return change.member == member; });
    const auto now = mesh_.at(member).gossip->self();
    tracked_change change{member, mesh_.now(), now.incarnation, now.sequence, {}};
    for (std::size_t i = 0; i < members_; ++i) {
      if (mesh_.at(i).running) change.pending_members.push_back(i);
    }
    changes_.push_back(std::move(change));
  }

  /// Runs the mesh for kStep and records the propagation delay of each change that a member
  /// received.
  void Advance() {
    mesh_.Run(kStep);
    for (tracked_change& change : changes_) {
      std::erase_if(change.pending_members, [&](std::size_t at) {
        bool received = false;
        mesh_.at(at).table->Read(mesh_.at(change.member).node_id, [&](const auto& record) {
          received = std::tie(record.incarnation, record.sequence) >=
                     std::tie(change.incarnation, change.sequence);
        });
        if (received) delays_ms_.push_back(static_cast<double>((mesh_.now() - change.at).count()));
        return received;
      });
    }
    std::erase_if(changes_, [](const auto& change) { return change.pending_members.empty(); });
  }

  std::size_t members_;
  simulated_mesh mesh_;
  std::vector<tracked_change> changes_;
  std::vector<double> delays_ms_;
  std::set<std::size_t> restarted_;
  double worst_not_restarted_ = 0;
};

/// Measures the exchange of whole tables: every 500 ms each node contacts one random peer, and both
/// send all their records.
void MeasureBaseline(std::size_t members) {
  constexpr int kRounds = 60;
  constexpr double kRoundsPerSecond = 2;
  std::mt19937_64 random(kSeed);
  mesh_options options;
  options.members = members;
  options.failure_domains = kFailureDomains;
  simulated_mesh mesh(options);
  wire::exchange_t exchange;
  for (std::size_t i = 0; i < members; ++i) {
    auto record = std::make_unique<wire::member_record_t>();
    record->node_id = mesh.at(i).node_id;
    record->failure_domain = "domain-" + std::to_string(mesh.at(i).domain);
    record->region = "region-" + std::to_string(mesh.at(i).domain % 3);
    record->peer_address = "10.0.0.1:10001";
    record->admin_address = record->peer_address;
    record->service = "service-" + std::to_string(i % 61);
    record->state = wire::upstream_state::serving;
    record->slots = 6;
    record->incarnation = 1'000;
    record->sequence = 1;
    exchange.records.push_back(std::move(record));
  }
  // All tables are equal, so every message has the size of this frame.
  const std::size_t frame = wire::EncodeFrame(wire::MakeEnvelope(std::move(exchange))).size();
  std::vector<std::size_t> bytes(members);
  for (int round = 0; round < kRounds; ++round) {
    for (std::size_t i = 0; i < members; ++i) {
      const std::size_t peer = (i + 1 + random() % (members - 1)) % members;
      bytes[i] += 2 * frame;
      bytes[peer] += 2 * frame;
    }
  }
  const auto worst = static_cast<double>(*std::max_element(bytes.begin(), bytes.end()));
  PrintForSize(members, "baseline_control_bytes_per_node_s", worst * kRoundsPerSecond / kRounds,
               "B/s");
}

void MeasureAll() {
  for (const std::size_t members : kMeshSizes) {
    measured_mesh mesh(members);
    mesh.MeasureIdle();
    mesh.MeasureDrain();
    mesh.MeasureKill();
    mesh.MeasureChurn();
    MeasureBaseline(members);
  }
}

}  // namespace
}  // namespace siskinrack::bench

int main() { siskinrack::bench::MeasureAll(); }
