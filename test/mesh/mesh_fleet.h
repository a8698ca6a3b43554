#ifndef SISKINRACK_TEST_MESH_MESH_FLEET_H_
#define SISKINRACK_TEST_MESH_MESH_FLEET_H_

#include <atomic>
#include <filesystem>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "object_store_stand_in.h"
#include "process.h"
#include "silencing_proxy.h"
#include "siskinrack/net/http_client.h"

namespace siskinrack::test {

/// Records one run of a request as the upstream received it.
struct observed_run {
  /// Request id.
  std::string id;
  std::string caller;
  /// Values of the fields Tenant and Authorization; empty without them.
  std::string tenant;
  std::string authorization;
  std::string method;
  std::string target;
  std::string body;
  std::chrono::steady_clock::time_point at;
};

/// Stand-in for the upstream on one VM. Answers 421 to a request for another instance id. The
/// end of the path of a request selects the answer:
///   /refuse     refuses the request as not run
///   /break      runs the request, but answers with the id of another request
///   /malformed  runs the request and answers with a header section that can't be parsed
///   /slow       runs the request and answers after half a second
///   /long       runs the request and answers after eight seconds
///   /echo       runs the request and answers with its body
///   /crash      runs the request, closes all connections without an answer and restarts after a
///               delay
///   /unstamped  runs the request and answers without a stamp
/// Any other request is run and answered with status 200 and a stamp.
class instance_stand_in {
 public:
  instance_stand_in(net::fiber_runtime& runtime, std::string ip, std::string id);
  ~instance_stand_in();

  /// Returns the requests that were run since the start, in their order.
  [[nodiscard]] std::vector<observed_run> runs() const;
  /// Refuses every request as not run while `refusing` is true.
  void SetRefusing(bool refusing) { refusing_ = refusing; }
  /// Answers every request with a server error while `failing` is true, without running it.
  void SetFailing(bool failing) { failing_ = failing; }
  /// Names a limit of requests per second in every answer; 0 names none.
  void SetNamedLimit(double per_second) { named_limit_ = per_second; }
  /// Announces in every answer that the upstream is leaving.
  void SetLeaving() { leaving_ = true; }
  /// Stops serving, so that another server can take the address.
  void Stop() { server_->Stop(); }
  [[nodiscard]] const std::string& id() const { return id_; }

 private:
  net::http_response Handle(const net::http_request& request, net::cancellation& cancel);
  /// Answers a request without the fields that every answer has.
  net::http_response Answer(const net::http_request& request, net::cancellation& cancel);
  void StartServer();
  /// Closes all connections and starts the server again after a delay.
  void Crash();

  net::fiber_runtime& runtime_;
  std::string ip_;
  std::string id_;
  std::atomic<bool> refusing_ = false;
  std::atomic<bool> failing_ = false;
  std::atomic<double> named_limit_ = 0;
  std::atomic<bool> leaving_ = false;
  mutable std::mutex mutex_;
  std::vector<observed_run> runs_;
  std::vector<std::thread> crash_threads_;
  std::unique_ptr<net::http_server> server_;
};

/// Limits of a simulated VM, as its settings state them.
struct machine_limits {
  std::size_t memory_mb = 260;
  std::size_t max_descriptors = 4'100;
};

/// Runs a mesh of real node processes, each on its own loopback address, with stand-ins for the
/// store and the upstreams. A machine is a simulated VM, identified by its index in the list of
/// services.
class mesh_fleet {
 public:
  /// Starts the store and one upstream for each element of `services`, but no nodes. Throws
  /// std::runtime_error if the working directory can't be created.
  explicit mesh_fleet(const std::vector<std::string>& services, machine_limits limits = {});
  /// Starts a mesh in whose deployment roll-outs are in force. The upstreams have the software
  /// versions `versions`, in the order of `services`.
  mesh_fleet(const std::vector<std::string>& services, std::vector<std::string> versions,
             machine_limits limits = {});
  ~mesh_fleet();

  /// Writes version `version` of the configuration to the store. It has two routes to each service:
  /// /<service>/ for repeatable requests and /once/<service>/ for at-most-once requests. Unless
  /// `extra` is empty, it also has the route /extra/ to the service `extra`.
  void Configure(std::uint64_t version, const std::string& extra = {});
  /// Sets the tenants that the next Configure writes, in the form of the platform. The routes
  /// /once/<service>/ are open to callers without a key.
  void SetTenants(boost::json::array tenants) { tenants_ = std::move(tenants); }
  /// Adds bounds, as "name=value", to the settings of the nodes that are started from now on.
  void AddBounds(const std::vector<std::string>& bounds);
  /// Lets the nodes that are started from now on reach the store through a proxy for each machine.
  void AddStoreProxies();
  /// Returns the proxy of a machine; AddStoreProxies must have been called.
  [[nodiscard]] silencing_proxy& store_proxy(std::size_t machine) { return *proxies_[machine]; }
  /// Starts the node of a machine after killing the one that still runs, if any.
  void StartNode(std::size_t machine);
  /// Sends one heartbeat of a machine's upstream and returns true if it was acknowledged. `state`
  /// is "ready" or "draining"; an empty one repeats the last state. Heartbeats with the last state
  /// are also sent periodically.
  bool SendHeartbeat(std::size_t machine, const std::string& state);
  /// Sends a liveness report with any body to a machine's node, for the upstream `id`.
  void SendHeartbeatBody(std::size_t machine, const std::string& id, const std::string& body);
  /// Announces the final departure of a machine's upstream, which sends no heartbeats any more, and
  /// returns true if it was acknowledged.
  bool SendDeparture(std::size_t machine);
  /// Begins a new lifetime of a machine's upstream with the same id.
  void RestartInstance(std::size_t machine) {
    ++lifetimes_[machine];
    departed_[machine] = false;
  }
  /// Returns true once all nodes are ready and list all endpoints, or false after 15 s.
  [[nodiscard]] bool AwaitReady();

  /// Sets the number of slots that the upstreams report; 4 at first.
  void SetSlots(std::size_t slots) { slots_ = slots; }
  /// Sets the timeout that the next Configure writes to all routes. The initial one is 3 s.
  void SetRouteTimeout(std::chrono::seconds timeout) { route_timeout_ = timeout; }

  /// Sends a request to the caller port of a machine's node, with a new request id, the route's
  /// timeout as its deadline and a forged caller name. Waits 2 s longer for the answer.
  net::http_result Send(std::size_t machine, const std::string& target,
                        const std::string& method = "GET", const std::string& body = {},
                        const std::vector<net::http_field>& fields = {});
  /// Returns the page of metrics of a machine's node.
  [[nodiscard]] std::string ReadMetrics(std::size_t machine);

  /// Sends bytes to the caller port of a machine's node on a connection of their own and returns
  /// what arrives until the node closes the connection or is silent for a second.
  [[nodiscard]] std::string SendBytes(std::size_t machine, const std::string& bytes) const;

  [[nodiscard]] object_store_stand_in& store() { return *store_; }
  [[nodiscard]] instance_stand_in& instance(std::size_t machine) const {
    return *instances_[machine];
  }
  /// Returns the node process of a machine, which must have been started.
  [[nodiscard]] child_process& node(std::size_t machine) { return *nodes_[machine]; }
  /// Returns the address for requests of callers, the one for links of other nodes and the one of
  /// the upstream.
  [[nodiscard]] support::socket_address caller(std::size_t machine) const;
  [[nodiscard]] support::socket_address upstream(std::size_t machine) const;
  [[nodiscard]] support::socket_address peer(std::size_t machine) const;
  /// Returns the output of all processes that were started with StartNode for the machine.
  [[nodiscard]] std::string ReadLog(std::size_t machine) const;

 private:
  [[nodiscard]] std::string MakeIp(std::size_t machine) const;
  net::http_result Exchange(const support::socket_address& address, net::http_request request);
  /// Makes the configuration of one route.
  [[nodiscard]] boost::json::object MakeRoute(const std::string& prefix, const std::string& service,
                                              bool repeatable) const;
  /// Returns the address at which a machine's node reaches the store.
  [[nodiscard]] support::socket_address StoreAddress(std::size_t machine) const;
  void WriteSettings(std::size_t machine);
  [[nodiscard]] std::filesystem::path MakePath(std::size_t machine,
                                               const std::string& suffix) const;

  std::vector<std::string> services_;
  machine_limits limits_;
  /// Software versions of the upstreams; empty if roll-outs are not in force.
  std::vector<std::string> versions_;
  std::string network_;
  std::filesystem::path work_dir_;
  net::fiber_runtime runtime_{2};
  net::http_client client_{runtime_};
  std::unique_ptr<object_store_stand_in> store_;
  /// Proxies by machine; empty if the nodes reach the store directly.
  std::vector<std::unique_ptr<silencing_proxy>> proxies_;
  std::vector<std::unique_ptr<instance_stand_in>> instances_;
  std::vector<std::unique_ptr<child_process>> nodes_;
  /// Guards the sequences and states, and is held during each heartbeat so that they arrive in
  /// order.
  std::mutex heartbeat_mutex_;
  std::vector<std::uint64_t> sequences_;
  std::vector<std::string> states_;
  /// Number of restarts of each upstream.
  std::vector<std::atomic<int>> lifetimes_;
  /// True for upstreams that have announced their departure.
  std::vector<std::atomic<bool>> departed_;
  std::atomic<bool> stopped_ = false;
  std::thread heartbeat_thread_;
  std::atomic<std::uint64_t> last_request_ = 0;
  std::chrono::seconds route_timeout_{3};
  std::atomic<std::size_t> slots_ = 4;
  boost::json::array tenants_;
  boost::json::array bounds_{"configApplyS=2",  "drainS=1",       "graceS=6",
                             "budgetRatio=0.2", "budgetExtra=60", "budgetWindowS=10"};
};

}  // namespace siskinrack::test

#endif  // SISKINRACK_TEST_MESH_MESH_FLEET_H_
