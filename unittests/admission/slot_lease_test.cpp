#include "siskinrack/admission/slot_lease.h"

#include <gtest/gtest.h>

#include <stdexcept>
#include <vector>

#include "siskinrack/admission/slot_gate.h"

namespace siskinrack::admission {
namespace {

using std::chrono::milliseconds;

// Guards against a slot that is lost for good when the call that holds it ends by an exception.
TEST(SlotLease, SlotIsFreedIfItsScopeEndsByAnException) {
  net::fiber_runtime runtime(1);
  runtime.Run(0, [] {
    using gate = slot_gate<controller>;
    const std::vector<config::rank_policy> ranks{{"rank", 1'000, 1, 1}};
    const auto slots = std::make_shared<gate>(controller({1, milliseconds(0)}, ranks));
    net::cancellation cancel;
    for (int i = 0; i < 3; ++i) {
      const auto deadline = std::chrono::steady_clock::now() + milliseconds(100);
      const decision admitted =
          slots->Acquire(arrival{0, "rank", "caller", deadline}, deadline, cancel);
      ASSERT_TRUE(admitted.admitted) << i;
      EXPECT_THROW(
          {
            const slot_lease lease(*slots, admitted.ticket);
            throw std::runtime_error("send failed");
          },
          std::runtime_error);
    }
  });
}

}  // namespace
}  // namespace siskinrack::admission
