#ifndef SISKINRACK_NODE_NODE_SETTINGS_H_
#define SISKINRACK_NODE_NODE_SETTINGS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "siskinrack/support/event_log.h"
#include "siskinrack/support/settings.h"
#include "siskinrack/support/socket_address.h"

namespace siskinrack::node {

/// Holds the validated settings of the node process.
struct node_settings {
  std::string node_id;
  std::string failure_domain;
  std::string region;
  support::socket_address caller_address;
  support::socket_address peer_address;
  /// Address to which peers connect; if missing, the address on which the node listens for peers.
  std::optional<support::socket_address> advertise_address;
  support::socket_address admin_address;
  support::socket_address platform_address;
  /// Address of the upstream of this VM; missing for a node that only accepts requests of callers.
  std::optional<support::socket_address> upstream_address;
  std::string service;
  /// Maximum number of calls that the upstream runs at the same time. Used unless the configuration
  /// contains the service.
  std::uint16_t slots = 0;
  /// Peer addresses of the nodes through which this node joins.
  std::vector<support::socket_address> seeds;
  /// Number of runtime threads.
  std::size_t threads = 2;
  /// Time from the announcement of a drain until new requests are refused.
  std::chrono::milliseconds drain_period{3'000};
  /// Offset added to the clock, for tests.
  std::chrono::milliseconds clock_skew{0};
  /// Memory of the process in bytes. Requests that would exceed it are refused.
  std::size_t memory_bytes = std::size_t{1'024} * 1'000'000;
  /// Limit of the connections of callers.
  std::size_t max_connections = 4'096;
  /// Source IP address of links to peers; if empty, the kernel selects it.
  std::string source_ip;
  support::log_level log_level = support::log_level::kInfo;
};

/// Returns the declarations of the settings of the node program.
std::span<const support::setting> GetNodeSettingDeclarations();

/// Returns the names of the environment variables that may be set when a node starts: those of its
/// own settings, and those of siskinctl, which have no effect on it.
std::vector<std::string> ListKnownEnvironmentNames();

/// Converts setting values to node settings. Adds every problem, including conflicts between
/// settings, to `problems`.
node_settings MakeNodeSettings(const support::settings& values, support::findings& problems);

}  // namespace siskinrack::node

#endif  // SISKINRACK_NODE_NODE_SETTINGS_H_
