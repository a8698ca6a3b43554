#ifndef SISKINRACK_ROLLOUT_ORDER_H_
#define SISKINRACK_ROLLOUT_ORDER_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

namespace siskinrack::rollout {

using time_point = std::chrono::steady_clock::time_point;

/// Bounds of the traffic that a version under trial may receive.
struct exposure_bound {
  /// Largest fraction of the requests of a service, over the whole time of the order.
  double share = 0.1;
  /// Number of requests that may exceed that fraction.
  double slack = 0;
  /// Time after the bad answers of a version became evident until it must receive nothing.
  std::chrono::milliseconds rollback_limit{5'000};

  bool operator==(const exposure_bound&) const = default;
};

/// Fraction of the allowed share that a version under trial receives. The rest covers requests that
/// are counted as arrived but were lost, and those after the cut-over until a fault is found.
inline constexpr double kUsedShare = 0.8;

/// State of an order as recorded in the store. An order without a record is running.
enum class order_state { kRunning, kDone, kRolledBack };

/// Returns the name of a state in snake_case.
std::string_view ToText(order_state state);

/// Represents the operator's order to move the traffic of a service to upstreams of a version.
struct order {
  std::string service;
  std::string target_version;
  /// Time after the order within which it has to be done.
  std::chrono::milliseconds duration{0};
  /// Revision of the order in the store. Identifies the order while it is running: nothing but a
  /// final state is recorded, so the revision changes only with that or with another order.
  std::uint64_t revision = 0;
  order_state state = order_state::kRunning;

  bool operator==(const order&) const = default;
};

}  // namespace siskinrack::rollout

#endif  // SISKINRACK_ROLLOUT_ORDER_H_
