#ifndef SISKINRACK_CONFIG_MODEL_H_
#define SISKINRACK_CONFIG_MODEL_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace siskinrack::config {

/// Life-cycle state of a service. A retiring service is still in the configuration of every node,
/// but no route refers to it. Retiring is the first phase of a removal.
enum class service_state { kActive, kRetiring };

/// Represents a service that upstreams can belong to.
struct service {
  std::string name;
  service_state state = service_state::kActive;
  /// Maximum number of calls that one upstream runs at the same time.
  std::uint32_t slots = 1;
  /// Time over which the usable slots of a starting upstream increase from one to all of them.
  std::uint32_t ramp_ms = 0;

  bool operator==(const service&) const = default;
};

/// Represents the routing of requests with a path prefix to a service.
struct route {
  std::string name;
  /// Starts with "/". If several prefixes match a path, the longest takes precedence.
  std::string prefix;
  std::string service;
  /// Rank of requests that don't specify one.
  std::string rank;
  /// If true, requests on this route run at most once and require an idempotency key.
  bool non_repeatable = false;

  bool operator==(const route&) const = default;
};

/// Defines how requests of one rank are treated if an upstream has too few free slots.
struct rank_policy {
  std::string name;
  /// Target for the time until the response, including queueing. A request that is expected to
  /// exceed it is refused. Also the deadline of requests that don't specify one.
  std::uint32_t target_ms = 1000;
  /// Relative value of an answered request. Ranks with a higher value take precedence.
  std::uint32_t worth = 1;
  /// Percentage of an upstream's slots that is guaranteed to this rank while it has waiting
  /// requests.
  std::uint32_t floor_percent = 0;

  bool operator==(const rank_policy&) const = default;
};

/// Holds the resources of one configuration. Each list is sorted by name.
struct mesh_resources {
  std::vector<service> services;
  std::vector<route> routes;
  std::vector<rank_policy> ranks;

  bool operator==(const mesh_resources&) const = default;

  /// Returns the service with this name, or null if there is none. `services` must be sorted.
  [[nodiscard]] const service* FindService(std::string_view name) const;
  /// Returns the rank with this name, or null if there is none. `ranks` must be sorted.
  [[nodiscard]] const rank_policy* FindRank(std::string_view name) const;
  /// Returns the route with the longest prefix that matches `path`, or null if none matches. A
  /// prefix matches whole path segments; `path` may be followed by a query ("?...").
  [[nodiscard]] const route* MatchRoute(std::string_view path) const;
  /// Sorts each list by name.
  void SortByName();
};

/// Represents one version of the configuration that node::node uses and siskinctl writes; see
/// routing::configuration for the one that mesh::mesh_node uses. Versions start at 1; version 0 is
/// the empty configuration.
struct mesh_config {
  std::uint64_t version = 0;
  /// Id of the plan that led to this version. The version that completes the removal of retiring
  /// services keeps the id of the previous one.
  std::string plan_id;
  mesh_resources resources;

  bool operator==(const mesh_config&) const = default;
};

}  // namespace siskinrack::config

#endif  // SISKINRACK_CONFIG_MODEL_H_
