// Membership protocol of 64 to 550 members in 10 failure domains over simulated links with 4 ms of
// delay and 1% loss between domains, in virtual time. Bytes are those of encoded frames, sent plus
// received, on the worst node. The baseline is the exchange of whole tables each 500 ms.

#include <algorithm>
#include <iostream>

#include "report.h"
#include "simulated_mesh.h"

namespace siskinrack::bench {
namespace {

using membership::time_ms;
using test::mesh_options;
using test::simulated_mesh;

constexpr std::array<std::size_t, 4> kSizes = {64, 128, 256, 550};
constexpr std::size_t kDomains = 10;
constexpr std::uint64_t kSeed = 20261204;
/// Endpoints that change, per second.
constexpr double kChurn = 0.01;
/// Every tenth change is a restart under another address, the others change the upstream's state.
constexpr std::size_t kRestartPeriod = 10;
constexpr time_ms kSettleTime{10'000};
constexpr time_ms kIdleTime{20'000};
constexpr time_ms kChurnTime{40'000};
/// Time in which the last changes of the churn may still arrive.
constexpr time_ms kTailTime{20'000};
constexpr time_ms kStep{100};
constexpr int kTrials = 3;

void PrintFor(std::size_t members, const std::string& name, double value, std::string_view unit) {
  Print(name + '_' + std::to_string(members), value, unit);
}

/// A change of one member and the members that don't know it yet.
struct tracked_change {
  std::size_t member = 0;
  time_ms at{0};
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;
  std::vector<std::size_t> waiting;
};

class measured_mesh {
 public:
  explicit measured_mesh(std::size_t members) : members_(members), mesh_(Options(members)) {
    mesh_.StartAll();
    constexpr time_ms kJoinLimit{120'000};
    mesh_.RunUntil([&] { return mesh_.HasConverged(); }, kJoinLimit, time_ms(1'000));
    if (!mesh_.HasConverged()) std::cerr << "tables don't agree after the start\n";
    mesh_.Run(kSettleTime);
  }

  void MeasureIdle() {
    PrintFor(members_, "control_bytes_per_node_s_idle", WorstBytes([&] { mesh_.Run(kIdleTime); }),
             "B/s");
  }

  void MeasureChurn() {
    PrintFor(members_, "control_bytes_per_node_s_churn", WorstBytes([&] { Churn(); }), "B/s");
    PrintFor(members_, "control_bytes_per_node_s_churn_not_restarted", worst_not_restarted_, "B/s");
    for (const time_ms end = mesh_.now() + kTailTime; mesh_.now() < end;) Advance();
    std::size_t missing = 0;
    for (const tracked_change& change : changes_) missing += change.waiting.size();
    PrintFor(members_, "endpoint_convergence_ms_p50", Quantile(delays_, 0.5), "ms");
    PrintFor(members_, "endpoint_convergence_ms_p99", Quantile(delays_, 0.99), "ms");
    PrintFor(members_, "endpoint_convergence_ms_max", Quantile(delays_, 1), "ms");
    PrintFor(members_, "endpoint_convergence_unfinished", static_cast<double>(missing), "count");
  }

  void MeasureKill() {
    std::vector<double> times;
    for (int trial = 0; trial < kTrials; ++trial) {
      const std::size_t victim = Pick();
      mesh_.Kill(victim);
      times.push_back(Until([&](std::size_t at) {
        const auto record = mesh_.at(at).table->Find(mesh_.at(victim).node_id);
        return !record || membership::IsGone(*record);
      }));
    }
    PrintFor(members_, "killed_gone_everywhere_ms_max", Quantile(times, 1), "ms");
  }

  void MeasureDrain() {
    std::vector<double> times;
    for (int trial = 0; trial < kTrials; ++trial) {
      const std::size_t leaving = Pick();
      mesh_.SetState(leaving, wire::upstream_state::draining);
      times.push_back(Until([&](std::size_t at) {
        const auto record = mesh_.at(at).table->Find(mesh_.at(leaving).node_id);
        return !record || record->state == wire::upstream_state::draining;
      }));
    }
    PrintFor(members_, "draining_known_everywhere_ms_max", Quantile(times, 1), "ms");
  }

 private:
  static mesh_options Options(std::size_t members) {
    mesh_options options;
    options.members = members;
    options.failure_domains = kDomains;
    options.seed = kSeed;
    constexpr double kFarLoss = 0.01;
    options.far.loss = kFarLoss;
    return options;
  }

  /// A running member in the middle of the list; the first ones are the seeds.
  std::size_t Pick() {
    constexpr std::size_t kSeeds = 2;
    std::size_t member = 0;
    do {
      member = kSeeds + mesh_.random()() % (members_ - kSeeds);
    } while (!mesh_.at(member).running ||
             mesh_.at(member).gossip->self().state == wire::upstream_state::draining);
    return member;
  }

  double Until(const std::function<bool(std::size_t)>& known_at) {
    constexpr time_ms kLimit{60'000};
    const auto everywhere = [&] {
      for (std::size_t i = 0; i < members_; ++i) {
        if (mesh_.at(i).running && !known_at(i)) return false;
      }
      return true;
    };
    return static_cast<double>(mesh_.RunUntil(everywhere, kLimit).count());
  }

  /// Bytes per second of the worst node during `action`.
  double WorstBytes(const std::function<void()>& action) {
    const time_ms start = mesh_.now();
    std::vector<std::uint64_t> before(members_);
    for (std::size_t i = 0; i < members_; ++i) before[i] = mesh_.at(i).bytes;
    action();
    std::uint64_t worst = 0;
    std::uint64_t worst_running = 0;
    for (std::size_t i = 0; i < members_; ++i) {
      const std::uint64_t bytes = mesh_.at(i).bytes - before[i];
      worst = std::max(worst, bytes);
      // A member that restarts fetches the whole table once.
      if (restarted_.count(i) == 0) worst_running = std::max(worst_running, bytes);
    }
    const std::chrono::duration<double> passed = mesh_.now() - start;
    worst_not_restarted_ = static_cast<double>(worst_running) / passed.count();
    return static_cast<double>(worst) / passed.count();
  }

  void Churn() {
    const time_ms start = mesh_.now();
    std::size_t done = 0;
    while (mesh_.now() - start < kChurnTime) {
      const std::chrono::duration<double> passed = mesh_.now() - start;
      while (static_cast<double>(done) < passed.count() * kChurn * static_cast<double>(members_)) {
        Change(done++);
      }
      Advance();
    }
  }

  void Change(std::size_t number) {
    const std::size_t member = Pick();
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
    // A later change of the same member replaces the earlier one.
    std::erase_if(changes_, [&](const auto& change) { return change.member == member; });
    const auto now = mesh_.at(member).gossip->self();
    tracked_change change{member, mesh_.now(), now.incarnation, now.sequence, {}};
    for (std::size_t i = 0; i < members_; ++i) {
      if (mesh_.at(i).running) change.waiting.push_back(i);
    }
    changes_.push_back(std::move(change));
  }

  void Advance() {
    mesh_.Run(kStep);
    for (tracked_change& change : changes_) {
      std::erase_if(change.waiting, [&](std::size_t at) {
        bool known = false;
        mesh_.at(at).table->Read(mesh_.at(change.member).node_id, [&](const auto& record) {
          known = std::tie(record.incarnation, record.sequence) >=
                  std::tie(change.incarnation, change.sequence);
        });
        if (known) delays_.push_back(static_cast<double>((mesh_.now() - change.at).count()));
        return known;
      });
    }
    std::erase_if(changes_, [](const auto& change) { return change.waiting.empty(); });
  }

  std::size_t members_;
  simulated_mesh mesh_;
  std::vector<tracked_change> changes_;
  std::vector<double> delays_;
  std::set<std::size_t> restarted_;
  double worst_not_restarted_ = 0;
};

/// Bytes of the exchange of whole tables as before: each node asks one random peer each 500 ms, and
/// both send all records.
void MeasureBaseline(std::size_t members) {
  constexpr int kRounds = 60;
  constexpr double kRoundsPerSecond = 2;
  std::mt19937_64 random(kSeed);
  mesh_options options;
  options.members = members;
  options.failure_domains = kDomains;
  simulated_mesh names(options);
  wire::exchange_t exchange;
  for (std::size_t i = 0; i < members; ++i) {
    auto record = std::make_unique<wire::member_record_t>();
    record->node_id = names.at(i).node_id;
    record->failure_domain = "domain-" + std::to_string(names.at(i).domain);
    record->region = "region-" + std::to_string(names.at(i).domain % 3);
    record->peer_address = "10.0.0.1:10001";
    record->admin_address = record->peer_address;
    record->service = "service-" + std::to_string(i % 61);
    record->state = wire::upstream_state::serving;
    record->slots = 6;
    record->incarnation = 1'000;
    record->sequence = 1;
    exchange.records.push_back(std::move(record));
  }
  // All tables are equal, so one frame stands for each message.
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
  PrintFor(members, "baseline_control_bytes_per_node_s", worst * kRoundsPerSecond / kRounds, "B/s");
}

void Main() {
  for (const std::size_t members : kSizes) {
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

int main() { siskinrack::bench::Main(); }
