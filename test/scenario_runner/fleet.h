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

/// Represents the shape and the settings of the fleet that `fleet::StartNodes` starts.
struct fleet_options {
  unsigned domains = 2;
  unsigned nodes_per_domain = 2;
  /// Services of the upstreams, assigned to the nodes in turn; at least one.
  std::vector<std::string> services;
  /// Setting `slots` of every node. The upstream stand-ins keep their own default.
  unsigned slots = 6;
  link_quality quality;
  /// Additional flags of every node, for example "--drain-ms=500".
  std::vector<std::string> node_flags;
  /// Seed addresses of every node, separated by commas; if empty, the first node of each of the
  /// first three domains.
  std::string seeds;
  /// Unit of the clock skews: the skews of the nodes are 0, 1, -1, 2, -2, ... times this value.
  int skew_step_ms = 0;
};

/// Represents a node process and its upstream process. Both keep their ports over restarts.
struct fleet_node {
  std::string id;
  unsigned domain = 0;
  std::string service;
  /// Address on which the node accepts requests of callers.
  support::socket_address caller;
  support::socket_address admin;
  /// Port on which the node accepts connections of the relay.
  std::uint16_t peer_port = 0;
  /// Port of the relay that the node advertises to its peers.
  std::uint16_t relay_port = 0;
  support::socket_address upstream;
  /// Command line without the listen addresses: the first process selects free ports, and `fleet`
  /// adds these on a restart.
  std::vector<std::string> command;
  /// Null after the fleet has killed or terminated the process.
  std::unique_ptr<child_process> process;
  /// Null after the fleet has killed the process.
  std::unique_ptr<child_process> upstream_process;
  /// True from SIGSTOP until SIGCONT or a restart.
  bool stopped = false;

  /// Returns true if the fleet has neither killed, terminated nor stopped the process. A process
  /// that ended by itself counts as live.
  [[nodiscard]] bool is_live() const { return process != nullptr && !stopped; }
};

/// Starts and controls the processes of a scenario: platform stand-in, upstreams and nodes. Methods
/// throw std::runtime_error if a process doesn't start or end as expected. Not thread-safe.
class fleet {
 public:
  /// Takes the programs from folder `binaries` and writes a log file for each process to folder
  /// `work`. `seed` determines the nodes that the selectors "third" and "half" select.
  fleet(std::filesystem::path binaries, std::filesystem::path work, std::uint64_t seed);

  /// Starts the platform stand-in and waits until it listens.
  void StartPlatform();
  /// Starts all nodes and their upstreams one after another and waits until each listens. Must be
  /// called once, after `StartPlatform`.
  void StartNodes(const fleet_options& options);

  /// Returns the nodes that match a selector:
  /// - a node id, "domain=<n>" or "all": live or not,
  /// - "third" or "half": a random part of the live nodes, at least one,
  /// - "watchers": the live nodes whose status page shows that they are watchers.
  /// Throws std::runtime_error if no node matches. "third" and "half" require a live node.
  std::vector<fleet_node*> Select(const std::string& selector);
  /// Returns the nodes whose `is_live` returns true, in the order of their start.
  std::vector<fleet_node*> ListLiveNodes();

  /// Sends SIGKILL to the node and waits for its end; the upstream keeps running.
  void Kill(fleet_node& node);
  /// Kills node and upstream, as when their VM fails.
  void KillVm(fleet_node& node);
  /// Pauses the node with SIGSTOP. Its `process` must not be null.
  void Stop(fleet_node& node);
  /// Resumes a paused node with SIGCONT. Its `process` must not be null.
  void Continue(fleet_node& node);
  /// Sends SIGTERM and waits for the end; throws if the exit code isn't 0. The node's `process`
  /// must not be null.
  void Terminate(fleet_node& node);
  /// Kills the node if it still runs. Then starts a new process of it, and of its upstream if that
  /// has ended, on the same ports; the new process starts without the state of the previous one.
  void Restart(fleet_node& node);

  /// Returns the body of a page; empty if the status isn't 200 or no response arrives within 2 s.
  std::string Get(const support::socket_address& address, const std::string& target);
  /// Sends a request and blocks until the response has arrived, the exchange has failed or
  /// `timeout` has passed.
  net::http_result Send(const support::socket_address& address, net::http_request request,
                        std::chrono::milliseconds timeout);

  [[nodiscard]] support::socket_address platform() const { return platform_; }
  /// Returns the folder of the log files, which are named <process>.log.
  [[nodiscard]] const std::filesystem::path& work() const { return work_; }
  [[nodiscard]] const std::filesystem::path& binaries() const { return binaries_; }
  [[nodiscard]] std::vector<std::unique_ptr<fleet_node>>& nodes() { return nodes_; }
  /// Returns the relay between the nodes; null before `StartNodes`.
  link_relay* relay() { return relay_.get(); }
  /// Returns the admin addresses of all live nodes, separated by commas.
  [[nodiscard]] std::string JoinAdminAddresses();

 private:
  /// Waits for an event `listening` with `field` in file `log`, from line `from_line` (counted from
  /// 0) on, and returns the value of the field; throws after 20 s.
  std::string WaitForField(const std::string& log, const std::string& field, std::size_t from_line);
  void StartUpstream(fleet_node& node);
  void StartNode(fleet_node& node);
  std::string LogPath(const std::string& name) const { return (work_ / (name + ".log")).string(); }
  std::string BinaryPath(const std::string& name) const { return (binaries_ / name).string(); }

  std::filesystem::path binaries_;
  std::filesystem::path work_;
  std::mt19937_64 random_;
  /// IP address of the platform, the upstreams and the ports for callers and operators.
  std::string host_;
  support::socket_address platform_;
  std::unique_ptr<child_process> platform_process_;
  std::unique_ptr<link_relay> relay_;
  std::vector<std::unique_ptr<fleet_node>> nodes_;
  net::fiber_runtime runtime_{1};
  net::http_client client_{runtime_};
};

}  // namespace siskinrack::test

#endif  // SISKINRACK_TEST_SCENARIO_RUNNER_FLEET_H_
