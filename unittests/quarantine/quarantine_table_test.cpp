#include "siskinrack/quarantine/quarantine_table.h"

#include <gtest/gtest.h>

#include "siskinrack/quarantine/fingerprint.h"

namespace siskinrack::quarantine {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kBad = 66;

class quarantine_table_test : public testing::Test {
 protected:
  quarantine_change Crash(const std::string& node, std::uint64_t id,
                          std::vector<std::uint64_t> suspects) {
    return table_.AddCrash({node, id, std::move(suspects), now_}, now_);
  }

  quarantine_table table_;
  steady_time now_{std::chrono::hours(1)};
};

// Guards against a crashing request that is never quarantined, or whose quarantine never ends.
TEST_F(quarantine_table_test, SecondCrashQuarantinesAFingerprint) {
  EXPECT_TRUE(Crash("a", 1, {kBad, 1}).quarantined.empty());
  EXPECT_FALSE(table_.IsQuarantined(kBad, now_));
  EXPECT_EQ(Crash("b", 1, {kBad, 2}).quarantined, (std::vector<std::uint64_t>{kBad}));
  EXPECT_TRUE(table_.IsQuarantined(kBad, now_));
  EXPECT_FALSE(table_.IsQuarantined(1, now_));
  ASSERT_EQ(table_.QuarantinedFingerprints(now_).size(), 1U);
  EXPECT_EQ(table_.QuarantinedFingerprints(now_)[0].crashes, 2U);
  now_ += kQuarantineDuration + seconds(1);
  EXPECT_FALSE(table_.IsQuarantined(kBad, now_));
}

// Guards against counting one crash twice because its message arrives on two paths.
TEST_F(quarantine_table_test, RepeatedEvidenceCountsOnce) {
  EXPECT_TRUE(Crash("a", 1, {kBad}).quarantined.empty());
  EXPECT_TRUE(Crash("a", 1, {kBad}).quarantined.empty());
  EXPECT_FALSE(table_.IsQuarantined(kBad, now_));
  EXPECT_FALSE(Crash("a", 2, {kBad}).quarantined.empty());
}

// Guards against quarantining a request that completes.
TEST_F(quarantine_table_test, CompletedRequestIsCleared) {
  Crash("a", 1, {kBad, 7});
  EXPECT_FALSE(table_.Complete(7, now_).cleared.empty());
  now_ += seconds(1);
  const quarantine_change second = Crash("b", 1, {kBad, 7});
  EXPECT_EQ(second.quarantined, (std::vector<std::uint64_t>{kBad}));
  EXPECT_EQ(second.cleared, (std::vector<std::uint64_t>{7}));
  EXPECT_FALSE(table_.Complete(kBad, now_).cleared.empty());
  EXPECT_FALSE(table_.IsQuarantined(kBad, now_));
}

// Guards against quarantining a harmless request because its retry was in flight together with the
// same crashing request.
TEST_F(quarantine_table_test, TwoCandidatesWaitUntilOneIsCleared) {
  Crash("a", 1, {kBad, 7});
  EXPECT_TRUE(Crash("b", 1, {kBad, 7}).quarantined.empty());
  EXPECT_FALSE(table_.IsQuarantined(kBad, now_));
  EXPECT_EQ(table_.Complete(7, now_).quarantined, (std::vector<std::uint64_t>{kBad}));
  EXPECT_TRUE(table_.IsQuarantined(kBad, now_));
  EXPECT_FALSE(table_.IsQuarantined(7, now_));
}

// Guards against never quarantining two crashing requests that always run together.
TEST_F(quarantine_table_test, ThirdCrashQuarantinesAllCandidates) {
  Crash("a", 1, {kBad, 7});
  Crash("b", 1, {kBad, 7});
  EXPECT_EQ(Crash("c", 1, {kBad, 7}).quarantined, (std::vector<std::uint64_t>{7, kBad}));
}

// Guards against quarantining a request for rare crashes.
TEST_F(quarantine_table_test, CrashesFartherApartThanTheWindowDoNotAddUp) {
  Crash("a", 1, {kBad});
  now_ += kEvidenceWindow + seconds(1);
  EXPECT_TRUE(Crash("b", 1, {kBad}).quarantined.empty());
}

// Guards against a quarantine that ends although the request still crashes upstreams.
TEST_F(quarantine_table_test, NewEvidenceExtendsTheQuarantine) {
  Crash("a", 1, {kBad});
  Crash("b", 1, {kBad});
  now_ += seconds(50);
  Crash("c", 1, {kBad});
  now_ += seconds(50);
  EXPECT_TRUE(table_.IsQuarantined(kBad, now_));
}

// Guards against delayed old evidence that reverts an operator's release.
TEST_F(quarantine_table_test, ReleaseDiscardsEvidenceUpToNow) {
  const steady_time before = now_;
  Crash("a", 1, {kBad});
  Crash("b", 1, {kBad});
  now_ += seconds(1);
  EXPECT_TRUE(table_.Release(kBad, now_));
  EXPECT_FALSE(table_.Release(kBad, now_));
  EXPECT_FALSE(table_.IsQuarantined(kBad, now_));
  table_.AddCrash({"c", 1, {kBad}, before}, now_);
  table_.AddCrash({"d", 1, {kBad}, before}, now_);
  EXPECT_FALSE(table_.IsQuarantined(kBad, now_));
}

// Guards against a node that starts after the crashes and gets other evidence than the others have.
TEST_F(quarantine_table_test, CrashesRestoreTheEvidence) {
  Crash("a", 1, {kBad, 7});
  Crash("b", 1, {kBad, 8});
  table_.Complete(7, now_);
  quarantine_table started;
  for (const crash& evidence : table_.Crashes()) started.AddCrash(evidence, now_);
  EXPECT_TRUE(started.IsQuarantined(kBad, now_));
  ASSERT_EQ(started.Crashes().size(), 2U);
  EXPECT_EQ(started.Crashes()[0].suspects, (std::vector<std::uint64_t>{kBad}));
  EXPECT_EQ(started.Crashes()[1].suspects, (std::vector<std::uint64_t>{8, kBad}));
}

// Guards against evidence that is never removed from memory.
TEST_F(quarantine_table_test, MemoryIsBounded) {
  for (std::uint64_t i = 0; i < 20'000; ++i) {
    table_.Complete(1'000'000 + i, now_);
    Crash("a", i, {i});
    now_ += milliseconds(1);
  }
  table_.Expire(now_ + kEvidenceWindow + seconds(1));
  EXPECT_TRUE(table_.empty());
}

// Guards against equal fingerprints of different requests.
TEST(Fingerprint, EveryPartAffectsTheFingerprint) {
  const std::vector<std::uint8_t> body = {1, 2};
  const auto whole = ComputeFingerprint("s", "POST", "/t", body);
  EXPECT_EQ(whole, ComputeFingerprint("s", "POST", "/t", body));
  EXPECT_NE(whole, ComputeFingerprint("s", "PUT", "/t", body));
  EXPECT_NE(whole, ComputeFingerprint("sP", "OST", "/t", body));
  EXPECT_NE(whole, ComputeFingerprint("s", "POST", "/t", {}));
  EXPECT_EQ(ParseFingerprint(FormatFingerprint(whole)), whole);
  EXPECT_FALSE(ParseFingerprint("12").has_value());
}

}  // namespace
}  // namespace siskinrack::quarantine
