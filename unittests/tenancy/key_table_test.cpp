#include "siskinrack/tenancy/key_table.h"

#include <gtest/gtest.h>

#include "siskinrack/tenancy/access.h"

namespace siskinrack::tenancy {
namespace {

// Guards against a digest of another kind: keys would not be found after an upgrade of one node.
TEST(KeyTable, DigestIsSha256) {
  const key_digest digest = ComputeKeyDigest("abc");
  EXPECT_EQ(digest.front(), 0xba);
  EXPECT_EQ(digest.back(), 0xad);
}

// Guards against requests that run as another tenant's.
TEST(KeyTable, EachKeyBelongsToItsTenant) {
  const std::vector<tenant> tenants{
      {"first", {ComputeKeyDigest("key-a"), ComputeKeyDigest("key-b")}, 1, 10, 5},
      {"second", {ComputeKeyDigest("key-c"), ComputeKeyDigest("key-a")}, 0, 0, 0}};
  const key_table table(tenants);
  EXPECT_EQ(table.Find("key-a"), 0U);
  EXPECT_EQ(table.Find("key-b"), 0U);
  EXPECT_EQ(table.Find("key-c"), 1U);
  for (const std::string_view unknown : {"", "key-", "key-A", "key-a ", "key-aa"}) {
    EXPECT_EQ(table.Find(unknown), std::nullopt) << unknown;
  }
}

// Guards against requests that run without a key, with one that no tenant holds, or with one whose
// removal the node may have missed; and against 401 from a node that may not know a new key.
TEST(Access, IsGrantedOnlyWithAProvedKeyOrOnOpenRoutes) {
  using enum access_verdict;
  EXPECT_EQ(DecideAccess({.has_key = true, .has_tenant = true}), kGranted);
  EXPECT_EQ(DecideAccess({.has_key = true, .has_tenant = true, .proved = false}), kUnproved);
  EXPECT_EQ(DecideAccess({.has_key = true}), kDenied);
  EXPECT_EQ(DecideAccess({.has_key = true, .proved = false}), kUnproved);
  EXPECT_EQ(DecideAccess({}), kDenied);
  EXPECT_EQ(DecideAccess({.proved = false}), kDenied);
  EXPECT_EQ(DecideAccess({.open_route = true}), kGranted);
  EXPECT_EQ(DecideAccess({.open_route = true, .proved = false}), kGranted);
  EXPECT_EQ(
      DecideAccess({.open_route = true, .has_key = true, .has_tenant = true, .proved = false}),
      kUnproved);
}

}  // namespace
}  // namespace siskinrack::tenancy
