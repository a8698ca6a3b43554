#ifndef SISKINRACK_LIB_MESH_SERVING_SERVICE_H_
#define SISKINRACK_LIB_MESH_SERVING_SERVICE_H_

#include <atomic>
#include <memory>
#include <optional>

#include "crash_guard.h"
#include "mesh_context.h"
#include "registration.h"
#include "rollout_counter.h"
#include "siskinrack/admission/deadline_controller.h"
#include "siskinrack/admission/slot_gate.h"

namespace siskinrack::mesh {

/// Serves calls with the upstream on this VM. No other process can reach the upstream, so decisions
/// made here about departure, capacity and lifetimes hold for the whole mesh.
class serving_service {
 public:
  serving_service(mesh_context& context, registration& instance, crash_guard& crashes,
                  rollout_counter& rollouts);

  /// Serves one call and returns its answer with the load of the upstream. The outcome of the
  /// answer shows whether the call ran. `link_refusal` is the refusal of a call whose answer can't
  /// be sent in time. May suspend the calling fiber.
  wire::call_answer_t Serve(const wire::call_request_t& call, net::cancellation& cancel,
                            std::optional<wire::call_answer_t> link_refusal = std::nullopt);

  /// Refuses all calls from now on, because the node is about to exit. Requires
  /// mesh_context::shutdown. The answers tell other nodes for how long not to call again.
  void StopServing() { stopped_ = true; }

  /// Returns the number of calls that run or wait for a slot.
  [[nodiscard]] std::size_t in_flight() const { return in_flight_; }
  /// Returns when the last call arrived; the epoch before the first one.
  [[nodiscard]] net::steady_time last_call() const { return last_call_; }

 private:
  /// Returns the refusal of a call that can't be served here or isn't wanted any more, or
  /// std::nullopt if it can be served.
  [[nodiscard]] std::optional<wire::call_answer_t> FindRefusal(const wire::call_request_t& call,
                                                               const net::cancellation& cancel);
  wire::call_answer_t AdmitAndSend(const wire::call_request_t& call, net::steady_time deadline,
                                   net::cancellation& cancel);
  wire::call_answer_t SendToUpstream(const wire::call_request_t& call, net::steady_time deadline,
                                     net::cancellation& cancel);
  /// Applies the number of slots that the upstream last reported.
  void UpdateSlots();
  /// Applies what the upstream states about itself in a response: its departure, and the limit that
  /// it names or no longer names.
  void ApplyStatements(const routing::lifetime& life, const net::http_result& result);
  /// Applies the limit that the sender of a call knows, unless the current lifetime of the upstream
  /// has answered this process: an earlier process of this node may have passed the limit on.
  void AdoptLimit(const wire::call_request_t& call);
  void SetLimit(std::optional<double> per_second);

  mesh_context& context_;
  registration& registration_;
  crash_guard& crashes_;
  rollout_counter& rollouts_;
  using gate = admission::slot_gate<admission::deadline_controller>;
  std::uint32_t slots_ = 1;
  std::optional<double> limit_;
  /// Lifetime of the upstream that `limit_` belongs to.
  routing::lifetime limited_life_;
  /// True if an answer of that lifetime has stated whether there is a limit.
  bool limit_stated_ = false;
  std::shared_ptr<gate> gate_;
  std::atomic<std::size_t> in_flight_ = 0;
  std::atomic<net::steady_time> last_call_{};
  std::atomic<bool> stopped_ = false;
};

}  // namespace siskinrack::mesh

#endif  // SISKINRACK_LIB_MESH_SERVING_SERVICE_H_
