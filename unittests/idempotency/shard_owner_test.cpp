#include "siskinrack/idempotency/shard_owner.h"

#include <gtest/gtest.h>

#include <algorithm>

#include "fake_store.h"

namespace siskinrack::idempotency {
namespace {

using std::chrono::milliseconds;
using test::fake_store;

constexpr std::size_t kShard = 5;
constexpr milliseconds kDeadline{2'000};

class shard_owner_test : public testing::Test {
 protected:
  static claim_request Make(const std::string& key, std::uint64_t attempt,
                            std::uint64_t fingerprint = 1) {
    return {key, fingerprint, attempt, kDeadline};
  }

  /// Makes the owner's calls for `time`, in steps of 1 ms.
  void Run(shard_owner& owner, milliseconds time) {
    for (const steady_time end = now_ + time; now_ < end; now_ += milliseconds(1)) {
      while (auto call = owner.NextCall(now_)) owner.OnResult(RunCall(store_, *call), now_);
    }
  }

  /// Repeats an ask until it's decided.
  claim_decision Ask(shard_owner& owner, const claim_request& ask) {
    for (int i = 0; i < 1000; ++i) {
      if (auto decision = owner.RequestClaim(ask, now_)) return *decision;
      Run(owner, milliseconds(1));
    }
    return {verdict::kRefused, 0, "no decision", {}};
  }

  verdict Outcome(shard_owner& owner, const claim_request& ask) { return Ask(owner, ask).outcome; }

  fake_store store_;
  steady_time now_{std::chrono::hours(1)};
  shard_owner first_{kShard, 1};
  shard_owner second_{kShard, 2};
};

// Guards against a forward that the log doesn't know of.
TEST_F(shard_owner_test, GrantsOnlyAfterTheWriteTookEffect) {
  EXPECT_FALSE(first_.RequestClaim(Make("k", 1), now_).has_value());
  EXPECT_EQ(store_.writes, 0U);
  const claim_decision decision = Ask(first_, Make("k", 1));
  EXPECT_EQ(decision.outcome, verdict::kGranted);
  EXPECT_EQ(decision.epoch, 1U);
  EXPECT_GE(store_.writes, 1U);
}

TEST_F(shard_owner_test, SecondAskForAKeyIsNotGranted) {
  EXPECT_EQ(Outcome(first_, Make("k", 1)), verdict::kGranted);
  EXPECT_EQ(Outcome(first_, Make("k", 2)), verdict::kInProgress);
  now_ += kDeadline + milliseconds(5'000);
  EXPECT_EQ(Outcome(first_, Make("k", 2)), verdict::kLost);
}

TEST_F(shard_owner_test, KeyOfAnotherRequestIsAMismatch) {
  EXPECT_EQ(Outcome(first_, Make("k", 1, 7)), verdict::kGranted);
  EXPECT_EQ(Outcome(first_, Make("k", 2, 8)), verdict::kMismatch);
}

TEST_F(shard_owner_test, AnswerIsReplayedAlsoAfterATakeover) {
  const stored_answer answer{201, {{"x", "y"}}, "done"};
  EXPECT_EQ(Outcome(first_, Make("k", 1)), verdict::kGranted);
  EXPECT_TRUE(first_.Finish("k", 1, true, answer, now_));
  EXPECT_EQ(Ask(first_, Make("k", 2)).answer, answer);
  Run(first_, milliseconds(2'000));
  const claim_decision replay = Ask(second_, Make("k", 3));
  EXPECT_EQ(replay.outcome, verdict::kFinished);
  EXPECT_EQ(replay.answer, answer);
  EXPECT_EQ(second_.epoch(), 2U);
}

TEST_F(shard_owner_test, ReleasedKeyIsGrantedAgain) {
  EXPECT_EQ(Outcome(first_, Make("k", 1)), verdict::kGranted);
  EXPECT_TRUE(first_.Finish("k", 1, false, {}, now_));
  EXPECT_EQ(Outcome(first_, Make("k", 2)), verdict::kGranted);
}

// Guards against a late or repeated release that frees a key which runs under another grant.
TEST_F(shard_owner_test, ReleaseOfAnEarlierAttemptFreesNothing) {
  EXPECT_EQ(Outcome(first_, Make("k", 1)), verdict::kGranted);
  EXPECT_TRUE(first_.Finish("k", 1, false, {}, now_));
  EXPECT_EQ(Outcome(first_, Make("k", 2)), verdict::kGranted);
  EXPECT_FALSE(first_.Finish("k", 1, false, {}, now_));
  EXPECT_EQ(Outcome(first_, Make("k", 3)), verdict::kInProgress);
  Run(first_, milliseconds(1'000));
  EXPECT_EQ(Outcome(second_, Make("k", 4)), verdict::kInProgress);
}

TEST_F(shard_owner_test, LostAnswerIsSettledByReading) {
  EXPECT_EQ(Outcome(first_, Make("a", 1)), verdict::kGranted);
  store_.lose_answers = 1;
  EXPECT_EQ(Outcome(first_, Make("b", 2)), verdict::kGranted);
  EXPECT_EQ(Outcome(second_, Make("b", 3)), verdict::kInProgress);
}

TEST_F(shard_owner_test, LostAnswerOfTheFirstTakeoverIsSettled) {
  store_.lose_answers = 1;
  EXPECT_EQ(Outcome(first_, Make("a", 1)), verdict::kGranted);
  EXPECT_EQ(first_.epoch(), 1U);
}

// Guards against refusals in the backoff that the call budget takes after a lost answer.
TEST_F(shard_owner_test, ShortBackoffOfTheBudgetIsWaitedFor) {
  store_.lose_answers = 1;
  EXPECT_FALSE(first_.RequestClaim(Make("a", 1), now_).has_value());
  while (store_.lose_answers > 0) {
    const auto call = first_.NextCall(now_);
    ASSERT_TRUE(call.has_value());
    first_.OnResult(RunCall(store_, *call), now_);
  }
  store_.budget_refusals = 1;
  EXPECT_EQ(Outcome(first_, Make("a", 1)), verdict::kGranted);
  EXPECT_EQ(store_.budget_refusals, 0);
}

// Guards against a paused owner that grants from an old copy of the log.
TEST_F(shard_owner_test, StaleOwnerIsFenced) {
  EXPECT_EQ(Outcome(first_, Make("a", 1)), verdict::kGranted);
  Run(first_, milliseconds(500));
  EXPECT_FALSE(first_.RequestClaim(Make("k", 2), now_).has_value());
  const auto paused = first_.NextCall(now_);
  ASSERT_TRUE(paused.has_value());
  EXPECT_EQ(Outcome(second_, Make("k", 3)), verdict::kGranted);
  first_.OnResult(RunCall(store_, *paused), now_);
  EXPECT_EQ(Outcome(first_, Make("k", 2)), verdict::kInProgress);
  const auto events = first_.TakeEvents();
  EXPECT_TRUE(std::any_of(events.begin(), events.end(), [](const owner_event& event) {
    return event.kind == owner_event_kind::kFenced;
  }));
}

// Guards against a claim that is lost when the write of a fenced owner had taken effect.
TEST_F(shard_owner_test, ClaimOfAFencedOwnerIsGrantedIfItWasWritten) {
  EXPECT_EQ(Outcome(first_, Make("a", 1)), verdict::kGranted);
  Run(first_, milliseconds(500));
  store_.lose_answers = 1;
  EXPECT_FALSE(first_.RequestClaim(Make("k", 2), now_).has_value());
  const auto call = first_.NextCall(now_);
  ASSERT_TRUE(call.has_value());
  first_.OnResult(RunCall(store_, *call), now_);
  EXPECT_EQ(Outcome(second_, Make("k", 3)), verdict::kInProgress);
  EXPECT_EQ(Outcome(first_, Make("k", 2)), verdict::kGranted);
}

// Guards against a finished run that counts as lost since its result reached a fenced owner.
TEST_F(shard_owner_test, ResultsOfAFencedOwnerGoToTheNextOne) {
  EXPECT_EQ(Outcome(first_, Make("k", 1)), verdict::kGranted);
  EXPECT_TRUE(first_.Finish("k", 1, true, stored_answer{200, {}, "x"}, now_));
  EXPECT_EQ(Outcome(second_, Make("k", 2)), verdict::kInProgress);
  Run(first_, milliseconds(1'000));
  const auto unsaved = first_.TakeUnsavedResults();
  ASSERT_EQ(unsaved.size(), 1U);
  EXPECT_TRUE(second_.Finish(unsaved[0].key, unsaved[0].attempt, true, unsaved[0].answer, now_));
  EXPECT_EQ(Outcome(second_, Make("k", 2)), verdict::kFinished);
}

// Guards against an owner that goes on saying "in progress" from an old copy of the log.
TEST_F(shard_owner_test, OpenClaimsAreCheckedAgainstThePlatform) {
  EXPECT_EQ(Outcome(first_, Make("k", 1)), verdict::kGranted);
  EXPECT_EQ(Outcome(second_, Make("other", 2)), verdict::kGranted);
  EXPECT_TRUE(second_.Finish("k", 1, true, stored_answer{200, {}, "x"}, now_));
  Run(second_, milliseconds(1'000));
  EXPECT_EQ(Outcome(first_, Make("k", 3)), verdict::kInProgress);
  Run(first_, milliseconds(100));
  EXPECT_EQ(Outcome(first_, Make("k", 3)), verdict::kFinished);
}

// Guards against callers that wait for a platform that doesn't answer.
TEST_F(shard_owner_test, RefusesAtOnceWhileThePlatformIsDown) {
  EXPECT_EQ(Outcome(first_, Make("a", 1)), verdict::kGranted);
  EXPECT_TRUE(first_.Finish("a", 1, true, stored_answer{200, {}, "x"}, now_));
  store_.down = true;
  Run(first_, milliseconds(1'000));
  const steady_time before = now_;
  EXPECT_EQ(Outcome(first_, Make("b", 2)), verdict::kRefused);
  EXPECT_LE(now_ - before, milliseconds(20));
  EXPECT_EQ(Outcome(first_, Make("a", 3)), verdict::kFinished);
  store_.down = false;
  Run(first_, milliseconds(1'000));
  EXPECT_EQ(Outcome(first_, Make("b", 4)), verdict::kGranted);
}

// Guards against a key that stays claimed although its asker was told that nothing ran.
TEST_F(shard_owner_test, WriteThatLandsAfterTheRefusalIsReleased) {
  EXPECT_EQ(Outcome(first_, Make("a", 1)), verdict::kGranted);
  Run(first_, milliseconds(500));
  store_.delay_writes = 1;
  EXPECT_FALSE(first_.RequestClaim(Make("b", 2), now_).has_value());
  const auto call = first_.NextCall(now_);
  ASSERT_TRUE(call.has_value());
  first_.OnResult(RunCall(store_, *call), now_);
  store_.down = true;
  EXPECT_EQ(Outcome(first_, Make("b", 2)), verdict::kRefused);
  store_.down = false;
  store_.LandDelayed();
  Run(first_, milliseconds(1'500));
  EXPECT_EQ(Outcome(second_, Make("b", 3)), verdict::kGranted);
}

TEST_F(shard_owner_test, WritesAtMostNineTimesASecond) {
  EXPECT_EQ(Outcome(first_, Make("first", 1)), verdict::kGranted);
  std::vector<std::size_t> writes_at_ms;
  for (std::uint64_t i = 0; i < 10'000; ++i) {
    if (i % 3 == 0) first_.RequestClaim(Make("k" + std::to_string(i), 100 + i), now_);
    Run(first_, milliseconds(1));
    writes_at_ms.push_back(store_.writes);
  }
  for (std::size_t i = 1'000; i < writes_at_ms.size(); ++i) {
    ASSERT_LE(writes_at_ms[i] - writes_at_ms[i - 1'000], 9U) << "in the second before " << i;
  }
}

TEST_F(shard_owner_test, FullSegmentsAreReadByATakeoverAndDeletedAfterRetention) {
  for (std::uint64_t i = 0; i < 600; ++i) {
    const std::string key(100, static_cast<char>('a' + i % 26));
    first_.RequestClaim(Make(key + std::to_string(i), 100 + i), now_);
    Run(first_, milliseconds(20));
  }
  Run(first_, milliseconds(1'000));
  EXPECT_GE(store_.size(), 3U);
  EXPECT_EQ(Outcome(second_, Make(std::string(100, 'a') + "0", 7)), verdict::kLost);
  EXPECT_GE(second_.claims(), 600U);
  now_ += kRetention;
  EXPECT_EQ(Outcome(second_, Make(std::string(100, 'a') + "0", 8)), verdict::kGranted);
  Run(second_, milliseconds(5'000));
  EXPECT_EQ(second_.claims(), 1U);
  EXPECT_LE(store_.size(), 2U);
}

// Guards against an unreadable log that is replaced by an empty one, which would forget its claims.
TEST_F(shard_owner_test, UnreadableLogGrantsNothing) {
  store_.Put(OpenSegmentName(kShard), "not a segment", platform::kMustNotExist);
  EXPECT_EQ(Outcome(first_, Make("k", 1)), verdict::kRefused);
}

}  // namespace
}  // namespace siskinrack::idempotency
