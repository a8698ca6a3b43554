#ifndef SISKINRACK_LIB_MESH_ROLLOUT_SERVICE_H_
#define SISKINRACK_LIB_MESH_ROLLOUT_SERVICE_H_

#include <functional>
#include <random>
#include <string>

#include "mesh_context.h"
#include "rollout_consumer.h"
#include "rollout_counter.h"
#include "rollout_judging.h"
#include "siskinrack/rollout/order_book.h"
#include "siskinrack/rollout/steering.h"

namespace siskinrack::mesh {

/// Connects the parts of roll-outs on one node. Has no effect unless the settings put roll-outs in
/// force, and none on services without an order.
class rollout_service {
 public:
  /// `count_open_calls` returns the number of calls that this node has not yet answered.
  rollout_service(mesh_context& context, const registration& instance,
                  std::function<std::size_t()> count_open_calls)
      : context_(context),
        counter_(context, instance, book_),
        judging_(context, book_, counter_, GetShare(context), std::move(count_open_calls)),
        steering_(GetShare(context)),
        consumer_(context, book_, [this] { judging_.OnOrdersChanged(); }) {}

  /// Returns false until the orders were read: a node that has restarted must not send requests to
  /// a version whose order it doesn't know.
  [[nodiscard]] bool IsReady() const {
    return !context_.settings.rollouts || consumer_.has_orders();
  }

  /// Returns the track of a request for `service`.
  rollout::assignment Assign(const std::string& service,
                             std::span<const routing::endpoint> endpoints, std::uint64_t route) {
    const rollout::order_entry* entry = book_.Find(service);
    if (entry == nullptr) return {};
    return steering_.Assign(entry, endpoints, route, std::chrono::steady_clock::now(), random_());
  }
  /// Returns true if a request may be sent to `target`.
  [[nodiscard]] bool Allows(const rollout::assignment& assigned,
                            const routing::endpoint& target) const {
    return steering_.Allows(book_.Find(target.service), assigned, target);
  }
  /// Changes the track of a request for which no endpoint is left; returns false if none may be
  /// tried.
  bool Redirect(const std::string& service, rollout::assignment& assigned) {
    return steering_.Redirect(book_.Find(service), assigned);
  }
  /// Records the end of an attempt; `arrived` tells whether it reached an upstream.
  void OnAttempt(const std::string& service, rollout::assignment& assigned, bool arrived) {
    steering_.OnAttempt(book_.Find(service), assigned, arrived);
  }

  [[nodiscard]] const rollout::order_book& book() const { return book_; }
  [[nodiscard]] rollout_counter& counter() { return counter_; }
  [[nodiscard]] rollout_judging& judging() { return judging_; }
  [[nodiscard]] rollout_consumer& consumer() { return consumer_; }

 private:
  /// Returns the share that a version under trial receives.
  static double GetShare(const mesh_context& context) {
    return context.settings.rollouts.value_or(rollout::exposure_bound{}).share *
           rollout::kUsedShare;
  }

  mesh_context& context_;
  rollout::order_book book_;
  rollout_counter counter_;
  rollout_judging judging_;
  rollout::steering steering_;
  rollout_consumer consumer_;
  std::mt19937_64 random_{std::random_device{}()};
};

}  // namespace siskinrack::mesh

#endif  // SISKINRACK_LIB_MESH_ROLLOUT_SERVICE_H_
