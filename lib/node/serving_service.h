#ifndef SISKINRACK_LIB_NODE_SERVING_SERVICE_H_
#define SISKINRACK_LIB_NODE_SERVING_SERVICE_H_

#include <atomic>
#include <mutex>

#include "node_context.h"
#include "quarantine_service.h"
#include "siskinrack/admission/slot_gate.h"

namespace siskinrack::node {

/// Serves calls with this VM's upstream.
class serving_service {
 public:
  serving_service(node_context& context, quarantine_service& quarantine);

  /// Runs one call; every outcome is typed. Runs in a fiber and may suspend.
  wire::call_answer_t Serve(const wire::call_request_t& call, net::cancellation& cancel);

  /// Asks the upstream's health endpoint once. An upstream that answers after it was away starts
  /// its ramp.
  bool ProbeUpstream();

  /// Calls that run or wait for a slot.
  [[nodiscard]] std::size_t in_flight() const { return in_flight_; }

 private:
  wire::call_answer_t SendToUpstream(const wire::call_request_t& call, net::steady_time deadline,
                                     net::cancellation& cancel);
  /// Brings a new configuration to the gate.
  void Reconfigure();
  [[nodiscard]] admission::upstream_limits Limits(const config_snapshot& snapshot) const;
  wire::call_answer_t Admit(const wire::call_request_t& call, net::steady_time deadline,
                            net::cancellation& cancel);

  node_context& context_;
  quarantine_service& quarantine_;
  std::mutex configure_mutex_;
  /// The configuration that the gate was last set up with.
  config_snapshot_ptr configured_;
  std::shared_ptr<admission::slot_gate<admission::controller>> gate_;
  std::atomic<std::size_t> in_flight_ = 0;
  std::atomic<bool> upstream_away_ = true;
};

/// An answer that says that the request did not run.
wire::call_answer_t NotRun(unsigned status, std::string_view reason);
/// Turns a refusal of a request with an idempotency key into "unknown": without the claim log
/// nothing is known of earlier copies of the key, and one of them may have run.
wire::call_answer_t WithUnknownHistory(wire::call_answer_t refusal);
/// An answer that says that the request may have run.
wire::call_answer_t Unknown(unsigned status, std::string_view reason);

}  // namespace siskinrack::node

#endif  // SISKINRACK_LIB_NODE_SERVING_SERVICE_H_
