#ifndef SISKINRACK_LIB_MESH_ENDPOINT_CONSUMER_H_
#define SISKINRACK_LIB_MESH_ENDPOINT_CONSUMER_H_

#include <functional>
#include <string>

#include "mesh_context.h"

namespace siskinrack::mesh {

/// Kind under which nodes keep their upstreams in the store.
inline constexpr std::string_view kEndpointKind = "siskinrack-endpoints";

/// Keeps the endpoint table as the store has it. Records that can't be read name no endpoint.
class endpoint_consumer {
 public:
  /// `on_own` runs with the instance id and revision (0: removed) of records of this node.
  using own_record_listener =
      std::function<void(const std::string& instance_id, std::uint64_t revision)>;

  endpoint_consumer(mesh_context& context, own_record_listener on_own)
      : context_(context), on_own_(std::move(on_own)) {}

  void OnList(fleet::object_listing listing);
  void OnChange(fleet::object_change change);

 private:
  std::optional<routing::endpoint> Read(const fleet::kept_object& object) const;

  mesh_context& context_;
  own_record_listener on_own_;
};

}  // namespace siskinrack::mesh

#endif  // SISKINRACK_LIB_MESH_ENDPOINT_CONSUMER_H_
