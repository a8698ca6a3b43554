#ifndef SISKINRACK_MESH_MESH_NODE_H_
#define SISKINRACK_MESH_MESH_NODE_H_

#include <memory>
#include <optional>
#include <string>

#include "siskinrack/support/findings.h"

namespace siskinrack::mesh {

/// Path of the settings file if this process was started by the users' platform.
std::optional<std::string> PlatformSettingsPath();

/// The node process on the users' platform: takes the requests of the callers on its machine,
/// serves calls with the upstream on its machine, and keeps its view of the mesh from the
/// platform's store.
class mesh_node {
 public:
  /// Reads the settings; adds every problem to `problems`. With problems the node can't be started.
  mesh_node(std::string settings_path, support::findings& problems);
  ~mesh_node();
  mesh_node(const mesh_node&) = delete;
  mesh_node& operator=(const mesh_node&) = delete;

  /// Opens the ports and starts all loops.
  void Start(support::findings& problems);

  /// Reads the settings file again and logs what changed. Settings of open ports keep their value
  /// until the next start.
  void Reload();

  /// Graceful shutdown: declares itself not ready, serves until callers have gone elsewhere, then
  /// ends once no request is open. Blocks.
  void Drain();

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace siskinrack::mesh

#endif  // SISKINRACK_MESH_MESH_NODE_H_
