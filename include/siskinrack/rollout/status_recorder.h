#ifndef SISKINRACK_ROLLOUT_STATUS_RECORDER_H_
#define SISKINRACK_ROLLOUT_STATUS_RECORDER_H_

#include <concepts>
#include <cstdint>
#include <string_view>
#include <variant>

#include "siskinrack/rollout/order.h"

namespace siskinrack::rollout {

/// Result of a call to the store that writes or reads an order.
enum class store_answer {
  kOk,
  /// The order has another revision.
  kConflict,
  kNotFound,
  /// The call had no effect.
  kUnavailable,
  /// The call may have had an effect, now or seconds later.
  kUnknown,
};

/// Order as read from the store, or why it was not read.
using order_result = std::variant<order, store_answer>;

/// Requires access to the orders in the store. `Record` writes the state of an order on condition
/// that it has the revision `revision`.
template <typename Store>
concept order_store = requires(Store& store, const order& target, order_state state,
                               std::uint64_t revision) {
  { store.Read(target) } -> std::same_as<order_result>;
  { store.Record(target, state, revision) } -> std::same_as<store_answer>;
};

/// Result of RecordState.
enum class record_result {
  /// The store has this state.
  kRecorded,
  /// The store has another final state, or another order.
  kSuperseded,
  /// Nothing is known; the attempt has to be repeated while the decision holds.
  kRetry,
};

/// Returns the name of a result in snake_case.
constexpr std::string_view ToText(record_result result) {
  switch (result) {
    case record_result::kRecorded:
      return "recorded";
    case record_result::kSuperseded:
      return "superseded";
    default:
      return "retry";
  }
}

/// Tries once to record the final state of an order whose last known revision is `revision`. If the
/// write may have had an effect or was refused, the order is read: a write that takes effect
/// seconds later fails by its condition once another one has succeeded. On kRetry, `revision` is
/// the one to use next.
template <order_store Store>
record_result RecordState(Store& store, const order& target, order_state state,
                          std::uint64_t& revision) {
  const store_answer written = store.Record(target, state, revision);
  if (written == store_answer::kOk) return record_result::kRecorded;
  if (written == store_answer::kUnavailable) return record_result::kRetry;
  const order_result found = store.Read(target);
  if (const auto* failure = std::get_if<store_answer>(&found)) {
    return *failure == store_answer::kNotFound ? record_result::kSuperseded : record_result::kRetry;
  }
  const order& current = std::get<order>(found);
  if (current.target_version != target.target_version || current.duration != target.duration)
    return record_result::kSuperseded;
  if (current.state == state) return record_result::kRecorded;
  if (current.state != order_state::kRunning) return record_result::kSuperseded;
  revision = current.revision;
  return record_result::kRetry;
}

}  // namespace siskinrack::rollout

#endif  // SISKINRACK_ROLLOUT_STATUS_RECORDER_H_
