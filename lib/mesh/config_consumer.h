#ifndef SISKINRACK_LIB_MESH_CONFIG_CONSUMER_H_
#define SISKINRACK_LIB_MESH_CONFIG_CONSUMER_H_

#include <functional>

#include "mesh_context.h"

namespace siskinrack::mesh {

/// Puts the operator's configuration into force as a whole, and never an older version than the one
/// in force.
class config_consumer {
 public:
  /// `on_active` runs after a version took effect.
  config_consumer(mesh_context& context, std::function<void()> on_active)
      : context_(context), on_active_(std::move(on_active)) {}

  void OnList(fleet::object_listing listing);
  void OnChange(fleet::object_change change);

 private:
  void Offer(const fleet::kept_object& object);

  mesh_context& context_;
  std::function<void()> on_active_;
};

}  // namespace siskinrack::mesh

#endif  // SISKINRACK_LIB_MESH_CONFIG_CONSUMER_H_
