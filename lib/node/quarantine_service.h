#ifndef SISKINRACK_LIB_NODE_QUARANTINE_SERVICE_H_
#define SISKINRACK_LIB_NODE_QUARANTINE_SERVICE_H_

#include <atomic>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "fiber_group.h"
#include "node_context.h"
#include "siskinrack/quarantine/crash_detector.h"
#include "siskinrack/quarantine/quarantine_table.h"

namespace siskinrack::node {

/// Detects crashes of the upstream of this VM, sends the evidence to all nodes, and refuses
/// requests that have caused crashes according to the evidence of this node and its peers.
class quarantine_service {
 public:
  explicit quarantine_service(node_context& context) : context_(context) {}

  /// Stops the fibers of this service and waits for them. Must not be called from a fiber.
  void Stop() { fibers_.Stop(); }

  /// Returns the refusal of a quarantined request, or std::nullopt if the request may run.
  std::optional<wire::call_answer_t> RefuseIfQuarantined(const wire::call_request_t& call);

  /// Records that a request is sent to the upstream. The returned token must be passed to EndRun
  /// once; `call` must be valid until then.
  quarantine::crash_detector::token BeginRun(const wire::call_request_t& call);
  /// Records the result of the request; starts a check of the upstream if its connection was lost.
  void EndRun(quarantine::crash_detector::token run, const wire::call_request_t& call,
              const net::http_result& result, bool cancelled);

  /// Applies crash evidence and quarantine releases from peers. Returns false for any other
  /// message.
  bool Handle(const wire::envelope_t& message);

  /// Handles GET /quarantine and POST /quarantine/release/<fingerprint>. Returns std::nullopt for
  /// other requests.
  std::optional<net::http_response> HandleAdminRequest(const net::http_request& request);

 private:
  /// Probes the upstream after a lost connection and distributes evidence if it has crashed.
  void CheckUpstream();
  /// Queries the health endpoint of the upstream; any response shows that it runs.
  quarantine::upstream_health QueryHealth();
  /// Applies evidence of this node or a peer and forwards it to peers, unless it was seen before.
  /// Evidence with `crash_id` 0 is new evidence of this node and gets an id.
  void AddEvidence(const wire::crash_evidence_t& evidence);
  /// Reports to the other nodes that the suspected requests `cleared` completed on this node. Waits
  /// for a random delay and leaves out those that another node has reported in the meantime.
  void SpreadCleared(std::vector<std::uint64_t> cleared);
  /// Releases a quarantined fingerprint and sends the release to peers. Does nothing if it is not
  /// quarantined.
  void Release(std::uint64_t fingerprint, std::string_view released_by);
  void LogQuarantined(const std::vector<std::uint64_t>& fingerprints);
  /// Sends evidence to random peers in several rounds, so that it reaches every node with high
  /// probability. `at` is the time of the crash, from which the age of the evidence is computed.
  void SpreadEvidence(wire::crash_evidence_t evidence, quarantine::steady_time at);
  template <typename Message>
  void SendToRandomPeers(const Message& message);
  /// Adds a crash to the evidence seen. Returns false if it had been added before.
  bool RecordIfNew(const std::string& node_id, std::uint64_t crash_id);

  node_context& context_;
  fiber_group fibers_;
  std::mutex mutex_;
  quarantine::crash_detector detector_;
  quarantine::quarantine_table table_;
  std::atomic<bool> has_suspects_ = false;
  std::uint64_t last_crash_id_ = 0;
  /// Node and crash id of the evidence seen, and the same in order of arrival.
  std::set<std::pair<std::string, std::uint64_t>> seen_evidence_;
  std::deque<std::pair<std::string, std::uint64_t>> seen_order_;
  /// Fingerprints that were reported as cleared within the evidence window, with the time of
  /// arrival.
  std::map<std::uint64_t, quarantine::steady_time> cleared_at_;
};

}  // namespace siskinrack::node

#endif  // SISKINRACK_LIB_NODE_QUARANTINE_SERVICE_H_
