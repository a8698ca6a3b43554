#include <gtest/gtest.h>

#include <map>

#include "simulated_mesh.h"

namespace siskinrack::test {
namespace {

using membership::member_record;

constexpr std::size_t kMembers = 24;
constexpr std::size_t kDomains = 3;
constexpr int kSteps = 40;
constexpr std::uint64_t kMaxStepMs = 8'000;

/// Applies random faults and checks the invariants of the tables after each step.
class fault_schedule {
 public:
  explicit fault_schedule(std::uint64_t seed) : mesh_(MakeOptions(seed)) {
    mesh_.StartAll();
    mesh_.Run(time_ms(15'000));
  }

  void Step() {
    constexpr int kActions = 8;
    const std::size_t member = mesh_.random()() % kMembers;
    switch (mesh_.random()() % kActions) {
      case 0:
        mesh_.Kill(member);
        break;
      case 1:
        Restart(member);
        break;
      case 2:
        mesh_.Pause(member);
        break;
      case 3:
        mesh_.Resume(member);
        break;
      case 4:
        IsolateDomain(member % kDomains);
        break;
      case 5:
        mesh_.SetPartition(nullptr);
        break;
      default:
        ChangeState(member);
        break;
    }
    mesh_.Run(time_ms(100 + mesh_.random()() % kMaxStepMs));
    CheckInvariants();
  }

  /// Ends all faults and checks that the tables converge within a minute.
  void Recover() {
    mesh_.SetPartition(nullptr);
    for (std::size_t i = 0; i < kMembers; ++i) {
      if (!mesh_.at(i).running) Restart(i);
      if (mesh_.at(i).paused) mesh_.Resume(i);
    }
    mesh_.SetFaults({}, {});
    mesh_.RunUntil([&] { return mesh_.HasConverged(); }, time_ms(60'000), time_ms(100));
    EXPECT_TRUE(mesh_.HasConverged());
    CheckInvariants();
  }

 private:
  static mesh_options MakeOptions(std::uint64_t seed) {
    mesh_options options;
    options.members = kMembers;
    options.failure_domains = kDomains;
    options.seed = seed;
    options.near = {0.02, 0.05, time_ms(20)};
    options.far = {0.05, 0.1, time_ms(100)};
    return options;
  }

  struct observed_record {
    member_record record;
    /// Time of the first check that found this health.
    time_ms since;
  };

  void Restart(std::size_t member) {
    if (mesh_.at(member).running) mesh_.Kill(member);
    // The clock of a VM that restarts may be unset, or behind the clock of its previous run.
    constexpr std::uint64_t kClockRangeMs = 3'000;
    mesh_.Start(member, mesh_.random()() % kClockRangeMs);
    last_seen_.erase(member);
  }

  void IsolateDomain(std::size_t domain) {
    mesh_.SetPartition([domain](std::size_t a, std::size_t b) {
      return (a % kDomains == domain) != (b % kDomains == domain);
    });
  }

  void ChangeState(std::size_t member) {
    if (!mesh_.at(member).running || mesh_.at(member).paused) return;
    const bool serving = mesh_.at(member).gossip->self().state == wire::upstream_state::serving;
    mesh_.SetState(member,
                   serving ? wire::upstream_state::starting : wire::upstream_state::serving);
  }

  void CheckInvariants() {
    EXPECT_LE(mesh_.max_record_bytes(), membership::kMaxRecordBytes);
    for (std::size_t i = 0; i < kMembers; ++i) {
      if (mesh_.at(i).running) CheckMember(i);
    }
  }

  void CheckMember(std::size_t index) {
    const simulated_member& member = mesh_.at(index);
    const member_record self = member.gossip->self();
    const auto own = member.table->Find(member.node_id);
    ASSERT_TRUE(own.has_value());
    EXPECT_EQ(membership::StateDigest(*own), membership::StateDigest(self)) << member.node_id;
    EXPECT_EQ(own->peer_address, member.address) << member.node_id;
    std::map<std::string, observed_record> records;
    for (const member_record& record : member.table->All()) {
      observed_record entry{record, mesh_.now()};
      const auto before = last_seen_[index].find(record.node_id);
      if (before != last_seen_[index].end()) {
        if (before->second.record.health == record.health) entry.since = before->second.since;
        EXPECT_TRUE(IsValidSuccessor(before->second, record))
            << member.node_id << " returned to an older record of " << record.node_id;
      }
      records.emplace(record.node_id, std::move(entry));
    }
    last_seen_[index] = std::move(records);
    for (const member_record& endpoint : *member.table->Endpoints(self.service)) {
      EXPECT_TRUE(membership::IsEndpoint(endpoint));
    }
  }

  /// Returns true if `after` doesn't precede `before`, or if the member may have been removed after
  /// its death in between.
  [[nodiscard]] bool IsValidSuccessor(const observed_record& before,
                                      const member_record& after) const {
    if (!membership::Supersedes(before.record, after)) return true;
    const time_ms step(100 + kMaxStepMs);
    return before.record.health == wire::member_health::dead &&
           mesh_.now() - before.since + step >= membership::kRemovalDelay;
  }

  simulated_mesh mesh_;
  std::map<std::size_t, std::map<std::string, observed_record>> last_seen_;
};

class fault_schedule_seeds : public testing::TestWithParam<std::uint64_t> {};

// Guards against tables that return to an older record, lose the record of their own node or never
// converge. The faults are kills, restarts with older clocks, pauses and partitions, over links
// that lose, duplicate and reorder messages.
TEST_P(fault_schedule_seeds, TablesStayConsistentAndConverge) {
  SCOPED_TRACE("seed " + std::to_string(GetParam()));
  std::cout << "seed " << GetParam() << '\n';
  fault_schedule schedule(GetParam());
  for (int i = 0; i < kSteps && !testing::Test::HasFailure(); ++i) schedule.Step();
  schedule.Recover();
}

INSTANTIATE_TEST_SUITE_P(Seeds, fault_schedule_seeds, testing::Range<std::uint64_t>(1, 13));

}  // namespace
}  // namespace siskinrack::test
