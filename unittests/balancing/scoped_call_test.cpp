#include "siskinrack/balancing/scoped_call.h"

#include <gtest/gtest.h>

#include <stdexcept>

namespace siskinrack::balancing {
namespace {

// Guards against a call that ended by an exception and counts as load of its endpoint forever.
TEST(ScopedCall, CallEndsWithItsScope) {
  const time_point now = std::chrono::steady_clock::now();
  endpoint_state state(1);
  state.Start(now);
  state.Finish({call_outcome::kAnswered, std::chrono::milliseconds(10), {}, {}}, now);
  const double idle_cost = state.View(now).cost_ms;
  EXPECT_THROW(
      {
        const scoped_call call(state, now);
        EXPECT_GT(state.View(now).cost_ms, idle_cost);
        throw std::runtime_error("send failed");
      },
      std::runtime_error);
  EXPECT_DOUBLE_EQ(state.View(now).cost_ms, idle_cost);
}

}  // namespace
}  // namespace siskinrack::balancing
