// Owners, entry nodes and the platform under a random schedule: lost and late answers, pauses,
// crashes, takeovers, two nodes that both think that they own the shard. After every step no key
// may have run twice, and nothing may have run of which "not run" was said.

#include <gtest/gtest.h>

#include <array>
#include <cstdlib>
#include <iostream>
#include <map>
#include <memory>
#include <random>
#include <set>

#include "fake_store.h"
#include "siskinrack/idempotency/shard_owner.h"

namespace siskinrack::idempotency {
namespace {

using std::chrono::milliseconds;
using test::fake_store;

constexpr std::size_t kOwners = 3;
constexpr std::size_t kKeys = 12;
constexpr milliseconds kDeadline{800};

/// One copy of a request at an entry node.
struct request_copy {
  claim_request ask;
  std::size_t owner = 0;
  steady_time usable_until{};
  bool granted = false;
};

class simulation {
 public:
  explicit simulation(std::uint64_t seed) : random_(seed) {
    for (std::size_t i = 0; i < kOwners; ++i) Restart(i);
  }

  void Step() {
    now_ += milliseconds(Below(8));
    store_.down = Below(200) == 0 ? !store_.down : store_.down && Below(20) != 0;
    if (Below(30) == 0) store_.lose_answers = 1;
    if (Below(30) == 0) store_.delay_writes = 1;
    if (Below(10) == 0) store_.LandDelayed();
    if (Below(400) == 0) Restart(Below(kOwners));
    if (Below(300) == 0) preferred_ = Below(kOwners);
    if (Below(4) == 0 && copies_.size() < 20) NewCopy();
    for (std::size_t i = 0; i < kOwners; ++i) StepOwner(i);
    if (!copies_.empty()) StepCopy(Below(copies_.size()));
  }

  [[nodiscard]] std::string Violation() const { return violation_; }
  [[nodiscard]] std::size_t executions() const { return executions_.size(); }
  [[nodiscard]] std::size_t replays() const { return replays_; }
  [[nodiscard]] std::size_t fenced() const { return fenced_; }

 private:
  struct owner_process {
    std::unique_ptr<shard_owner> owner;
    /// A call whose making or whose result is delayed by a pause.
    std::optional<store_call> call;
    std::optional<store_call_result> result;
  };

  std::uint64_t Below(std::uint64_t bound) {
    return std::uniform_int_distribution<std::uint64_t>(0, bound - 1)(random_);
  }

  void Restart(std::size_t index) {
    owners_[index] = {std::make_unique<shard_owner>(0, random_()), std::nullopt, std::nullopt};
  }

  void NewCopy() {
    const std::string key =
        "key-" + std::to_string(generation_) + '-' + std::to_string(Below(kKeys));
    if (Below(100) == 0) ++generation_;
    // One in five entry nodes has an outdated view of the members.
    const std::size_t owner = Below(5) == 0 ? Below(kOwners) : preferred_;
    copies_.push_back({{key, 1, ++attempts_, kDeadline}, owner, now_ + kDeadline, false});
  }

  void StepOwner(std::size_t index) {
    owner_process& process = owners_[index];
    if (Below(6) == 0) return;
    if (process.result) {
      process.owner->OnResult(std::move(*process.result), now_);
      process.result.reset();
    } else if (process.call) {
      process.result = RunCall(store_, *process.call);
      process.call.reset();
    } else {
      process.call = process.owner->NextCall(now_);
    }
    for (const owner_event& event : process.owner->TakeEvents()) {
      if (event.kind == owner_event_kind::kFenced) ++fenced_;
    }
  }

  void StepCopy(std::size_t index) {
    request_copy& copy = copies_[index];
    shard_owner& owner = *owners_[copy.owner].owner;
    // An entry node that dies reports nothing to anyone.
    if (Below(100) == 0) return Drop(index);
    if (copy.granted) {
      if (now_ < copy.usable_until && Below(5) != 0) {
        Execute(copy);
      } else {
        SayNotRun(copy);
        owners_[preferred_].owner->Finish(copy.ask.key, copy.ask.attempt, false, {}, now_);
      }
      return Drop(index);
    }
    const auto decision = owner.RequestClaim(copy.ask, now_);
    if (decision && decision->outcome == verdict::kGranted) {
      copy.granted = true;
      return;
    }
    const bool waits = !decision || decision->outcome == verdict::kInProgress;
    if (waits && now_ < copy.usable_until) return;
    if (!decision || decision->outcome == verdict::kRefused) {
      SayNotRun(copy);
      owner.Finish(copy.ask.key, copy.ask.attempt, false, {}, now_);
    } else if (decision->outcome == verdict::kFinished) {
      ++replays_;
      if (!executions_.contains(copy.ask.key)) violation_ = "replay of a key that never ran";
    }
    Drop(index);
  }

  void Execute(const request_copy& copy) {
    if (++executions_[copy.ask.key] > 1) violation_ = copy.ask.key + " ran twice";
    if (not_run_.contains(copy.ask.attempt)) violation_ = copy.ask.key + " ran after 'not run'";
    ran_.insert(copy.ask.attempt);
    if (Below(5) == 0) return;
    owners_[preferred_].owner->Finish(copy.ask.key, copy.ask.attempt, true,
                                      stored_answer{200, {}, copy.ask.key}, now_);
  }

  void SayNotRun(const request_copy& copy) {
    if (ran_.contains(copy.ask.attempt)) violation_ = "'not run' said of " + copy.ask.key;
    not_run_.insert(copy.ask.attempt);
  }

  void Drop(std::size_t index) {
    copies_.erase(copies_.begin() + static_cast<std::ptrdiff_t>(index));
  }

  std::mt19937_64 random_;
  fake_store store_;
  steady_time now_{std::chrono::hours(1)};
  std::array<owner_process, kOwners> owners_;
  std::size_t preferred_ = 0;
  std::vector<request_copy> copies_;
  std::uint64_t attempts_ = 0;
  std::uint64_t generation_ = 0;
  std::map<std::string, int> executions_;
  std::set<std::uint64_t> ran_;
  std::set<std::uint64_t> not_run_;
  std::size_t replays_ = 0;
  std::size_t fenced_ = 0;
  std::string violation_;
};

TEST(Schedule, NoKeyRunsTwice) {
  const char* given = std::getenv("SISKINRACK_TEST_SEED");
  const std::uint64_t base =
      given != nullptr ? std::strtoull(given, nullptr, 10) : std::random_device{}();
  std::cout << "seed=" << base << std::endl;
  std::size_t executions = 0;
  std::size_t replays = 0;
  std::size_t fenced = 0;
  for (std::uint64_t run = 0; run < 40; ++run) {
    simulation sim(base + run);
    for (int step = 0; step < 20'000; ++step) {
      sim.Step();
      ASSERT_EQ(sim.Violation(), "") << "seed " << base << " run " << run << " step " << step;
    }
    executions += sim.executions();
    replays += sim.replays();
    fenced += sim.fenced();
  }
  std::cout << "executions=" << executions << " replays=" << replays << " fenced=" << fenced
            << std::endl;
  // A schedule that grants nothing would pass without showing anything.
  EXPECT_GT(executions, 1'000U);
  EXPECT_GT(replays, 100U);
  EXPECT_GT(fenced, 100U);
}

}  // namespace
}  // namespace siskinrack::idempotency
