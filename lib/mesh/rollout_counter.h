#ifndef SISKINRACK_LIB_MESH_ROLLOUT_COUNTER_H_
#define SISKINRACK_LIB_MESH_ROLLOUT_COUNTER_H_

#include <optional>

#include "mesh_context.h"
#include "registration.h"
#include "siskinrack/rollout/judgement.h"
#include "siskinrack/rollout/local_guard.h"
#include "siskinrack/rollout/order_book.h"

namespace siskinrack::mesh {

/// Counts the answers of the upstream on this VM while its service has an order, and refuses calls
/// for it that the order forbids. Only this node can reach the upstream, so no entry node can
/// exceed what is decided here.
class rollout_counter {
 public:
  rollout_counter(mesh_context& context, const registration& instance,
                  const rollout::order_book& book)
      : context_(context), registration_(instance), book_(book) {}

  /// Returns the refusal of a call for the upstream, or std::nullopt if it may run.
  [[nodiscard]] std::optional<wire::call_answer_t> FindRefusal() const;
  /// Counts an answer of the upstream, which took `took` without the wait for a slot.
  void Record(const wire::call_request_t& call, const wire::call_answer_t& answer,
              std::chrono::milliseconds took);

  /// Returns the report to the judges, or std::nullopt if the service has no open order.
  [[nodiscard]] std::optional<wire::rollout_report_t> MakeReport(std::size_t open_calls) const;

 private:
  /// Returns the order for the service of the upstream, or null.
  [[nodiscard]] const rollout::order_entry* FindOrder() const;
  [[nodiscard]] bool IsTarget(const rollout::order_entry& entry) const;

  mesh_context& context_;
  const registration& registration_;
  const rollout::order_book& book_;
  /// Order and version that the counts belong to.
  std::uint64_t order_revision_ = 0;
  std::string software_version_;
  rollout::counts_by_route counts_;
  rollout::local_guard guard_;
};

}  // namespace siskinrack::mesh

#endif  // SISKINRACK_LIB_MESH_ROLLOUT_COUNTER_H_
