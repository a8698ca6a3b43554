#ifndef SISKINRACK_ROUTING_CONFIGURATION_H_
#define SISKINRACK_ROUTING_CONFIGURATION_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "siskinrack/net/http.h"
#include "siskinrack/tenancy/key_table.h"

namespace siskinrack::routing {

/// Specifies whether a request may run more than once.
enum class repeatability { kRepeatable, kAtMostOnce };

/// Assigns a share of a route's traffic, in proportion to `weight`, to a service.
struct weighted_service {
  std::string service;
  std::uint32_t weight = 1;

  bool operator==(const weighted_service&) const = default;
};

/// Maps the requests for a host and path prefix to one or several services.
struct route {
  std::string name;
  std::string host;
  /// Begins and ends with a slash; the longest matching prefix is used.
  std::string prefix;
  repeatability repeats = repeatability::kAtMostOnce;
  /// An answer within this time has its full worth.
  std::chrono::milliseconds target_latency{0};
  /// Longest time that a request may wait for its answer.
  std::chrono::milliseconds timeout{0};
  /// 0 is the highest priority.
  std::uint32_t priority = 0;
  /// Maximum number of attempts that may have run one request. An attempt that has certainly not
  /// run does not count.
  std::uint32_t attempts = 1;
  /// Callers need no API key. Matters only if the configuration has tenants.
  bool open = false;
  std::vector<weighted_service> targets;

  bool operator==(const route&) const = default;
};

/// Describes a service, a group of upstreams.
struct service {
  std::string name;
  /// Path of the health endpoint of the upstreams.
  std::string health_path;
  /// Maximum number of connections that one upstream accepts from all callers together.
  std::uint32_t max_connections = 0;

  bool operator==(const service&) const = default;
};

/// Represents one complete version of the operator's configuration on the users' platform, which
/// mesh::mesh_node uses. node::node uses config::mesh_config instead.
struct configuration {
  std::uint64_t version = 0;
  net::http_limits limits;
  std::vector<route> routes;
  std::vector<service> services;
  /// If it is empty, no request needs an API key, and keys are passed on like any other field.
  std::vector<tenancy::tenant> tenants;

  bool operator==(const configuration&) const = default;
};

}  // namespace siskinrack::routing

#endif  // SISKINRACK_ROUTING_CONFIGURATION_H_
