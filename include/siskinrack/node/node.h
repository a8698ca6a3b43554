#ifndef SISKINRACK_NODE_NODE_H_
#define SISKINRACK_NODE_NODE_H_

#include <memory>

#include "siskinrack/node/node_settings.h"
#include "siskinrack/support/findings.h"

namespace siskinrack::node {

/// Represents the node process as configured by flags and environment variables. It routes the
/// requests of callers and forwards each as a call to a node whose upstream can run it, serves the
/// calls of other nodes with the upstream of its VM, and distributes config::mesh_config versions.
/// mesh::mesh_node is the node process on the users' platform.
class node {
 public:
  explicit node(node_settings settings);
  ~node();
  node(const node&) = delete;
  node& operator=(const node&) = delete;

  /// Opens the ports and starts all services. Adds each port that can't be opened to `problems`; no
  /// service is started then.
  void Start(support::findings& problems);

  /// Shuts the node down gracefully: announces the drain, serves for the drain period, then refuses
  /// new requests with the outcome "not run", waits up to 30 s for those in progress to end and
  /// announces that the node has left. Blocks.
  void Drain();

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace siskinrack::node

#endif  // SISKINRACK_NODE_NODE_H_
