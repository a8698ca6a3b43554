#ifndef SISKINRACK_LIB_MESH_CRASH_GUARD_H_
#define SISKINRACK_LIB_MESH_CRASH_GUARD_H_

#include <optional>

#include "mesh_context.h"
#include "siskinrack/quarantine/crash_detector.h"
#include "siskinrack/quarantine/quarantine_table.h"

namespace siskinrack::mesh {

/// Holds back requests that crash each upstream that runs them. The node beside an upstream notices
/// its crash and tells all nodes which requests were running.
class crash_guard {
 public:
  explicit crash_guard(mesh_context& context) : context_(context) {}

  /// The refusal of a request that is held back; nothing if it may run.
  [[nodiscard]] std::optional<wire::call_answer_t> Refusal(const wire::call_request_t& call);

  /// Frame one request to the upstream of this machine.
  quarantine::crash_detector::token BeginRun() { return detector_.Begin(); }
  void EndRun(quarantine::crash_detector::token run, const wire::call_request_t& call,
              const net::http_result& result, bool cancelled);

  /// Takes over what this node or another one found out.
  void OnEvidence(const wire::crash_evidence_t& evidence);

 private:
  /// Finds out whether broken connections were a crash, and tells the other nodes if so.
  void CheckUpstream();
  void SendToAll(const wire::crash_evidence_t& evidence);

  mesh_context& context_;
  quarantine::crash_detector detector_;
  quarantine::quarantine_table table_;
  std::uint64_t last_crash_id_ = 0;
};

}  // namespace siskinrack::mesh

#endif  // SISKINRACK_LIB_MESH_CRASH_GUARD_H_
