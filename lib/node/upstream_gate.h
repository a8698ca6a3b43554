#ifndef SISKINRACK_LIB_NODE_UPSTREAM_GATE_H_
#define SISKINRACK_LIB_NODE_UPSTREAM_GATE_H_

#include <boost/fiber/future/promise.hpp>
#include <memory>
#include <mutex>
#include <unordered_map>

#include "node_context.h"
#include "siskinrack/admission/controller.h"

namespace siskinrack::node {

/// Lets calls through to the upstream of this VM as the admission controller decides. A waiting
/// call is a suspended fiber; the fiber that frees a slot wakes it, on whichever thread it is. Held
/// by a shared pointer, because a fiber that waits for the end of a pause may outlive its owner.
class upstream_gate : public std::enable_shared_from_this<upstream_gate> {
 public:
  explicit upstream_gate(node_context& context);

  /// Asks for a slot and suspends the calling fiber until it is granted or refused. A granted
  /// ticket needs one Leave.
  admission::decision Enter(const wire::call_request_t& call, net::steady_time deadline,
                            net::cancellation& cancel);
  /// Frees the slot of `ticket`.
  void Leave(std::uint64_t ticket, admission::call_result result,
             std::chrono::milliseconds retry_after);

  /// The upstream has started.
  void StartRamp();
  /// Load as a call of `rank` meets it.
  [[nodiscard]] admission::upstream_load Load(std::string_view rank) const;

 private:
  using promise = boost::fibers::promise<admission::decision>;

  /// The functions below need the lock.
  void Reconfigure();
  [[nodiscard]] admission::upstream_limits Limits() const;
  void Deliver(const admission::decisions& list);

  admission::decision Await(std::uint64_t ticket, boost::fibers::future<admission::decision> answer,
                            net::steady_time end_by, net::cancellation& cancel);
  void Withdraw(std::uint64_t ticket);
  void AdvanceAfter(std::chrono::milliseconds pause);

  node_context& context_;
  mutable std::mutex mutex_;
  config_snapshot_ptr configured_;
  admission::controller controller_;
  std::uint64_t last_ticket_ = 0;
  std::unordered_map<std::uint64_t, std::shared_ptr<promise>> waiting_;
};

}  // namespace siskinrack::node

#endif  // SISKINRACK_LIB_NODE_UPSTREAM_GATE_H_
