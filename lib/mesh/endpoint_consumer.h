#ifndef SISKINRACK_LIB_MESH_ENDPOINT_CONSUMER_H_
#define SISKINRACK_LIB_MESH_ENDPOINT_CONSUMER_H_

#include <functional>
#include <map>
#include <set>
#include <string>

#include "mesh_context.h"

namespace siskinrack::mesh {

/// Object kind of the endpoint records in the store.
inline constexpr std::string_view kEndpointKind = "siskinrack-endpoints";

/// Updates the endpoint table from the endpoint records in the store. Records that can't be parsed
/// are logged and skipped.
class endpoint_consumer {
 public:
  /// Called with the instance id and revision of each record of this node, and with revision 0 for
  /// each removed record, whichever node it belongs to.
  using own_record_listener =
      std::function<void(const std::string& instance_id, std::uint64_t revision)>;

  /// Called with each record of a departure, of this or another node, and its revision.
  using departure_listener =
      std::function<void(const routing::endpoint& departed, std::uint64_t revision)>;
  /// Called with the instance id of each record that is not or no longer one of a departure.
  using no_departure_listener = std::function<void(const std::string& instance_id)>;

  endpoint_consumer(mesh_context& context, own_record_listener on_own,
                    departure_listener on_departure, no_departure_listener on_no_departure)
      : context_(context),
        on_own_(std::move(on_own)),
        on_departure_(std::move(on_departure)),
        on_no_departure_(std::move(on_no_departure)) {}

  /// Replaces all endpoints by those in a complete list of the records.
  void OnList(platform_adapter::object_listing listing);
  /// Applies a changed or removed record.
  void OnChange(platform_adapter::object_change change);
  /// Records that the endpoints were the newest at `requested_at`, as the list of the nodes that
  /// may own usage caps.
  void OnProved(support::boot_clock::time_point requested_at);

 private:
  std::optional<routing::endpoint> ParseEndpoint(
      const platform_adapter::versioned_object& object) const;
  /// Returns the version of the list of `names` that the records make up.
  [[nodiscard]] std::uint64_t ComputeVersion(const std::set<std::string>& names) const;

  mesh_context& context_;
  /// Revisions of all records, also of those that can't be parsed, by name.
  std::map<std::string, std::uint64_t> revisions_;
  own_record_listener on_own_;
  departure_listener on_departure_;
  no_departure_listener on_no_departure_;
};

}  // namespace siskinrack::mesh

#endif  // SISKINRACK_LIB_MESH_ENDPOINT_CONSUMER_H_
