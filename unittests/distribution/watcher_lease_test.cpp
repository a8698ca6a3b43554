#include "siskinrack/distribution/watcher_lease.h"

#include <gtest/gtest.h>

#include <map>
#include <memory>

namespace siskinrack::distribution {
namespace {

using call_kind = watcher_lease::call_kind;
const time_point kStart{std::chrono::hours(1)};

/// Simulates the platform's lease object with conditional updates and faults.
class fake_store {
 public:
  enum class fault { kNone, kDown, kLoseAnswer };
  fault mode = fault::kNone;
  std::size_t calls = 0;

  void Serve(watcher_lease& lease, const watcher_lease::call& call, time_point now,
             std::size_t rank) {
    if (call.kind == call_kind::kNone) return;
    ++calls;
    if (mode == fault::kDown) return lease.OnFailure(now, rank);
    if (call.kind == call_kind::kRead) return lease.OnRead(now, version_, record_);
    if (call.expected_version != version_) return lease.OnConflict(now);
    record_ = call.record;
    ++version_;
    if (mode == fault::kLoseAnswer) return lease.OnOutcomeUnknown(now);
    lease.OnWritten(now, version_);
  }

 private:
  std::uint64_t version_ = 0;
  std::optional<lease_record> record_;
};

/// Simulates the candidates of one failure domain with a simulated clock.
class simulated_domain {
 public:
  explicit simulated_domain(std::size_t nodes) {
    for (std::size_t i = 0; i < nodes; ++i) {
      const std::string id = "n" + std::to_string(i);
      nodes_.push_back({watcher_lease(id, "token-" + id, kStart), false});
    }
  }

  void Run(milliseconds duration, bool gossip = true) {
    constexpr milliseconds kStep{20};
    const time_point end = now_ + duration;
    for (; now_ < end; now_ += kStep) {
      for (std::size_t i = 0; i < nodes_.size(); ++i) {
        if (nodes_[i].paused) continue;
        const auto call = nodes_[i].lease.NextCall(now_, i, 0.5);
        store_.Serve(nodes_[i].lease, call, now_, i);
        if (call.kind == call_kind::kWrite && gossip) InformFirstRanks(i);
      }
      if (gossip && (now_ - kStart) % milliseconds(500) == milliseconds(0)) Exchange();
    }
  }
  std::vector<std::size_t> Holders() const {
    std::vector<std::size_t> holders;
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      if (!nodes_[i].paused && nodes_[i].lease.IsHolder(now_)) holders.push_back(i);
    }
    return holders;
  }
  void Pause(std::size_t node) { nodes_[node].paused = true; }
  void Resume(std::size_t node) { nodes_[node].paused = false; }
  watcher_lease& lease(std::size_t node) { return nodes_[node].lease; }
  fake_store& store() { return store_; }

 private:
  struct node_state {
    watcher_lease lease;
    bool paused;
  };

  /// Exchanges reports between half of the nodes and one random peer each, so that each node does
  /// so once a second, as membership does.
  void Exchange() {
    for (std::size_t i = exchange_round_++ % 2; i < nodes_.size(); i += 2) {
      node_state& from = nodes_[i];
      node_state& to = nodes_[random_() % nodes_.size()];
      if (from.paused || to.paused) continue;
      to.lease.OnPeerReport(now_, from.lease.MakeReport(now_));
      from.lease.OnPeerReport(now_, to.lease.MakeReport(now_));
    }
  }

  /// Sends the holder's report to the first candidates directly.
  void InformFirstRanks(std::size_t holder) {
    if (!nodes_[holder].lease.IsHolder(now_)) return;
    std::size_t informed = 0;
    for (std::size_t i = 0; i < nodes_.size() && informed < watcher_lease::kInformedRanks; ++i) {
      if (i == holder) continue;
      ++informed;
      if (!nodes_[i].paused) {
        nodes_[i].lease.OnPeerReport(now_, nodes_[holder].lease.MakeReport(now_));
      }
    }
  }

  std::mt19937_64 random_{7};
  std::size_t exchange_round_ = 0;
  time_point now_ = kStart;
  std::vector<node_state> nodes_;
  fake_store store_;
};

TEST(WatcherLease, OneNodeAcquiresAndKeepsTheLease) {
  simulated_domain domain(4);
  domain.Run(milliseconds(5'000));
  ASSERT_EQ(domain.Holders().size(), 1U);
  const auto epoch = domain.lease(domain.Holders()[0]).epoch();
  domain.Run(milliseconds(60'000));
  ASSERT_EQ(domain.Holders().size(), 1U);
  EXPECT_EQ(domain.lease(domain.Holders()[0]).epoch(), epoch)
      << "the lease was taken over from a live holder";
}

// Guards against a domain without a watcher after the lease holder was killed.
TEST(WatcherLease, DeadHolderIsReplacedWithinFiveSeconds) {
  simulated_domain domain(4);
  domain.Run(milliseconds(8'000));
  const std::size_t dead = domain.Holders().at(0);
  domain.Pause(dead);
  domain.Run(milliseconds(5'000));
  ASSERT_EQ(domain.Holders().size(), 1U);
  EXPECT_NE(domain.Holders()[0], dead);
}

// Guards against a node that still acts as holder after it was paused past the end of its lease.
TEST(WatcherLease, PausedHolderIsNotHolderOnResume) {
  simulated_domain domain(3);
  domain.Run(milliseconds(8'000));
  const std::size_t paused = domain.Holders().at(0);
  domain.Pause(paused);
  domain.Run(milliseconds(6'000));
  const std::size_t successor = domain.Holders().at(0);
  domain.Resume(paused);
  ASSERT_EQ(domain.Holders(), std::vector<std::size_t>{successor});
  domain.Run(milliseconds(10'000));
  EXPECT_EQ(domain.Holders(), std::vector<std::size_t>{successor});
}

// Guards against two holders, or none, after the answer to a lease write was lost.
TEST(WatcherLease, LostAnswerIsResolvedByARead) {
  simulated_domain domain(3);
  domain.store().mode = fake_store::fault::kLoseAnswer;
  domain.Run(milliseconds(10'000));
  ASSERT_EQ(domain.Holders().size(), 1U);
  const std::size_t holder = domain.Holders()[0];
  domain.store().mode = fake_store::fault::kNone;
  domain.Run(milliseconds(10'000));
  EXPECT_EQ(domain.Holders(), std::vector<std::size_t>{holder});
}

// Guards against a lease being taken from a live holder because reports of its renewals are late.
TEST(WatcherLease, RenewingHolderKeepsItsLeaseWithoutGossip) {
  simulated_domain domain(4);
  domain.Run(milliseconds(6'000));
  const auto holder = domain.Holders();
  const auto epoch = domain.lease(holder.at(0)).epoch();
  domain.Run(milliseconds(30'000), /*gossip=*/false);
  EXPECT_EQ(domain.Holders(), holder);
  EXPECT_EQ(domain.lease(holder[0]).epoch(), epoch);
}

// Guards against platform calls that grow with the number of nodes, above all while the platform is
// down and every candidate finds the lease expired.
TEST(WatcherLease, CallsDoNotGrowWithTheNumberOfNodes) {
  std::map<std::size_t, std::size_t> down;
  std::map<std::size_t, std::size_t> up;
  for (const std::size_t nodes : {10U, 100U}) {
    simulated_domain domain(nodes);
    domain.Run(milliseconds(60'000));
    up[nodes] = domain.store().calls;
    domain.store().mode = fake_store::fault::kDown;
    domain.store().calls = 0;
    domain.Run(milliseconds(60'000));
    EXPECT_TRUE(domain.Holders().empty());
    down[nodes] = domain.store().calls;
  }
  EXPECT_LE(down[100], down[10] + down[10] / 4);
  EXPECT_LE(up[100], up[10] + up[10] / 4);
}

TEST(WatcherLease, RecordIsParsedAsSerialized) {
  const lease_record record{"n1", 4, "token", 17};
  EXPECT_EQ(LeaseFromJson(ToJson(record)), record);
  EXPECT_FALSE(LeaseFromJson("{\"holder\":1}").has_value());
  EXPECT_FALSE(LeaseFromJson("x").has_value());
}

}  // namespace
}  // namespace siskinrack::distribution
