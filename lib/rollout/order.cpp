#include "siskinrack/rollout/order.h"

namespace siskinrack::rollout {

std::string_view ToText(order_state state) {
  switch (state) {
    case order_state::kDone:
      return "done";
    case order_state::kRolledBack:
      return "rolled_back";
    default:
      return "running";
  }
}

}  // namespace siskinrack::rollout
