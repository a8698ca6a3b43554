#ifndef SISKINRACK_LIB_MESH_CAP_SUSPENSION_H_
#define SISKINRACK_LIB_MESH_CAP_SUSPENSION_H_

#include <functional>
#include <map>
#include <string>

#include "mesh_context.h"

namespace siskinrack::mesh {

/// Suspends nodes that don't reply from the ownership of usage caps, in the store: their endpoint
/// records name the node that could not reach them, which removes them from the proved list of the
/// nodes that may own caps. A node that is cut off from the others, but not from the store, learns
/// so that it may not grant any more. Ends the suspension of this node when it reaches the one that
/// suspended it.
class cap_suspension {
 public:
  /// `rewrite_own` writes the endpoint record of this node anew, without a suspension; `read_nodes`
  /// reads the list of the nodes that may own caps.
  cap_suspension(mesh_context& context, std::function<void()> rewrite_own,
                 std::function<void()> read_nodes)
      : context_(context),
        rewrite_own_(std::move(rewrite_own)),
        read_nodes_(std::move(read_nodes)) {}

  /// Suspends a node, in a fiber of its own, unless another node reaches it or this one reaches
  /// none.
  void Suspend(const std::string& node);

  /// Ends suspensions of this node until the process ends, in a fiber of its own.
  void Run();

 private:
  void CheckAndSuspend(const std::string& node);
  /// Returns true if the node doesn't reply to other nodes either, of which at least one replies.
  bool IsSilentForOthers(const std::string& node);
  /// Writes the suspension to the record of the node. Returns false if there is nothing to suspend,
  /// or the write failed.
  bool Write(const routing::endpoint& suspect);
  /// Returns true if the node that suspended this one replies, or isn't there any more.
  bool IsLifted(const std::string& suspended_by);

  mesh_context& context_;
  std::function<void()> rewrite_own_;
  std::function<void()> read_nodes_;
  /// Times until which nodes are not checked again.
  std::map<std::string, net::steady_time> next_checks_;
};

}  // namespace siskinrack::mesh

#endif  // SISKINRACK_LIB_MESH_CAP_SUSPENSION_H_
