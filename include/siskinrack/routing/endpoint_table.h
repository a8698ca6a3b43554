#ifndef SISKINRACK_ROUTING_ENDPOINT_TABLE_H_
#define SISKINRACK_ROUTING_ENDPOINT_TABLE_H_

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "siskinrack/routing/instance.h"

namespace siskinrack::routing {

using endpoint_list = std::shared_ptr<const std::vector<endpoint>>;

/// The endpoints that the platform's store holds, by service. Not thread-safe.
class endpoint_table {
 public:
  /// Takes over a whole list; endpoints that are not in it are gone.
  void Replace(std::vector<endpoint> all);
  void Upsert(endpoint item);
  void Remove(std::string_view instance_id);

  /// The endpoints of a service that take work. An address belongs to the latest lifetime that
  /// registered it: entries of upstreams that crashed stay in the store for a while.
  [[nodiscard]] endpoint_list ReadyEndpoints(std::string_view service) const;
  [[nodiscard]] std::vector<endpoint> All() const;
  /// Addresses of the nodes beside all endpoints, without duplicates.
  [[nodiscard]] std::vector<support::socket_address> Nodes() const;
  /// Grows with each change.
  [[nodiscard]] std::uint64_t generation() const { return generation_; }

 private:
  void Changed();

  std::map<std::string, endpoint, std::less<>> items_;
  mutable std::map<std::string, endpoint_list, std::less<>> by_service_;
  std::uint64_t generation_ = 0;
};

}  // namespace siskinrack::routing

#endif  // SISKINRACK_ROUTING_ENDPOINT_TABLE_H_
