#ifndef SISKINRACK_LIB_MESH_ROLLOUT_CONSUMER_H_
#define SISKINRACK_LIB_MESH_ROLLOUT_CONSUMER_H_

#include <functional>

#include "mesh_context.h"
#include "siskinrack/rollout/order_book.h"

namespace siskinrack::mesh {

/// Updates the order book from the roll-out orders in the store. Orders that can't be parsed are
/// logged and skipped.
class rollout_consumer {
 public:
  rollout_consumer(mesh_context& context, rollout::order_book& book,
                   std::function<void()> on_changed)
      : context_(context), book_(book), on_changed_(std::move(on_changed)) {}

  /// Replaces all orders by those in a complete list.
  void OnList(platform_adapter::object_listing listing);
  /// Applies a changed or deleted order.
  void OnChange(platform_adapter::object_change change);

  /// Returns true once the orders were read since the start of the process.
  [[nodiscard]] bool has_orders() const { return has_orders_; }

 private:
  std::optional<rollout::order> ParseOrder(const platform_adapter::versioned_object& object) const;

  mesh_context& context_;
  rollout::order_book& book_;
  std::function<void()> on_changed_;
  bool has_orders_ = false;
};

}  // namespace siskinrack::mesh

#endif  // SISKINRACK_LIB_MESH_ROLLOUT_CONSUMER_H_
