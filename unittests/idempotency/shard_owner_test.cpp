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
  static claim_request MakeRequest(const std::string& key, std::uint64_t attempt,
                                   std::uint64_t fingerprint = 1) {
    return {key, fingerprint, attempt, kDeadline};
  }

  /// Executes the owner's calls for `time`, in steps of 1 ms.
  void Run(shard_owner& owner, milliseconds time) {
    for (const steady_time end = now_ + time; now_ < end; now_ += milliseconds(1)) {
      while (auto call = owner.NextCall(now_)) owner.OnResult(RunCall(store_, *call), now_);
    }
  }

  /// Repeats a request until it's decided.
  claim_decision DecideClaim(shard_owner& owner, const claim_request& request) {
    for (int i = 0; i < 1000; ++i) {
      if (auto decision = owner.RequestClaim(request, now_)) return *decision;
      Run(owner, milliseconds(1));
    }
    return {verdict::kRefused, 0, "no decision", {}};
  }

  verdict DecideOutcome(shard_owner& owner, const claim_request& request) {
    return DecideClaim(owner, request).outcome;
  }

  fake_store store_;
  steady_time now_{std::chrono::hours(1)};
  shard_owner first_{kShard, 1};
  shard_owner second_{kShard, 2};
};

// Guards against a request that is forwarded although the log doesn't contain its claim.
TEST_F(shard_owner_test, GrantsOnlyAfterTheWriteTookEffect) {
  EXPECT_FALSE(first_.RequestClaim(MakeRequest("k", 1), now_).has_value());
  EXPECT_EQ(store_.writes, 0U);
  const claim_decision decision = DecideClaim(first_, MakeRequest("k", 1));
  EXPECT_EQ(decision.outcome, verdict::kGranted);
  EXPECT_EQ(decision.epoch, 1U);
  EXPECT_GE(store_.writes, 1U);
}

TEST_F(shard_owner_test, SecondRequestForAKeyIsNotGranted) {
  EXPECT_EQ(DecideOutcome(first_, MakeRequest("k", 1)), verdict::kGranted);
  EXPECT_EQ(DecideOutcome(first_, MakeRequest("k", 2)), verdict::kInProgress);
  now_ += kDeadline + milliseconds(5'000);
  EXPECT_EQ(DecideOutcome(first_, MakeRequest("k", 2)), verdict::kLost);
}

TEST_F(shard_owner_test, KeyUsedWithAnotherRequestIsAMismatch) {
  EXPECT_EQ(DecideOutcome(first_, MakeRequest("k", 1, 7)), verdict::kGranted);
  EXPECT_EQ(DecideOutcome(first_, MakeRequest("k", 2, 8)), verdict::kMismatch);
}

TEST_F(shard_owner_test, AnswerIsReplayedAlsoAfterATakeover) {
  const stored_answer answer{201, {{"x", "y"}}, "done"};
  EXPECT_EQ(DecideOutcome(first_, MakeRequest("k", 1)), verdict::kGranted);
  EXPECT_TRUE(first_.RecordResult("k", 1, true, answer, now_));
  EXPECT_EQ(DecideClaim(first_, MakeRequest("k", 2)).answer, answer);
  Run(first_, milliseconds(2'000));
  const claim_decision replay = DecideClaim(second_, MakeRequest("k", 3));
  EXPECT_EQ(replay.outcome, verdict::kFinished);
  EXPECT_EQ(replay.answer, answer);
  EXPECT_EQ(second_.epoch(), 2U);
}

TEST_F(shard_owner_test, ReleasedKeyIsGrantedAgain) {
  EXPECT_EQ(DecideOutcome(first_, MakeRequest("k", 1)), verdict::kGranted);
  EXPECT_TRUE(first_.RecordResult("k", 1, false, {}, now_));
  EXPECT_EQ(DecideOutcome(first_, MakeRequest("k", 2)), verdict::kGranted);
}

// Guards against a late or repeated release that releases a key granted to another attempt.
TEST_F(shard_owner_test, ReleaseOfAnEarlierAttemptHasNoEffect) {
  EXPECT_EQ(DecideOutcome(first_, MakeRequest("k", 1)), verdict::kGranted);
  EXPECT_TRUE(first_.RecordResult("k", 1, false, {}, now_));
  EXPECT_EQ(DecideOutcome(first_, MakeRequest("k", 2)), verdict::kGranted);
  EXPECT_FALSE(first_.RecordResult("k", 1, false, {}, now_));
  EXPECT_EQ(DecideOutcome(first_, MakeRequest("k", 3)), verdict::kInProgress);
  Run(first_, milliseconds(1'000));
  EXPECT_EQ(DecideOutcome(second_, MakeRequest("k", 4)), verdict::kInProgress);
}

// Guards against a claim that is refused, or granted to a second attempt, although its write took
// effect: the answer to the write was lost.
TEST_F(shard_owner_test, LostAnswerIsResolvedByARead) {
  EXPECT_EQ(DecideOutcome(first_, MakeRequest("a", 1)), verdict::kGranted);
  store_.lose_answers = 1;
  EXPECT_EQ(DecideOutcome(first_, MakeRequest("b", 2)), verdict::kGranted);
  EXPECT_EQ(DecideOutcome(second_, MakeRequest("b", 3)), verdict::kInProgress);
}

// Guards against an owner that is fenced by its own takeover, whose answer was lost.
TEST_F(shard_owner_test, LostAnswerOfTheFirstTakeoverIsResolved) {
  store_.lose_answers = 1;
  EXPECT_EQ(DecideOutcome(first_, MakeRequest("a", 1)), verdict::kGranted);
  EXPECT_EQ(first_.epoch(), 1U);
}

// Guards against refusals during the short backoff of the call budget after one lost answer.
TEST_F(shard_owner_test, RequestsWaitForAShortBackoffOfTheBudget) {
  store_.lose_answers = 1;
  EXPECT_FALSE(first_.RequestClaim(MakeRequest("a", 1), now_).has_value());
  while (store_.lose_answers > 0) {
    const auto call = first_.NextCall(now_);
    ASSERT_TRUE(call.has_value());
    first_.OnResult(RunCall(store_, *call), now_);
  }
  store_.budget_refusals = 1;
  EXPECT_EQ(DecideOutcome(first_, MakeRequest("a", 1)), verdict::kGranted);
  EXPECT_EQ(store_.budget_refusals, 0);
}

// Guards against an owner that was paused and then grants from an outdated copy of the log.
TEST_F(shard_owner_test, StaleOwnerIsFenced) {
  EXPECT_EQ(DecideOutcome(first_, MakeRequest("a", 1)), verdict::kGranted);
  Run(first_, milliseconds(500));
  EXPECT_FALSE(first_.RequestClaim(MakeRequest("k", 2), now_).has_value());
  const auto paused = first_.NextCall(now_);
  ASSERT_TRUE(paused.has_value());
  EXPECT_EQ(DecideOutcome(second_, MakeRequest("k", 3)), verdict::kGranted);
  first_.OnResult(RunCall(store_, *paused), now_);
  EXPECT_EQ(DecideOutcome(first_, MakeRequest("k", 2)), verdict::kInProgress);
  const auto events = first_.TakeEvents();
  EXPECT_TRUE(std::any_of(events.begin(), events.end(), [](const owner_event& event) {
    return event.kind == owner_event_kind::kFenced;
  }));
}

// Guards against a claim that counts as lost although the fenced owner's write had taken effect.
TEST_F(shard_owner_test, ClaimOfAFencedOwnerIsGrantedIfItWasWritten) {
  EXPECT_EQ(DecideOutcome(first_, MakeRequest("a", 1)), verdict::kGranted);
  Run(first_, milliseconds(500));
  store_.lose_answers = 1;
  EXPECT_FALSE(first_.RequestClaim(MakeRequest("k", 2), now_).has_value());
  const auto call = first_.NextCall(now_);
  ASSERT_TRUE(call.has_value());
  first_.OnResult(RunCall(store_, *call), now_);
  EXPECT_EQ(DecideOutcome(second_, MakeRequest("k", 3)), verdict::kInProgress);
  EXPECT_EQ(DecideOutcome(first_, MakeRequest("k", 2)), verdict::kGranted);
}

// Guards against a finished execution that counts as lost because its result was sent to an owner
// that was fenced.
TEST_F(shard_owner_test, ResultsOfAFencedOwnerGoToTheNextOne) {
  EXPECT_EQ(DecideOutcome(first_, MakeRequest("k", 1)), verdict::kGranted);
  EXPECT_TRUE(first_.RecordResult("k", 1, true, stored_answer{200, {}, "x"}, now_));
  EXPECT_EQ(DecideOutcome(second_, MakeRequest("k", 2)), verdict::kInProgress);
  Run(first_, milliseconds(1'000));
  const auto unsaved = first_.TakeUnsavedResults();
  ASSERT_EQ(unsaved.size(), 1U);
  EXPECT_TRUE(
      second_.RecordResult(unsaved[0].key, unsaved[0].attempt, true, unsaved[0].answer, now_));
  EXPECT_EQ(DecideOutcome(second_, MakeRequest("k", 2)), verdict::kFinished);
}

// Guards against an owner that keeps returning "in progress" from an outdated copy of the log.
TEST_F(shard_owner_test, OpenClaimsAreCheckedAgainstThePlatform) {
  EXPECT_EQ(DecideOutcome(first_, MakeRequest("k", 1)), verdict::kGranted);
  EXPECT_EQ(DecideOutcome(second_, MakeRequest("other", 2)), verdict::kGranted);
  EXPECT_TRUE(second_.RecordResult("k", 1, true, stored_answer{200, {}, "x"}, now_));
  Run(second_, milliseconds(1'000));
  EXPECT_EQ(DecideOutcome(first_, MakeRequest("k", 3)), verdict::kInProgress);
  Run(first_, milliseconds(100));
  EXPECT_EQ(DecideOutcome(first_, MakeRequest("k", 3)), verdict::kFinished);
}

// Guards against callers that wait while the platform is unavailable.
TEST_F(shard_owner_test, RefusesWithoutDelayWhileThePlatformIsDown) {
  EXPECT_EQ(DecideOutcome(first_, MakeRequest("a", 1)), verdict::kGranted);
  EXPECT_TRUE(first_.RecordResult("a", 1, true, stored_answer{200, {}, "x"}, now_));
  store_.down = true;
  Run(first_, milliseconds(1'000));
  const steady_time before = now_;
  EXPECT_EQ(DecideOutcome(first_, MakeRequest("b", 2)), verdict::kRefused);
  EXPECT_LE(now_ - before, milliseconds(20));
  EXPECT_EQ(DecideOutcome(first_, MakeRequest("a", 3)), verdict::kFinished);
  store_.down = false;
  Run(first_, milliseconds(1'000));
  EXPECT_EQ(DecideOutcome(first_, MakeRequest("b", 4)), verdict::kGranted);
}

// Guards against a key that stays claimed although its request was refused: the write of the claim
// takes effect after the refusal.
TEST_F(shard_owner_test, ClaimWrittenAfterItsRefusalIsReleased) {
  EXPECT_EQ(DecideOutcome(first_, MakeRequest("a", 1)), verdict::kGranted);
  Run(first_, milliseconds(500));
  store_.delay_writes = 1;
  EXPECT_FALSE(first_.RequestClaim(MakeRequest("b", 2), now_).has_value());
  const auto call = first_.NextCall(now_);
  ASSERT_TRUE(call.has_value());
  first_.OnResult(RunCall(store_, *call), now_);
  store_.down = true;
  EXPECT_EQ(DecideOutcome(first_, MakeRequest("b", 2)), verdict::kRefused);
  store_.down = false;
  store_.ApplyDelayed();
  Run(first_, milliseconds(1'500));
  EXPECT_EQ(DecideOutcome(second_, MakeRequest("b", 3)), verdict::kGranted);
}

// Guards against more writes than the platform accepts from the whole fleet.
TEST_F(shard_owner_test, WritesAtMostNineTimesASecond) {
  EXPECT_EQ(DecideOutcome(first_, MakeRequest("first", 1)), verdict::kGranted);
  std::vector<std::size_t> writes_at_ms;
  for (std::uint64_t i = 0; i < 10'000; ++i) {
    if (i % 3 == 0) first_.RequestClaim(MakeRequest("k" + std::to_string(i), 100 + i), now_);
    Run(first_, milliseconds(1));
    writes_at_ms.push_back(store_.writes);
  }
  for (std::size_t i = 1'000; i < writes_at_ms.size(); ++i) {
    ASSERT_LE(writes_at_ms[i] - writes_at_ms[i - 1'000], 9U) << "in the second before " << i;
  }
}

// Guards against claims in archived segments that a takeover doesn't load, and against archived
// segments that are never deleted.
TEST_F(shard_owner_test, FullSegmentsAreReadByATakeoverAndDeletedAfterRetention) {
  for (std::uint64_t i = 0; i < 600; ++i) {
    const std::string key(100, static_cast<char>('a' + i % 26));
    first_.RequestClaim(MakeRequest(key + std::to_string(i), 100 + i), now_);
    Run(first_, milliseconds(20));
  }
  Run(first_, milliseconds(1'000));
  EXPECT_GE(store_.size(), 3U);
  EXPECT_EQ(DecideOutcome(second_, MakeRequest(std::string(100, 'a') + "0", 7)), verdict::kLost);
  EXPECT_GE(second_.claims(), 600U);
  now_ += kRetention;
  EXPECT_EQ(DecideOutcome(second_, MakeRequest(std::string(100, 'a') + "0", 8)), verdict::kGranted);
  Run(second_, milliseconds(5'000));
  EXPECT_EQ(second_.claims(), 1U);
  EXPECT_LE(store_.size(), 2U);
}

// Guards against an undecodable log that is replaced by an empty one, which would lose its claims.
TEST_F(shard_owner_test, NothingIsGrantedFromAnUndecodableLog) {
  store_.Put(OpenSegmentName(kShard), "not a segment", platform::kMustNotExist);
  EXPECT_EQ(DecideOutcome(first_, MakeRequest("k", 1)), verdict::kRefused);
}

}  // namespace
}  // namespace siskinrack::idempotency
