#include "siskinrack/tenancy/knowledge_proof.h"

#include <gtest/gtest.h>

namespace siskinrack::tenancy {
namespace {

using std::chrono::milliseconds;

constexpr knowledge_proof::time_point kStart{std::chrono::hours(1)};
constexpr milliseconds kLimit{4'500};

// Guards against a node that serves with keys before its first proof, or longer than the limit.
TEST(KnowledgeProof, ExpiresAtTheLimit) {
  knowledge_proof proof;
  EXPECT_FALSE(proof.IsYounger(kLimit, kStart));
  EXPECT_TRUE(proof.OnProof(3, 3, kStart));
  EXPECT_TRUE(proof.IsYounger(kLimit, kStart + kLimit - milliseconds(1)));
  EXPECT_FALSE(proof.IsYounger(kLimit, kStart + kLimit));
  EXPECT_TRUE(proof.OnProof(3, 3, kStart + kLimit));
  EXPECT_TRUE(proof.IsYounger(kLimit, kStart + kLimit));
}

// Guards against a proof of a version that this node has not activated: a key that this version
// took away would stay usable.
TEST(KnowledgeProof, OfANewerVersionDoesNotCount) {
  knowledge_proof proof;
  EXPECT_FALSE(proof.OnProof(4, 3, kStart));
  EXPECT_FALSE(proof.OnProof(0, 0, kStart));
  EXPECT_FALSE(proof.proved_at());
  EXPECT_TRUE(proof.OnProof(2, 3, kStart));
}

// Guards against an old answer that arrives late and replaces a newer proof.
TEST(KnowledgeProof, OlderProofDoesNotReplaceANewerOne) {
  knowledge_proof proof;
  proof.OnProof(3, 3, kStart);
  proof.OnProof(3, 3, kStart - kLimit);
  EXPECT_EQ(proof.proved_at(), kStart);
}

// Guards against a clock that stops while the machine is suspended.
TEST(BootClock, GoesOn) {
  const auto before = support::boot_clock::now();
  EXPECT_GE(support::boot_clock::now(), before);
  EXPECT_GT(before.time_since_epoch().count(), 0);
}

}  // namespace
}  // namespace siskinrack::tenancy
