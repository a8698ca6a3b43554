#ifndef SISKINRACK_LIB_MESH_CRASH_GUARD_H_
#define SISKINRACK_LIB_MESH_CRASH_GUARD_H_

#include <optional>

#include "evidence_sender.h"
#include "mesh_context.h"
#include "siskinrack/quarantine/crash_detector.h"
#include "siskinrack/quarantine/quarantine_table.h"

namespace siskinrack::mesh {

/// Quarantines requests that repeatedly crash upstreams. The node on the VM of an upstream detects
/// its crash and sends all nodes the fingerprints of the requests that were running.
class crash_guard {
 public:
  explicit crash_guard(mesh_context& context)
      : context_(context), sender_(context, [this](const wire::crash_evidence_t& evidence) {
          AddEvidence(evidence);
        }) {}

  /// Exchanges evidence with other nodes until the process ends, in a fiber of its own.
  void Run() { sender_.Run(); }

  /// Returns the refusal of a quarantined request, or std::nullopt if the request may run.
  [[nodiscard]] std::optional<wire::call_answer_t> FindRefusal(const wire::call_request_t& call);

  /// Records that the local upstream starts to run a request. The returned token must be passed to
  /// EndRun once; `call` must be valid until then.
  quarantine::crash_detector::token BeginRun(const wire::call_request_t& call);
  /// Records the result of the run and checks for a crash if its connection broke.
  void EndRun(quarantine::crash_detector::token run, const wire::call_request_t& call,
              const net::http_result& result, bool cancelled);

  /// Applies crash evidence of another node. Returns the confirmation for a sender that requests
  /// one; otherwise reports suspects that have completed on this node to all other nodes.
  wire::crash_evidence_t OnEvidence(const wire::crash_evidence_t& evidence,
                                    bool confirmation_requested);
  /// Returns all evidence that this node has.
  [[nodiscard]] wire::crash_history_t MakeHistory() const;

 private:
  /// Checks whether broken connections were a crash of the upstream, and reports it.
  void CheckUpstream();
  /// Applies evidence of a crash of the local upstream and sends it to the other nodes.
  void ReportCrash(std::vector<std::uint64_t> suspects);
  /// Applies evidence and returns the suspects that have completed on this node.
  std::vector<std::uint64_t> AddEvidence(const wire::crash_evidence_t& evidence);
  void LogQuarantined(const std::vector<std::uint64_t>& fingerprints);
  /// Returns a message that reports suspects as completed.
  [[nodiscard]] wire::crash_evidence_t MakeClearance(std::vector<std::uint64_t> cleared) const;

  mesh_context& context_;
  quarantine::crash_detector detector_;
  quarantine::quarantine_table table_;
  std::uint64_t last_crash_id_ = 0;
  evidence_sender sender_;
};

}  // namespace siskinrack::mesh

#endif  // SISKINRACK_LIB_MESH_CRASH_GUARD_H_
