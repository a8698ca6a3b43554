#ifndef SISKINRACK_LIB_MESH_CONFIG_CONSUMER_H_
#define SISKINRACK_LIB_MESH_CONFIG_CONSUMER_H_

#include <functional>

#include "mesh_context.h"

namespace siskinrack::mesh {

/// Activates versions of the operator's configuration, each as a whole and only if it is newer than
/// the active version.
class config_consumer {
 public:
  /// `on_active` is called after a version has taken effect.
  config_consumer(mesh_context& context, std::function<void()> on_active)
      : context_(context), on_active_(std::move(on_active)) {}

  /// Applies the configuration in a complete list of the objects.
  void OnList(platform_adapter::object_listing listing);
  /// Applies a changed configuration. A deletion is only logged; the active version stays.
  void OnChange(platform_adapter::object_change change);
  /// Records that the applied objects were the current ones at `requested_at`. After an object that
  /// was not valid, the active version isn't the current one.
  void OnProved(support::boot_clock::time_point requested_at);

 private:
  /// Activates the configuration in `object` if it is valid and newer than the active one.
  void ApplyIfNewer(const platform_adapter::versioned_object& object);

  mesh_context& context_;
  std::function<void()> on_active_;
  /// True if the newest object was not valid.
  bool rejected_ = false;
};

}  // namespace siskinrack::mesh

#endif  // SISKINRACK_LIB_MESH_CONFIG_CONSUMER_H_
