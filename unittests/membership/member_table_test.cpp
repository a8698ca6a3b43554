#include "siskinrack/membership/member_table.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>
#include <thread>

namespace siskinrack::membership {
namespace {

member_record MakeRecord(std::size_t number, std::uint64_t incarnation, std::uint64_t sequence) {
  member_record record;
  record.node_id = "node-" + std::to_string(number);
  record.failure_domain = "domain-a";
  record.region = "region-a";
  record.peer_address = "127.0.0.1:4000";
  record.admin_address = "127.0.0.1:5000";
  record.service = "counter";
  record.state = wire::upstream_state::serving;
  record.incarnation = incarnation;
  record.sequence = sequence;
  return record;
}

// Guards against tables that depend on the order in which records arrive or on duplicates.
TEST(MemberTable, DuplicatedAndReorderedRecordsGiveOneResult) {
  std::mt19937_64 random(20261204);
  std::vector<member_record> records;
  for (std::size_t i = 0; i < 400; ++i) {
    records.push_back(MakeRecord(random() % 20, random() % 3, random() % 5));
    records.back().health = static_cast<wire::member_health>(random() % 3);
    records.back().served_version = records.back().sequence;
  }
  std::optional<std::uint64_t> digest;
  for (int round = 0; round < 20; ++round) {
    std::shuffle(records.begin(), records.end(), random);
    member_table table;
    for (const auto& record : records) table.Merge(record);
    for (std::size_t i = 0; i < records.size() / 2; ++i) EXPECT_FALSE(table.Merge(records[i]));
    EXPECT_EQ(digest.value_or(table.Digest()), table.Digest());
    digest = table.Digest();
  }
}

// Guards against a late record that revives a dead member.
TEST(MemberTable, DeathIsFinalWithinOneIncarnation) {
  member_table table;
  auto record = MakeRecord(1, 7, 1);
  record.health = wire::member_health::dead;
  table.Merge(record);
  EXPECT_FALSE(table.Merge(MakeRecord(1, 7, 9)));
  EXPECT_TRUE(table.Merge(MakeRecord(1, 8, 1)));
}

// Guards against repairs that never end because one node removed a dead member before the other.
TEST(MemberTable, DeadMembersDoNotChangeTheDigest) {
  member_table table;
  table.Merge(MakeRecord(1, 1, 1));
  const std::uint64_t digest = table.Digest();
  auto dead = MakeRecord(2, 1, 1);
  table.Merge(dead);
  EXPECT_NE(table.Digest(), digest);
  dead.health = wire::member_health::dead;
  table.Merge(dead);
  EXPECT_EQ(table.Digest(), digest);
  table.Remove(dead.node_id);
  EXPECT_EQ(table.Digest(), digest);
}

// Guards against a cache that still returns an endpoint after its drain or change of service.
TEST(MemberTable, EndpointsFollowEveryChange) {
  member_table table;
  EXPECT_TRUE(table.Endpoints("counter")->empty());
  table.Merge(MakeRecord(1, 1, 1));
  const endpoint_list list = table.Endpoints("counter");
  ASSERT_EQ(list->size(), 1U);
  EXPECT_EQ(list, table.Endpoints("counter"));
  auto draining = MakeRecord(1, 1, 2);
  draining.state = wire::upstream_state::draining;
  table.Merge(draining);
  EXPECT_TRUE(table.Endpoints("counter")->empty());
  EXPECT_EQ(list->size(), 1U);
  auto moved = MakeRecord(1, 2, 1);
  moved.service = "dockyard";
  table.Merge(moved);
  EXPECT_EQ(table.Endpoints("dockyard")->size(), 1U);
}

// Guards against a cached list that misses a change made while it was collected.
TEST(MemberTable, EndpointsAreCurrentAfterConcurrentChanges) {
  constexpr std::size_t kRecords = 500;
  member_table table;
  std::thread writer([&] {
    for (std::size_t i = 0; i < kRecords; ++i) table.Merge(MakeRecord(i, 1, 1));
  });
  std::size_t last = 0;
  while (last < kRecords / 2) {
    const std::size_t seen = table.Endpoints("counter")->size();
    EXPECT_GE(seen, last);
    last = std::max(last, seen);
  }
  writer.join();
  EXPECT_EQ(table.Endpoints("counter")->size(), kRecords);
}

// Guards against a status that is applied to a record with other fixed fields.
TEST(MemberRecord, StatusNeedsTheSameFixedFields) {
  auto record = MakeRecord(1, 1, 1);
  record.health = wire::member_health::suspect;
  const auto status = ToStatus(record);
  ASSERT_TRUE(status.has_value());
  const auto applied = ApplyStatus(*status, MakeRecord(1, 0, 0));
  ASSERT_TRUE(applied.has_value());
  EXPECT_EQ(applied->peer_address, record.peer_address);
  EXPECT_EQ(StateDigest(*applied), StateDigest(record));
  auto other = MakeRecord(1, 0, 0);
  other.service = "dockyard";
  EXPECT_FALSE(ApplyStatus(*status, other).has_value());
}

}  // namespace
}  // namespace siskinrack::membership
