#ifndef SISKINRACK_MESH_MESH_NODE_H_
#define SISKINRACK_MESH_MESH_NODE_H_

#include <memory>
#include <optional>
#include <string>

#include "siskinrack/support/findings.h"

namespace siskinrack::mesh {

/// Returns the path of the settings file, or std::nullopt if this process was not started by the
/// users' platform.
std::optional<std::string> FindPlatformSettingsPath();

/// Represents the node process on the users' platform, configured by a settings file. It accepts
/// requests from the callers on its VM and forwards each as a call to a node whose upstream can run
/// it, serves the calls of other nodes with the upstream on its VM, and follows the platform's
/// store for the routing::configuration and endpoints of the mesh. node::node is the node process
/// that flags and environment variables configure.
class mesh_node {
 public:
  /// Reads the settings and adds every problem to `problems`. If there are any, no other member
  /// function may be called.
  mesh_node(std::string settings_path, support::findings& problems);
  ~mesh_node();
  mesh_node(const mesh_node&) = delete;
  mesh_node& operator=(const mesh_node&) = delete;

  /// Opens the ports and starts the background fibers. Adds each port that can't be opened to
  /// `problems`; no fiber is started then.
  void Start(support::findings& problems);

  /// Reads the settings file again and logs whether it differs from the settings in use. Changed
  /// settings take effect at the next start.
  void Reload();

  /// Shuts down gracefully: reports not ready, refuses calls of other nodes after a short time and
  /// new requests once callers have switched to other nodes. Blocks until no request is open or the
  /// grace period is nearly over.
  void Drain();

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace siskinrack::mesh

#endif  // SISKINRACK_MESH_MESH_NODE_H_
