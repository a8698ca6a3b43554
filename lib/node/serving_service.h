#ifndef SISKINRACK_LIB_NODE_SERVING_SERVICE_H_
#define SISKINRACK_LIB_NODE_SERVING_SERVICE_H_

#include <atomic>
#include <mutex>

#include "node_context.h"
#include "quarantine_service.h"
#include "siskinrack/admission/slot_gate.h"

namespace siskinrack::node {

/// Serves calls by sending them to the upstream of this VM.
class serving_service {
 public:
  serving_service(node_context& context, quarantine_service& quarantine);

  /// Serves one call and returns its answer. The answer contains the load of this upstream, unless
  /// the node is shutting down, has no configuration or does not serve the service. Must run in a
  /// fiber; may suspend.
  wire::call_answer_t Serve(const wire::call_request_t& call, net::cancellation& cancel);

  /// Probes the health endpoint of the upstream once. Returns true if it is healthy. If it is
  /// healthy for the first time or after it was unreachable, starts its ramp, in which the usable
  /// slots grow from one to all.
  bool ProbeUpstream();

  /// Returns the number of calls that are running or waiting for a slot.
  [[nodiscard]] std::size_t in_flight() const { return in_flight_; }

 private:
  wire::call_answer_t SendToUpstream(const wire::call_request_t& call, net::steady_time deadline,
                                     net::cancellation& cancel);
  /// Applies the active configuration to the gate if it has changed.
  void ApplyCurrentConfig();
  /// Returns the limits of the upstream. They come from the settings of the node if the
  /// configuration does not contain the service.
  [[nodiscard]] admission::upstream_limits FindLimits(const config_snapshot& snapshot) const;
  /// Waits for a slot, sends the call to the upstream and releases the slot.
  wire::call_answer_t AdmitAndSend(const wire::call_request_t& call, net::steady_time deadline,
                                   net::cancellation& cancel);

  node_context& context_;
  quarantine_service& quarantine_;
  std::mutex configure_mutex_;
  /// The configuration that was last applied to the gate.
  config_snapshot_ptr configured_snapshot_;
  std::shared_ptr<admission::slot_gate<admission::controller>> gate_;
  std::atomic<std::size_t> in_flight_ = 0;
  std::atomic<bool> upstream_unreachable_ = true;
};

/// Returns an answer with the outcome "not run".
wire::call_answer_t MakeNotRunAnswer(unsigned status, std::string_view reason);
/// Returns `refusal` with the outcome "unknown" and status 502. Applies to requests with an
/// idempotency key: without the claim log, a node cannot determine whether an earlier copy of the
/// request has run.
wire::call_answer_t ToUnknownOutcome(wire::call_answer_t refusal);
/// Returns an answer with the outcome "unknown": the request may have run.
wire::call_answer_t MakeUnknownAnswer(unsigned status, std::string_view reason);

}  // namespace siskinrack::node

#endif  // SISKINRACK_LIB_NODE_SERVING_SERVICE_H_
