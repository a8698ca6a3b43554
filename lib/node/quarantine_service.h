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

/// Detects crashes of this VM's upstream, spreads the evidence and holds back the requests that the
/// evidence of all nodes condemns.
class quarantine_service {
 public:
  explicit quarantine_service(node_context& context) : context_(context) {}

  /// Ends the fibers of this service. Not for use inside a fiber.
  void Stop() { fibers_.Stop(); }

  /// The refusal of a request that is held back; nothing if it may run.
  std::optional<wire::call_answer_t> Refusal(const wire::call_request_t& call);

  /// Frames one request to the upstream.
  quarantine::crash_detector::token BeginRun();
  void EndRun(quarantine::crash_detector::token run, const wire::call_request_t& call,
              const net::http_result& result, bool cancelled);

  /// Takes over evidence and releases of peers; true if the message was one.
  bool Handle(const wire::envelope_t& message);

  /// GET /quarantine and POST /quarantine/release/<fingerprint>; nothing for other pages.
  std::optional<net::http_response> HandleAdmin(const net::http_request& request);

 private:
  void CheckUpstream();
  bool HealthAnswers();
  /// Applies evidence of this node or a peer and passes it on if it's new.
  void AddEvidence(const wire::crash_evidence_t& evidence);
  /// Tells the other nodes that suspects completed here, unless another node does.
  void ReportCleared(std::vector<std::uint64_t> cleared);
  void Release(std::uint64_t fingerprint, std::string_view by);
  void LogHeld(const std::vector<std::uint64_t>& held);
  /// Sends to a few random peers, more than once, so that every node is reached with high
  /// probability. `age` counts from `at`.
  void Spread(wire::crash_evidence_t evidence, quarantine::steady_time at);
  template <typename Message>
  void SendToPeers(const Message& message);
  bool IsNew(const std::string& node_id, std::uint64_t crash_id);

  node_context& context_;
  fiber_group fibers_;
  std::mutex mutex_;
  quarantine::crash_detector detector_;
  quarantine::quarantine_table table_;
  std::atomic<bool> has_suspects_ = false;
  std::uint64_t last_crash_id_ = 0;
  /// Evidence seen, with the order of arrival.
  std::set<std::pair<std::string, std::uint64_t>> seen_;
  std::deque<std::pair<std::string, std::uint64_t>> seen_order_;
  /// Clearances that were spread within the window.
  std::map<std::uint64_t, quarantine::steady_time> cleared_at_;
};

}  // namespace siskinrack::node

#endif  // SISKINRACK_LIB_NODE_QUARANTINE_SERVICE_H_
