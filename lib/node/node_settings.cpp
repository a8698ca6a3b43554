#include "siskinrack/node/node_settings.h"

#include <algorithm>
#include <array>

namespace siskinrack::node {
namespace {

using support::setting;
using support::setting_kind;

/// Names of the log levels, in the order of support::log_level.
constexpr std::array<std::string_view, 4> kLogLevels = {"debug", "info", "warn", "error"};

constexpr std::size_t kBytesPerMegabyte = 1'000'000;
/// Smallest memory in which a node serves requests: the program takes about 20 MB.
constexpr std::int64_t kMinMemoryMb = 48;
constexpr std::int64_t kMaxMemoryMb = 1 << 20;

const std::vector<setting>& GetDeclarations() {
  static const std::vector<setting> declarations = {
      {"node-id", setting_kind::kName, "name of this node, constant for the lifetime of its VM",
       std::nullopt},
      {"failure-domain", setting_kind::kName, "failure domain of this VM", std::nullopt},
      {"region", setting_kind::kName, "region of this VM", "default"},
      {"caller-address", setting_kind::kAddress, "address on which to accept requests of callers",
       "127.0.0.1:0"},
      {"peer-address", setting_kind::kAddress,
       "address on which to accept connections of other nodes", "127.0.0.1:0"},
      {"advertise-address", setting_kind::kRemoteAddress,
       "address to which other nodes connect; empty: the peer address", ""},
      {"admin-address", setting_kind::kAddress,
       "address on which to serve status, metrics and time line", "127.0.0.1:0"},
      {"platform-address", setting_kind::kRemoteAddress,
       "address of the object API of the platform", std::nullopt},
      {"upstream-address", setting_kind::kRemoteAddress,
       "address of the upstream of this VM; empty: none", ""},
      {"service", setting_kind::kName, "service of the upstream", ""},
      {"slots", setting_kind::kInteger,
       "maximum number of requests that the upstream handles concurrently", "6", 1, 1024},
      {"seeds", setting_kind::kAddressList, "peer addresses of nodes to join", ""},
      {"threads", setting_kind::kInteger, "number of runtime threads", "2", 1, 64},
      {"drain-ms", setting_kind::kInteger,
       "time from the announcement of a drain until new requests are refused", "3000", 0, 60'000,
       "ms"},
      {"memory-mb", setting_kind::kInteger,
       "memory of the process; requests that would exceed it are refused", "1024", kMinMemoryMb,
       kMaxMemoryMb, "MB"},
      {"max-connections", setting_kind::kInteger,
       "maximum number of connections of callers; beyond it, idle ones are closed", "4096", 16,
       1'000'000},
      {"clock-skew-ms", setting_kind::kInteger, "offset added to the clock, for tests", "0",
       -600'000, 600'000, "ms"},
      {"source-ip", setting_kind::kIp, "source IP address of links to peers", ""},
      {.name = "log-level",
       .kind = setting_kind::kText,
       .help = "lowest level of events to write",
       .default_value = "info",
       .choices = {kLogLevels.begin(), kLogLevels.end()}},
      {"print-settings", setting_kind::kFlag, "print the settings with their origin and exit",
       "false"},
      {"help", setting_kind::kFlag, "print this help and exit", "false"}};
  return declarations;
}

std::optional<support::socket_address> ReadOptionalAddress(const support::settings& values,
                                                           std::string_view name) {
  if (values.text(name).empty()) return std::nullopt;
  return values.address(name);
}

}  // namespace

std::vector<std::string> ListKnownEnvironmentNames() {
  std::vector<std::string> names;
  for (const setting& declared : GetDeclarations())
    names.push_back(support::ToEnvironmentName(declared.name));
  for (const std::string_view name :
       {"nodes", "timeout-ms", "output", "request", "version", "node", "since"}) {
    names.push_back(support::ToEnvironmentName(name));
  }
  return names;
}

std::span<const setting> GetNodeSettingDeclarations() { return GetDeclarations(); }

node_settings MakeNodeSettings(const support::settings& values, support::findings& problems) {
  node_settings result;
  result.node_id = values.text("node-id");
  result.failure_domain = values.text("failure-domain");
  result.region = values.text("region");
  result.caller_address = values.address("caller-address");
  result.peer_address = values.address("peer-address");
  result.advertise_address = ReadOptionalAddress(values, "advertise-address");
  result.admin_address = values.address("admin-address");
  result.platform_address = values.address("platform-address");
  result.upstream_address = ReadOptionalAddress(values, "upstream-address");
  result.service = values.text("service");
  result.slots = static_cast<std::uint16_t>(values.integer("slots"));
  result.seeds = values.addresses("seeds");
  result.threads = static_cast<std::size_t>(values.integer("threads"));
  result.drain_period = std::chrono::milliseconds(values.integer("drain-ms"));
  result.clock_skew = std::chrono::milliseconds(values.integer("clock-skew-ms"));
  result.memory_bytes = static_cast<std::size_t>(values.integer("memory-mb")) * kBytesPerMegabyte;
  result.max_connections = static_cast<std::size_t>(values.integer("max-connections"));
  result.source_ip = values.text("source-ip");
  if (result.upstream_address.has_value() != !result.service.empty()) {
    problems.Add("--service", "service and upstream address belong together",
                 "set both --service and --upstream-address, or neither");
  }
  const auto level = std::find(kLogLevels.begin(), kLogLevels.end(), values.text("log-level"));
  if (level != kLogLevels.end()) {
    result.log_level = static_cast<support::log_level>(level - kLogLevels.begin());
  }
  return result;
}

}  // namespace siskinrack::node
