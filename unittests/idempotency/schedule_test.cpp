// Simulates shard owners, entry nodes and the platform under a random schedule with lost and late
// answers, pauses, crashes, takeovers and two nodes that both act as owner of the shard. Guards
// against a request that is executed twice, and against one that is executed although it was
// reported as not run.

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

/// Represents one copy of a request at an entry node.
struct request_copy {
  claim_request request;
  std::size_t owner = 0;
  steady_time usable_until{};
  bool granted = false;
};

/// Simulates one shard with several owner processes and the copies of requests for its keys.
class simulation {
 public:
  explicit simulation(std::uint64_t seed) : random_(seed) {
    for (std::size_t i = 0; i < kOwners; ++i) Restart(i);
  }

  void Step() {
    now_ += milliseconds(RandomBelow(8));
    store_.down = RandomBelow(200) == 0 ? !store_.down : store_.down && RandomBelow(20) != 0;
    if (RandomBelow(30) == 0) store_.lose_answers = 1;
    if (RandomBelow(30) == 0) store_.delay_writes = 1;
    if (RandomBelow(10) == 0) store_.ApplyDelayed();
    if (RandomBelow(400) == 0) Restart(RandomBelow(kOwners));
    if (RandomBelow(300) == 0) current_owner_ = RandomBelow(kOwners);
    if (RandomBelow(4) == 0 && copies_.size() < 20) AddCopy();
    for (std::size_t i = 0; i < kOwners; ++i) StepOwner(i);
    if (!copies_.empty()) StepCopy(RandomBelow(copies_.size()));
  }

  [[nodiscard]] std::string Violation() const { return violation_; }
  [[nodiscard]] std::size_t executions() const { return executions_.size(); }
  [[nodiscard]] std::size_t replays() const { return replays_; }
  [[nodiscard]] std::size_t fenced() const { return fenced_; }

 private:
  struct owner_process {
    std::unique_ptr<shard_owner> owner;
    /// A call, or its result, that is delayed by a pause of the process.
    std::optional<store_call> call;
    std::optional<store_call_result> result;
  };

  std::uint64_t RandomBelow(std::uint64_t bound) {
    return std::uniform_int_distribution<std::uint64_t>(0, bound - 1)(random_);
  }

  void Restart(std::size_t index) {
    owners_[index] = {std::make_unique<shard_owner>(0, random_()), std::nullopt, std::nullopt};
  }

  void AddCopy() {
    const std::string key =
        "key-" + std::to_string(key_generation_) + '-' + std::to_string(RandomBelow(kKeys));
    if (RandomBelow(100) == 0) ++key_generation_;
    // One in five entry nodes chooses any owner, as with an outdated view of the members.
    const std::size_t owner = RandomBelow(5) == 0 ? RandomBelow(kOwners) : current_owner_;
    copies_.push_back({{key, 1, ++attempts_, kDeadline}, owner, now_ + kDeadline, false});
  }

  void StepOwner(std::size_t index) {
    owner_process& process = owners_[index];
    if (RandomBelow(6) == 0) return;
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
    // A crashed entry node reports nothing.
    if (RandomBelow(100) == 0) return Drop(index);
    if (copy.granted) {
      if (now_ < copy.usable_until && RandomBelow(5) != 0) {
        Execute(copy);
      } else {
        ReportNotRun(copy);
        owners_[current_owner_].owner->RecordResult(copy.request.key, copy.request.attempt, false,
                                                    {}, now_);
      }
      return Drop(index);
    }
    const auto decision = owner.RequestClaim(copy.request, now_);
    if (decision && decision->outcome == verdict::kGranted) {
      copy.granted = true;
      return;
    }
    const bool undecided = !decision || decision->outcome == verdict::kInProgress;
    if (undecided && now_ < copy.usable_until) return;
    if (!decision || decision->outcome == verdict::kRefused) {
      ReportNotRun(copy);
      owner.RecordResult(copy.request.key, copy.request.attempt, false, {}, now_);
    } else if (decision->outcome == verdict::kFinished) {
      ++replays_;
      if (!executions_.contains(copy.request.key))
        violation_ = "answer replayed for a key that wasn't executed";
    }
    Drop(index);
  }

  void Execute(const request_copy& copy) {
    if (++executions_[copy.request.key] > 1) violation_ = copy.request.key + " was executed twice";
    if (not_run_attempts_.contains(copy.request.attempt))
      violation_ = copy.request.key + " was executed after it was reported as not run";
    executed_attempts_.insert(copy.request.attempt);
    if (RandomBelow(5) == 0) return;
    owners_[current_owner_].owner->RecordResult(copy.request.key, copy.request.attempt, true,
                                                stored_answer{200, {}, copy.request.key}, now_);
  }

  void ReportNotRun(const request_copy& copy) {
    if (executed_attempts_.contains(copy.request.attempt))
      violation_ = "executed request was reported as not run: " + copy.request.key;
    not_run_attempts_.insert(copy.request.attempt);
  }

  void Drop(std::size_t index) {
    copies_.erase(copies_.begin() + static_cast<std::ptrdiff_t>(index));
  }

  std::mt19937_64 random_;
  fake_store store_;
  steady_time now_{std::chrono::hours(1)};
  std::array<owner_process, kOwners> owners_;
  /// Owner of the shard in the current view of the members.
  std::size_t current_owner_ = 0;
  std::vector<request_copy> copies_;
  std::uint64_t attempts_ = 0;
  /// Part of the keys of new requests; a new generation replaces all keys.
  std::uint64_t key_generation_ = 0;
  std::map<std::string, int> executions_;
  std::set<std::uint64_t> executed_attempts_;
  std::set<std::uint64_t> not_run_attempts_;
  std::size_t replays_ = 0;
  std::size_t fenced_ = 0;
  std::string violation_;
};

TEST(Schedule, NoKeyRunsTwice) {
  const char* seed_text = std::getenv("SISKINRACK_TEST_SEED");
  const std::uint64_t base =
      seed_text != nullptr ? std::strtoull(seed_text, nullptr, 10) : std::random_device{}();
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
  // A schedule without executions, replays and takeovers would pass without testing anything.
  EXPECT_GT(executions, 1'000U);
  EXPECT_GT(replays, 100U);
  EXPECT_GT(fenced, 100U);
}

}  // namespace
}  // namespace siskinrack::idempotency
