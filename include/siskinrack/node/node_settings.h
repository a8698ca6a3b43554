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

/// Checked settings of the node process.
struct node_settings {
  std::string node_id;
  std::string failure_domain;
  std::string region;
  support::socket_address caller_address;
  support::socket_address peer_address;
  /// Address that peers dial; nothing means the address in use.
  std::optional<support::socket_address> advertise_address;
  support::socket_address admin_address;
  support::socket_address platform_address;
  /// The upstream of this VM; nothing for a node that only takes callers' requests.
  std::optional<support::socket_address> upstream_address;
  std::string service;
  std::uint16_t slots = 0;
  std::vector<support::socket_address> seeds;
  std::size_t threads = 2;
  std::chrono::milliseconds drain_period{3'000};
  std::chrono::milliseconds clock_skew{0};
  /// Source IP number of links to peers; empty lets the kernel choose.
  std::string source_ip;
  support::log_level log_level = support::log_level::kInfo;
};

/// Settings that the node program declares.
std::span<const support::setting> NodeSettingDeclarations();

/// Environment variables that may be set where a node starts: its own, and those of siskinctl,
/// which have no effect on it.
std::vector<std::string> KnownEnvironmentNames();

/// Reads the settings; adds every problem, also those between settings, to `problems`.
node_settings MakeNodeSettings(const support::settings& values, support::findings& problems);

}  // namespace siskinrack::node

#endif  // SISKINRACK_NODE_NODE_SETTINGS_H_
