#ifndef SISKINRACK_LIB_MESH_ENDPOINT_REAPER_H_
#define SISKINRACK_LIB_MESH_ENDPOINT_REAPER_H_

#include <map>
#include <random>
#include <string>

#include "mesh_context.h"

namespace siskinrack::mesh {

/// Removes the endpoint records of nodes that are permanently gone. A node that was lost, or that
/// exited while the store was unavailable, leaves its record behind, and records in the store never
/// expire. A node that is still running receives the removal from its watch and writes its
/// record again.
class endpoint_reaper {
 public:
  explicit endpoint_reaper(mesh_context& context) : context_(context) {}

  /// Records a failed attempt to reach the endpoint's node.
  void OnUnreachable(const routing::endpoint& endpoint);
  /// Records that the endpoint's node answered.
  void OnReached(const routing::endpoint& endpoint) {
    suspicions_.erase(endpoint.life.instance_id);
  }

  /// Schedules the removal of a record of a departure. The node that wrote it removes it; the
  /// others do so later, if that node is gone.
  void OnDeparture(const routing::endpoint& departed, std::uint64_t revision);
  /// Forgets a record of a departure that was replaced or removed.
  void OnNoDeparture(const std::string& instance_id) { departures_.erase(instance_id); }

  /// Runs until the process ends, in a fiber of its own.
  void Run();

 private:
  struct suspicion {
    routing::lifetime life;
    net::steady_time since;
    net::steady_time last_failure;
    /// Randomized, so that one node removes the record and the others receive the removal before
    /// their own delay ends.
    std::chrono::milliseconds removal_delay{0};
  };

  /// Probes the next node in address order, so that every node is checked by another one even if no
  /// call goes to it.
  void ProbeSuccessor();
  /// Drops outdated suspicions and returns a lifetime whose record is due for removal, if any.
  std::optional<routing::lifetime> TakeDueRemoval();
  /// Removes the record of `life` unless another lifetime has replaced it.
  void RemoveRecord(const routing::lifetime& life);
  /// Removes the records of departures that are due.
  void RemoveDepartures();

  struct departure {
    std::uint64_t revision = 0;
    net::steady_time due;
  };

  mesh_context& context_;
  /// Records of departures in the store, by instance id.
  std::map<std::string, departure> departures_;
  std::map<std::string, suspicion> suspicions_;
  std::mt19937_64 random_{std::random_device{}()};
};

}  // namespace siskinrack::mesh

#endif  // SISKINRACK_LIB_MESH_ENDPOINT_REAPER_H_
