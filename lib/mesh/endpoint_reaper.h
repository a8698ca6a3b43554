#ifndef SISKINRACK_LIB_MESH_ENDPOINT_REAPER_H_
#define SISKINRACK_LIB_MESH_ENDPOINT_REAPER_H_

#include <map>
#include <random>
#include <string>

#include "mesh_context.h"

namespace siskinrack::mesh {

/// Removes the records of upstreams whose node is gone for good: one that was lost, or that ended
/// while the store was away, leaves its record behind, and nothing in the store expires by itself.
/// A node that is alive after all sees the removal and writes its record again.
class endpoint_reaper {
 public:
  explicit endpoint_reaper(mesh_context& context) : context_(context) {}

  /// A call could not be sent to the endpoint's node.
  void OnUnreachable(const routing::endpoint& item);
  /// The endpoint's node gave an answer.
  void OnReached(const routing::endpoint& item) { unreachable_.erase(item.life.instance_id); }

  /// Runs for the life of the process, in a fiber of its own.
  void Run();

 private:
  struct suspicion {
    routing::lifetime life;
    net::steady_time since;
    net::steady_time last_failure;
    /// Differs from node to node, so that one of them removes the record and the others see it.
    std::chrono::milliseconds removal_delay{0};
  };

  /// Asks the next node in the order of addresses for a sign of life, so that every node is watched
  /// by one other although no call goes to it.
  void ProbeSuccessor();
  /// Drops suspicions that are out of date; returns one that is due for removal.
  std::optional<routing::lifetime> TakeDue();
  void Remove(const routing::lifetime& life);

  mesh_context& context_;
  std::map<std::string, suspicion> unreachable_;
  std::mt19937_64 random_{std::random_device{}()};
};

}  // namespace siskinrack::mesh

#endif  // SISKINRACK_LIB_MESH_ENDPOINT_REAPER_H_
