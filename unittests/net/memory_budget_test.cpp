#include "siskinrack/net/memory_budget.h"

#include <gtest/gtest.h>

#include <random>
#include <thread>
#include <vector>

namespace siskinrack::net {
namespace {

constexpr memory_limits kLimits{.total = 1'000, .reserve = 200, .small_charge = 50};

TEST(MemoryBudgetTest, ChargeIsGivenBackByScope) {
  memory_budget budget(kLimits);
  {
    memory_charge charge(&budget, memory_use::kFrame);
    ASSERT_TRUE(charge.Resize(300));
    EXPECT_EQ(budget.used(), 300U);
    EXPECT_EQ(budget.used(memory_use::kFrame), 300U);
    EXPECT_EQ(budget.used(memory_use::kConnection), 0U);
    ASSERT_TRUE(charge.Resize(100));
    EXPECT_EQ(budget.used(), 100U);
  }
  EXPECT_EQ(budget.used(), 0U);
  EXPECT_EQ(budget.used(memory_use::kFrame), 0U);
}

// Guards against a refused growth that changes the charge: the next release would give back too
// much.
TEST(MemoryBudgetTest, RefusedGrowthChangesNothing) {
  memory_budget budget(kLimits);
  memory_charge charge(&budget, memory_use::kRequestBody);
  ASSERT_TRUE(charge.Resize(700));
  EXPECT_FALSE(charge.Resize(801));
  EXPECT_EQ(charge.bytes(), 700U);
  EXPECT_EQ(budget.used(), 700U);
  EXPECT_EQ(budget.refused(memory_use::kRequestBody), 1U);
  EXPECT_EQ(budget.refused(memory_use::kFrame), 0U);
}

// Guards against large bodies that leave no memory for ordinary requests.
TEST(MemoryBudgetTest, ReserveIsForSmallCharges) {
  memory_budget budget(kLimits);
  memory_charge large(&budget, memory_use::kRequestBody);
  ASSERT_TRUE(large.Resize(800));
  memory_charge another(&budget, memory_use::kRequestBody);
  EXPECT_FALSE(another.Resize(51));
  EXPECT_TRUE(another.Resize(50));
  EXPECT_FALSE(budget.HasRoom(memory_use::kRequestBody, 51));
  EXPECT_TRUE(budget.HasRoom(memory_use::kRequestBody, 50));
  std::vector<memory_charge> small;
  for (int i = 0; i < 3; ++i) {
    small.emplace_back(&budget, memory_use::kConnection);
    EXPECT_TRUE(small.back().Resize(50));
  }
  EXPECT_EQ(budget.used(), kLimits.total);
  EXPECT_FALSE(budget.HasRoom(memory_use::kFrame, 1));
}

// Guards against answers to requests that have run, and links that carry many of them, which fail
// because request bodies have used up the budget.
TEST(MemoryBudgetTest, AnswersMayUseHalfOfTheReserve) {
  memory_budget budget(kLimits);
  memory_charge bodies(&budget, memory_use::kRequestBody);
  ASSERT_TRUE(bodies.Resize(800));
  EXPECT_TRUE(budget.HasRoom(memory_use::kFrame, 100));
  memory_charge answer(&budget, memory_use::kResponseBody);
  EXPECT_FALSE(answer.Resize(101));
  EXPECT_TRUE(answer.Resize(100));
  memory_charge small(&budget, memory_use::kRequestBody);
  EXPECT_TRUE(small.Resize(50));
}

// Guards against an overflow of the free bytes after memory that could not be refused.
TEST(MemoryBudgetTest, ForcedChargeMayExceedTheTotal) {
  memory_budget budget(kLimits);
  memory_charge forced(&budget, memory_use::kResponseBody);
  forced.ForceResize(5'000);
  EXPECT_EQ(budget.used(), 5'000U);
  EXPECT_FALSE(budget.HasRoom(memory_use::kFrame, 1));
  memory_charge refused(&budget, memory_use::kConnection);
  EXPECT_FALSE(refused.Resize(1));
  forced.Release();
  EXPECT_EQ(budget.used(), 0U);
  EXPECT_TRUE(refused.Resize(1));
}

TEST(MemoryBudgetTest, MovedChargeIsGivenBackOnce) {
  memory_budget budget(kLimits);
  memory_charge first(&budget, memory_use::kFrame);
  ASSERT_TRUE(first.Resize(40));
  memory_charge second(&budget, memory_use::kConnection);
  ASSERT_TRUE(second.Resize(10));
  second = std::move(first);
  EXPECT_EQ(budget.used(), 40U);
  EXPECT_EQ(budget.used(memory_use::kConnection), 0U);
  memory_charge third(std::move(second));
  EXPECT_EQ(budget.used(), 40U);
  third.Release();
  EXPECT_EQ(budget.used(), 0U);
}

TEST(MemoryBudgetTest, ChargeWithoutBudgetIsGranted) {
  memory_charge charge;
  EXPECT_TRUE(charge.Resize(std::size_t{1} << 40U));
}

TEST(MemoryBudgetTest, LimitsFollowTheMemoryOfTheProcess) {
  const memory_limits limits = ComputeMemoryLimits(260'000'000);
  EXPECT_EQ(limits.total, 130'000'000U);
  EXPECT_EQ(limits.reserve, 32'500'000U);
  EXPECT_GT(limits.reserve, 100 * limits.small_charge);
}

// Guards against bytes that are lost or counted twice, for any order of growth, refusal, release,
// transfer and forced charges.
TEST(MemoryBudgetTest, UsedBytesAreTheSumOfTheCharges) {
  constexpr unsigned kSeeds = 200;
  constexpr int kSteps = 500;
  for (unsigned seed = 1; seed <= kSeeds; ++seed) {
    std::mt19937 random(seed);
    const auto draw = [&random](std::size_t end) {
      return std::uniform_int_distribution<std::size_t>(0, end - 1)(random);
    };
    memory_budget budget(kLimits);
    {
      std::vector<memory_charge> charges;
      for (std::size_t i = 0; i < 8; ++i) {
        charges.emplace_back(&budget, static_cast<memory_use>(i % kMemoryUses));
      }
      bool forced = false;
      for (int step = 0; step < kSteps; ++step) {
        memory_charge& charge = charges[draw(charges.size())];
        const std::size_t before = budget.used();
        const std::size_t size = draw(300);
        const std::size_t growth = size > charge.bytes() ? size - charge.bytes() : 0;
        switch (draw(4)) {
          case 0:
            charge.Release();
            break;
          case 1: {
            memory_charge& other = charges[draw(charges.size())];
            if (&other != &charge) other = std::move(charge);
            break;
          }
          case 2:
            forced = forced || (growth > 0 && before + growth > kLimits.total);
            charge.ForceResize(size);
            break;
          default:
            if (charge.Resize(size) && growth > 0) {
              const bool is_body = charge.use() == memory_use::kRequestBody;
              const std::size_t kept = is_body ? kLimits.reserve : kLimits.reserve / 2;
              const bool small = size <= kLimits.small_charge;
              ASSERT_LE(budget.used(), kLimits.total - (small ? 0 : kept)) << seed;
            }
        }
        std::size_t sum = 0;
        for (const memory_charge& one : charges) sum += one.bytes();
        ASSERT_EQ(budget.used(), sum) << "seed " << seed << ", step " << step;
        std::size_t by_use = 0;
        for (std::size_t use = 0; use < kMemoryUses; ++use) {
          by_use += budget.used(static_cast<memory_use>(use));
        }
        ASSERT_EQ(by_use, sum) << "seed " << seed << ", step " << step;
        if (!forced) {
          ASSERT_LE(budget.used(), kLimits.total) << seed;
        }
      }
    }
    ASSERT_EQ(budget.used(), 0U) << seed;
  }
}

// Guards against threads that together exceed the limit, and against lost updates.
TEST(MemoryBudgetTest, ThreadsStayWithinTheLimitTogether) {
  memory_budget budget(kLimits);
  std::vector<std::thread> threads;
  std::atomic<bool> exceeded = false;
  for (unsigned seed = 0; seed < 4; ++seed) {
    threads.emplace_back([&, seed] {
      std::mt19937 random(seed);
      memory_charge charge(&budget, memory_use::kRequestBody);
      for (int i = 0; i < 20'000; ++i) {
        static_cast<void>(charge.Resize(random() % 500));
        if (budget.used() > kLimits.total) exceeded = true;
      }
    });
  }
  for (std::thread& thread : threads) thread.join();
  EXPECT_FALSE(exceeded);
  EXPECT_EQ(budget.used(), 0U);
}

}  // namespace
}  // namespace siskinrack::net
