#include "siskinrack/rollout/order_book.h"

#include <gtest/gtest.h>

#include "siskinrack/rollout/status_recorder.h"

namespace siskinrack::rollout {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

time_point At(std::int64_t ms) { return time_point() + std::chrono::hours(1) + milliseconds(ms); }

order MakeOrder(std::uint64_t revision, order_state state = order_state::kRunning,
                const std::string& version = "v2") {
  return {"counter", version, seconds(16), revision, state};
}

// Guards against two judges with different verdicts: nothing reaches a version that one of them
// found bad, whatever the order of the messages.
TEST(OrderBook, RollBackOverridesCutOver) {
  order_book book;
  book.OnOrder(MakeOrder(5), At(0));
  EXPECT_TRUE(book.OnVerdict("counter", 5, false, At(1)));
  EXPECT_EQ(book.Find("counter")->current, phase::kCutOver);
  EXPECT_TRUE(book.OnVerdict("counter", 5, true, At(2)));
  EXPECT_FALSE(book.OnVerdict("counter", 5, false, At(3)));
  EXPECT_EQ(book.Find("counter")->current, phase::kRolledBack);
}

// Guards against a late verdict on an order that was replaced.
TEST(OrderBook, VerdictOnAnotherOrderIsIgnored) {
  order_book book;
  book.OnOrder(MakeOrder(5), At(0));
  book.OnOrder(MakeOrder(9, order_state::kRunning, "v3"), At(1));
  EXPECT_FALSE(book.OnVerdict("counter", 5, false, At(2)));
  EXPECT_FALSE(book.OnVerdict("dockyard", 5, false, At(2)));
  EXPECT_EQ(book.Find("counter")->current, phase::kTrial);
  EXPECT_EQ(book.Find("counter")->ordered.target_version, "v3");
}

// Guards against nodes that disagree with the store after two judges raced to write.
TEST(OrderBook, StoreOverridesVerdicts) {
  order_book book;
  book.OnOrder(MakeOrder(5), At(0));
  book.OnVerdict("counter", 5, true, At(1));
  EXPECT_TRUE(book.OnOrder(MakeOrder(6, order_state::kDone), At(2)));
  EXPECT_EQ(book.Find("counter")->current, phase::kDone);
  EXPECT_FALSE(book.OnVerdict("counter", 5, true, At(3)));
}

// Guards against a restarted node that tries a version which was rolled back before.
TEST(OrderBook, RestartedNodeTakesTheRecordedState) {
  order_book book;
  book.OnList({MakeOrder(6, order_state::kRolledBack)}, At(0));
  EXPECT_EQ(book.Find("counter")->current, phase::kRolledBack);
  EXPECT_FALSE(book.HasOpenOrder());
}

// Guards against counts that start anew, and verdicts that no longer match, because a watch without
// history was replaced by a list that shows the same order.
TEST(OrderBook, SameOrderInAListIsNoNewOne) {
  order_book book;
  book.OnOrder(MakeOrder(5), At(0));
  book.OnVerdict("counter", 5, false, At(1));
  book.OnList({MakeOrder(5)}, At(2));
  EXPECT_EQ(book.Find("counter")->current, phase::kCutOver);
  EXPECT_EQ(book.Find("counter")->known_since, At(0));
}

// Guards against a status of another writer that makes one order look like two.
TEST(OrderBook, RunningStatusKeepsTheOrderAndItsWriteRevision) {
  order_book book;
  book.OnOrder(MakeOrder(5), At(0));
  book.OnOrder(MakeOrder(8), At(1));
  EXPECT_EQ(book.Find("counter")->ordered.revision, 5U);
  EXPECT_EQ(book.Find("counter")->recorded_revision, 8U);
}

// Guards against the result of an earlier order being taken for that of the next one.
TEST(OrderBook, OrderThatReplacesAnotherIsTried) {
  order_book book;
  book.OnOrder(MakeOrder(5), At(0));
  book.OnOrder(MakeOrder(6, order_state::kRolledBack), At(1));
  order longer = MakeOrder(9, order_state::kRolledBack);
  longer.duration = seconds(30);
  EXPECT_TRUE(book.OnOrder(longer, At(2)));
  EXPECT_EQ(book.Find("counter")->current, phase::kTrial);
  EXPECT_TRUE(book.HasOpenOrder());
}

// Guards against a version that gets all traffic because its order was deleted halfway.
TEST(OrderBook, DeletedRunningOrderIsWithdrawn) {
  order_book book;
  book.OnOrder(MakeOrder(5), At(0));
  EXPECT_TRUE(book.OnDeleted("counter", At(1)));
  ASSERT_NE(book.Find("counter"), nullptr);
  EXPECT_EQ(book.Find("counter")->current, phase::kRolledBack);
  EXPECT_FALSE(book.HasOpenOrder());
  // The same order again is a new one.
  EXPECT_TRUE(book.OnOrder(MakeOrder(9), At(2)));
  EXPECT_EQ(book.Find("counter")->current, phase::kTrial);
  book.OnOrder(MakeOrder(10, order_state::kDone), At(3));
  EXPECT_TRUE(book.OnDeleted("counter", At(4)));
  EXPECT_EQ(book.Find("counter"), nullptr);
}

/// Store with one order and the faults that the platform's documentation names.
class fake_order_store {
 public:
  enum class fault { kNone, kDown, kAnswerLost, kAppliedLater };

  explicit fake_order_store(order held) : held_(std::move(held)) {}

  order_result Read(const order&) {
    ++calls;
    if (next == fault::kDown) return store_answer::kUnavailable;
    if (!exists) return store_answer::kNotFound;
    return held_;
  }
  store_answer Record(const order&, order_state state, std::uint64_t revision) {
    ++calls;
    switch (std::exchange(next, next == fault::kDown ? fault::kDown : fault::kNone)) {
      case fault::kDown:
        return store_answer::kUnavailable;
      case fault::kAnswerLost:
        Apply(state, revision);
        return store_answer::kUnknown;
      case fault::kAppliedLater:
        late_ = {state, revision};
        return store_answer::kUnknown;
      default:
        return Apply(state, revision);
    }
  }
  /// Applies a write that was delayed, if its condition still holds.
  void ApplyLate() {
    if (late_) Apply(late_->first, late_->second);
  }
  void Replace(order held) { held_ = std::move(held); }
  [[nodiscard]] order_state state() const { return held_.state; }

  fault next = fault::kNone;
  bool exists = true;
  int calls = 0;

 private:
  store_answer Apply(order_state state, std::uint64_t revision) {
    if (!exists) return store_answer::kNotFound;
    if (revision != held_.revision) return store_answer::kConflict;
    held_.state = state;
    ++held_.revision;
    return store_answer::kOk;
  }

  order held_;
  std::optional<std::pair<order_state, std::uint64_t>> late_;
};

static_assert(order_store<fake_order_store>);

// Guards against calls beyond the one that is needed; each is priced.
TEST(StatusRecorder, OneCallRecordsAState) {
  fake_order_store store(MakeOrder(5));
  std::uint64_t revision = 5;
  EXPECT_EQ(RecordState(store, MakeOrder(5), order_state::kDone, revision),
            record_result::kRecorded);
  EXPECT_EQ(store.calls, 1);
}

// Guards against a second judge that overwrites the result of the first.
TEST(StatusRecorder, SecondJudgeDoesNotOverwriteTheFirst) {
  fake_order_store store(MakeOrder(5));
  std::uint64_t first = 5;
  std::uint64_t second = 5;
  EXPECT_EQ(RecordState(store, MakeOrder(5), order_state::kRolledBack, first),
            record_result::kRecorded);
  EXPECT_EQ(RecordState(store, MakeOrder(5), order_state::kDone, second),
            record_result::kSuperseded);
  std::uint64_t same = 5;
  EXPECT_EQ(RecordState(store, MakeOrder(5), order_state::kRolledBack, same),
            record_result::kRecorded);
  EXPECT_EQ(store.state(), order_state::kRolledBack);
}

// Guards against a result that is given up while the store is down.
TEST(StatusRecorder, StoreThatIsDownIsTriedAgain) {
  fake_order_store store(MakeOrder(5));
  store.next = fake_order_store::fault::kDown;
  std::uint64_t revision = 5;
  EXPECT_EQ(RecordState(store, MakeOrder(5), order_state::kDone, revision), record_result::kRetry);
  store.next = fake_order_store::fault::kNone;
  EXPECT_EQ(RecordState(store, MakeOrder(5), order_state::kDone, revision),
            record_result::kRecorded);
}

// Guards against a lost answer that is taken for a failed write.
TEST(StatusRecorder, LostAnswerIsReadBack) {
  fake_order_store store(MakeOrder(5));
  store.next = fake_order_store::fault::kAnswerLost;
  std::uint64_t revision = 5;
  EXPECT_EQ(RecordState(store, MakeOrder(5), order_state::kDone, revision),
            record_result::kRecorded);
}

// Guards against a delayed `done` that takes effect after the version was rolled back.
TEST(StatusRecorder, WriteThatTakesEffectLaterCannotUndoTheNext) {
  fake_order_store store(MakeOrder(5));
  store.next = fake_order_store::fault::kAppliedLater;
  std::uint64_t revision = 5;
  EXPECT_EQ(RecordState(store, MakeOrder(5), order_state::kDone, revision), record_result::kRetry);
  EXPECT_EQ(RecordState(store, MakeOrder(5), order_state::kRolledBack, revision),
            record_result::kRecorded);
  store.ApplyLate();
  EXPECT_EQ(store.state(), order_state::kRolledBack);
}

// Guards against the result of one order being recorded for another.
TEST(StatusRecorder, ReplacedOrDeletedOrderIsNotRecorded) {
  fake_order_store store(MakeOrder(9, order_state::kRunning, "v3"));
  std::uint64_t revision = 5;
  EXPECT_EQ(RecordState(store, MakeOrder(5), order_state::kDone, revision),
            record_result::kSuperseded);
  EXPECT_EQ(store.state(), order_state::kRunning);
  store.exists = false;
  EXPECT_EQ(RecordState(store, MakeOrder(5), order_state::kDone, revision),
            record_result::kSuperseded);
}

// Guards against an order that is never recorded because another writer changed its status.
TEST(StatusRecorder, ChangedRevisionOfTheSameOrderIsAdopted) {
  fake_order_store store(MakeOrder(8));
  std::uint64_t revision = 5;
  EXPECT_EQ(RecordState(store, MakeOrder(5), order_state::kDone, revision), record_result::kRetry);
  EXPECT_EQ(RecordState(store, MakeOrder(5), order_state::kDone, revision),
            record_result::kRecorded);
}

}  // namespace
}  // namespace siskinrack::rollout
