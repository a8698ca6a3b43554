#ifndef SISKINRACK_TEST_SCENARIO_RUNNER_FLEET_H_
#define SISKINRACK_TEST_SCENARIO_RUNNER_FLEET_H_

#include <filesystem>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "link_relay.h"
#include "process.h"
#include "siskinrack/net/http_client.h"

namespace siskinrack::test {

struct fleet_options {
  unsigned domains = 2;
  unsigned nodes_per_domain = 2;
  std::vector<std::string> services;
  unsigned slots = 6;
  link_quality quality;
  /// Further settings of every node, for example "--drain-ms=500".
  std::vector<std::string> node_flags;
  /// Seeds of every node; empty means the first nodes of the domains.
  std::string seeds;
  /// Difference between the clocks of neighbouring nodes.
  int skew_step_ms = 0;
};

/// A node with its upstream.
struct fleet_node {
  std::string id;
  unsigned domain = 0;
  std::string service;
  support::socket_address caller;
  support::socket_address admin;
  std::uint16_t peer_port = 0;
  std::uint16_t relay_port = 0;
  support::socket_address upstream;
  std::vector<std::string> command;
  std::unique_ptr<child_process> process;
  std::unique_ptr<child_process> upstream_process;
  bool stopped = false;

  [[nodiscard]] bool live() const { return process != nullptr && !stopped; }
};

/// The processes of a scenario: platform stand-in, upstreams and nodes.
class fleet {
 public:
  fleet(std::filesystem::path binaries, std::filesystem::path work, std::uint64_t seed);

  void StartPlatform();
  void StartNodes(const fleet_options& options);

  /// Nodes by name, "domain=<n>", "third" or "half" (chosen by the seed), "watchers" or "all".
  std::vector<fleet_node*> Select(const std::string& selector);
  std::vector<fleet_node*> ListLiveNodes();

  void Kill(fleet_node& node);
  /// Ends node and upstream, as when a VM fails.
  void KillVm(fleet_node& node);
  void Stop(fleet_node& node);
  void Continue(fleet_node& node);
  void Terminate(fleet_node& node);
  /// Starts node (and upstream if it ended) again on the same ports, with empty memory.
  void Restart(fleet_node& node);

  /// Body of a page, empty if there's no answer with status 200.
  std::string Get(const support::socket_address& address, const std::string& target);
  net::http_result Send(const support::socket_address& address, net::http_request request,
                        std::chrono::milliseconds timeout);

  [[nodiscard]] support::socket_address platform() const { return platform_; }
  [[nodiscard]] const std::filesystem::path& work() const { return work_; }
  [[nodiscard]] const std::filesystem::path& binaries() const { return binaries_; }
  [[nodiscard]] std::vector<std::unique_ptr<fleet_node>>& nodes() { return nodes_; }
  link_relay* relay() { return relay_.get(); }
  [[nodiscard]] std::string JoinAdminAddresses();

 private:
  std::string WaitForField(const std::string& log, const std::string& field, std::size_t from_line);
  void StartUpstream(fleet_node& node);
  void StartNode(fleet_node& node);
  std::string LogFile(const std::string& name) const { return (work_ / (name + ".log")).string(); }
  std::string Binary(const std::string& name) const { return (binaries_ / name).string(); }

  std::filesystem::path binaries_;
  std::filesystem::path work_;
  std::mt19937_64 random_;
  support::socket_address platform_;
  std::unique_ptr<child_process> platform_process_;
  std::unique_ptr<link_relay> relay_;
  std::vector<std::unique_ptr<fleet_node>> nodes_;
  net::fiber_runtime runtime_{1};
  net::http_client client_{runtime_};
};

}  // namespace siskinrack::test

#endif  // SISKINRACK_TEST_SCENARIO_RUNNER_FLEET_H_
