#include "rollout_consumer.h"

#include "rollout_codec.h"

namespace siskinrack::mesh {

std::optional<rollout::order> rollout_consumer::ParseOrder(
    const platform_adapter::versioned_object& object) const {
  support::findings problems;
  auto order = platform_adapter::ReadRolloutOrder(object, problems);
  if (!order) {
    context_.unreadable.Add(platform_adapter::kRolloutKind, object.name, object.revision,
                            object.problem.empty() ? problems.ToText() : object.problem);
  }
  return order;
}

void rollout_consumer::OnList(platform_adapter::object_listing listing) {
  std::vector<rollout::order> all;
  for (const platform_adapter::versioned_object& object : listing.objects) {
    if (auto order = ParseOrder(object)) {
      all.push_back(std::move(*order));
      continue;
    }
    // An order that can't be read any more was not deleted.
    const rollout::order_entry* known = book_.Find(object.name);
    if (known == nullptr || known->withdrawn) continue;
    all.push_back(known->ordered);
    all.back().revision = known->recorded_revision;
  }
  context_.log.Info("rollout_orders_listed",
                    {{"orders", all.size()}, {"revision", listing.revision}});
  book_.OnList(all, std::chrono::steady_clock::now());
  has_orders_ = true;
  on_changed_();
}

void rollout_consumer::OnChange(platform_adapter::object_change change) {
  const auto now = std::chrono::steady_clock::now();
  if (change.deleted) {
    if (book_.OnDeleted(change.object.name, now)) {
      context_.log.Info("rollout_order_deleted",
                        {{"service", change.object.name}, {"revision", change.object.revision}});
    }
  } else if (const auto order = ParseOrder(change.object)) {
    if (book_.OnOrder(*order, now)) {
      context_.log.Info("rollout_order", {{"service", order->service},
                                          {"target_version", order->target_version},
                                          {"duration_ms", order->duration.count()},
                                          {"state", ToText(order->state)},
                                          {"revision", order->revision}});
    }
  }
  on_changed_();
}

}  // namespace siskinrack::mesh
