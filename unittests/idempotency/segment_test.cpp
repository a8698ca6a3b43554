#include "siskinrack/idempotency/segment.h"

#include <gtest/gtest.h>

#include <map>

namespace siskinrack::idempotency {
namespace {

std::string Example() {
  const segment_header header{3, 9, 4, 7, 1000, {{6, 2, 55, 900}}};
  const log_record claim{record_kind::kClaim, "key", 11, 950, 12, 3, 2000, {}};
  const log_record finish{
      record_kind::kFinish, "key", 11, 990, 0, 0, 0, stored_answer{200, {{"a", "b"}}, "body"}};
  return Encode(header) + Encode(claim) + Encode(finish);
}

TEST(Segment, IsDecodedAsEncoded) {
  const auto decoded = DecodeSegment(Example());
  ASSERT_TRUE(decoded.has_value());
  EXPECT_EQ(decoded->header.archived.at(0).version, 55U);
  ASSERT_EQ(decoded->records.size(), 2U);
  EXPECT_EQ(decoded->records[0].expires_ms, 2000U);
  EXPECT_EQ(decoded->records[1].answer->body, "body");
}

// Guards against a truncated log that is decoded as one with fewer claims.
TEST(Segment, EveryTruncationInsideARecordIsRejected) {
  const std::string whole = Example();
  std::size_t accepted = 0;
  for (std::size_t size = 0; size < whole.size(); ++size) {
    accepted += DecodeSegment(whole.substr(0, size)).has_value() ? 1U : 0U;
  }
  // Truncated after the header or after the first record, the bytes are a whole segment.
  EXPECT_EQ(accepted, 2U);
}

// Guards against one node owning most shards.
TEST(Ownership, ShardsSpreadOverMembers) {
  const std::vector<std::string> members = {"node-1", "node-2", "node-3", "node-4"};
  std::map<std::string, int> owned;
  for (std::size_t shard = 0; shard < kShards; ++shard) ++owned[SelectOwner(shard, members)];
  EXPECT_EQ(owned.size(), members.size());
  for (const auto& [member, count] : owned) EXPECT_LE(count, 16) << member;
}

// Guards against the loss of one member changing the owner of other members' shards.
TEST(Ownership, OnlyTheShardsOfALostMemberMove) {
  const std::vector<std::string> all = {"node-1", "node-2", "node-3", "node-4"};
  const std::vector<std::string> rest = {"node-1", "node-2", "node-4"};
  for (std::size_t shard = 0; shard < kShards; ++shard) {
    const std::string before = SelectOwner(shard, all);
    if (before == "node-3") continue;
    EXPECT_EQ(SelectOwner(shard, rest), before);
  }
}

}  // namespace
}  // namespace siskinrack::idempotency
