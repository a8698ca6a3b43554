#ifndef SISKINRACK_LIB_MESH_CRASH_GUARD_H_
#define SISKINRACK_LIB_MESH_CRASH_GUARD_H_

#include <optional>

#include "mesh_context.h"
#include "siskinrack/quarantine/crash_detector.h"
#include "siskinrack/quarantine/quarantine_table.h"

namespace siskinrack::mesh {

/// Quarantines requests that repeatedly crash upstreams. The node on the VM of an upstream detects
/// its crash and sends all nodes the fingerprints of the requests that were running.
class crash_guard {
 public:
  explicit crash_guard(mesh_context& context) : context_(context) {}

  /// Returns the refusal of a quarantined request, or std::nullopt if the request may run.
  [[nodiscard]] std::optional<wire::call_answer_t> FindRefusal(const wire::call_request_t& call);

  /// Records that the local upstream starts to run a request. The returned token must be passed to
  /// EndRun once; `call` must be valid until then.
  quarantine::crash_detector::token BeginRun(const wire::call_request_t& call);
  /// Records the result of the run and checks for a crash if its connection broke.
  void EndRun(quarantine::crash_detector::token run, const wire::call_request_t& call,
              const net::http_result& result, bool cancelled);

  /// Applies crash evidence from this node or another one. Reports suspects that have completed on
  /// this node to the other nodes.
  void OnEvidence(const wire::crash_evidence_t& evidence);

 private:
  /// Checks whether broken connections were a crash of the upstream, and reports it.
  void CheckUpstream();
  /// Applies evidence of a crash of the local upstream and sends it to the other nodes.
  void ReportCrash(std::vector<std::uint64_t> suspects);
  /// Sends evidence to all other nodes that have an endpoint.
  void Broadcast(const wire::crash_evidence_t& evidence);

  mesh_context& context_;
  quarantine::crash_detector detector_;
  quarantine::quarantine_table table_;
  std::uint64_t last_crash_id_ = 0;
};

}  // namespace siskinrack::mesh

#endif  // SISKINRACK_LIB_MESH_CRASH_GUARD_H_
