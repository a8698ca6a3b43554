#ifndef SISKINRACK_LIB_MESH_EVIDENCE_SENDER_H_
#define SISKINRACK_LIB_MESH_EVIDENCE_SENDER_H_

#include <deque>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <vector>

#include "mesh_context.h"

namespace siskinrack::mesh {

/// Delivers crash evidence to all nodes. Evidence of this node is sent to each node until that node
/// has confirmed it, because a node may be cut off, frozen or overloaded when a crash happens. A
/// node that has started requests the evidence that others have.
class evidence_sender {
 public:
  /// `on_evidence` is called for evidence that other nodes return.
  evidence_sender(mesh_context& context,
                  std::function<void(const wire::crash_evidence_t&)> on_evidence)
      : context_(context), on_evidence_(std::move(on_evidence)) {}

  /// Sends evidence of a crash on this node, and repeats it until all nodes have confirmed it or it
  /// is outdated.
  void Send(wire::crash_evidence_t evidence);
  /// Sends a message to all other nodes that have an endpoint, without repetition.
  void SendOnce(const wire::crash_evidence_t& evidence);

  /// Requests the evidence of other nodes, then repeats what is not confirmed, until the process
  /// ends. Runs in a fiber of its own.
  void Run();
  /// Sends each report once to the nodes that have not confirmed it. Called periodically by Run.
  void RepeatUnconfirmed();

 private:
  struct report {
    wire::crash_evidence_t evidence;
    net::steady_time crashed_at;
    std::set<support::socket_address> confirmed;
  };

  /// Requests the history of some nodes; returns true once one has replied.
  bool FetchHistory();
  /// Returns the nodes to ask: two in the own failure domain and one in another one, if they exist.
  std::vector<support::socket_address> ChooseHistorySources();
  /// Updates `seen_nodes_` with the nodes that have an endpoint.
  void UpdateSeenNodes();
  /// Sends the report to each node that has not confirmed it.
  void Repeat(report& pending);

  mesh_context& context_;
  std::function<void(const wire::crash_evidence_t&)> on_evidence_;
  /// Deque, because a report that is being repeated must not move when another one is added.
  std::deque<report> reports_;
  /// Nodes and when they last had an endpoint. A node whose upstream is down has none, but it still
  /// receives requests from callers.
  std::map<support::socket_address, net::steady_time> seen_nodes_;
  std::mt19937_64 random_{std::random_device{}()};
};

}  // namespace siskinrack::mesh

#endif  // SISKINRACK_LIB_MESH_EVIDENCE_SENDER_H_
