#ifndef SISKINRACK_ROUTING_ENDPOINT_TABLE_H_
#define SISKINRACK_ROUTING_ENDPOINT_TABLE_H_

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "siskinrack/routing/instance.h"

namespace siskinrack::routing {

using endpoint_list = std::shared_ptr<const std::vector<endpoint>>;

/// Caches the endpoints stored on the platform and finds them by service. Not thread-safe.
class endpoint_table {
 public:
  /// Replaces all endpoints by `all`.
  void Replace(std::vector<endpoint> all);
  /// Inserts an endpoint, or replaces the one with the same instance id.
  void Upsert(endpoint entry);
  /// Removes the endpoint with this instance id; ignores an unknown id.
  void Remove(std::string_view instance_id);

  /// Returns the endpoints of a service that accept calls. If several lifetimes are registered with
  /// one node address, only the latest is considered, because the records of crashed upstreams
  /// remain on the platform for some time.
  [[nodiscard]] endpoint_list ReadyEndpoints(std::string_view service) const;
  [[nodiscard]] std::vector<endpoint> All() const;
  /// Returns the distinct addresses of the nodes that serve the endpoints.
  [[nodiscard]] std::vector<support::socket_address> Nodes() const;
  /// Returns the number of these nodes; cheap enough for the path of a request.
  [[nodiscard]] std::size_t CountNodes() const;
  /// Returns a counter that increases with every change.
  [[nodiscard]] std::uint64_t generation() const { return generation_; }

 private:
  /// Clears the cached lists and increments the generation.
  void MarkChanged();

  std::map<std::string, endpoint, std::less<>> endpoints_by_id_;
  mutable std::map<std::string, endpoint_list, std::less<>> ready_by_service_;
  /// Number of nodes; empty until it is needed after a change.
  mutable std::optional<std::size_t> node_count_;
  std::uint64_t generation_ = 0;
};

}  // namespace siskinrack::routing

#endif  // SISKINRACK_ROUTING_ENDPOINT_TABLE_H_
