#ifndef SISKINRACK_ROLLOUT_ORDER_BOOK_H_
#define SISKINRACK_ROLLOUT_ORDER_BOOK_H_

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "siskinrack/rollout/order.h"

namespace siskinrack::rollout {

/// What a node does with the traffic of a service that has an order.
enum class phase {
  /// The target version receives its share.
  kTrial,
  /// All traffic goes to the target version; the order is not yet recorded as done.
  kCutOver,
  kDone,
  /// The target version receives nothing.
  kRolledBack,
};

/// Returns the name of a phase in snake_case.
std::string_view ToText(phase current);

/// An order and what this node knows about it.
struct order_entry {
  order ordered;
  phase current = phase::kTrial;
  /// Revision of the object in the store, which a write of its status requires.
  std::uint64_t recorded_revision = 0;
  /// True if the store has the final state.
  bool recorded = false;
  /// The operator deleted the order while it was running, so its result is nowhere recorded.
  bool withdrawn = false;
  time_point known_since;
  /// When `current` began.
  time_point phase_since;
};

/// Holds the orders as known to one node, from the store and from the verdicts of judges. The store
/// overrides verdicts; a verdict to roll back overrides one to cut over. Not thread-safe.
class order_book {
 public:
  /// Applies an order read from the store. Returns true if it is new or its phase has changed.
  bool OnOrder(const order& read, time_point now);
  /// Applies the deletion of an order. One that was running is withdrawn: its target version
  /// receives nothing, as nothing is known in its favour. Returns true if anything has changed.
  bool OnDeleted(std::string_view service, time_point now);
  /// Applies a complete list: orders that are missing were deleted.
  void OnList(const std::vector<order>& all, time_point now);
  /// Applies the verdict of a judge. Returns true if the phase has changed. A verdict on another
  /// order is ignored.
  bool OnVerdict(std::string_view service, std::uint64_t order_revision, bool rolled_back,
                 time_point now);

  /// Returns the order for a service, or null.
  [[nodiscard]] const order_entry* Find(std::string_view service) const;
  [[nodiscard]] const std::map<std::string, order_entry, std::less<>>& entries() const {
    return entries_;
  }
  /// Returns true if the result of an order is not yet recorded.
  [[nodiscard]] bool HasOpenOrder() const;

 private:
  std::map<std::string, order_entry, std::less<>> entries_;
};

}  // namespace siskinrack::rollout

#endif  // SISKINRACK_ROLLOUT_ORDER_BOOK_H_
