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
#include "siskinrack/net/http_client.h"

namespace siskinrack::test {

/// Records one run of a request as the upstream received it.
struct observed_run {
  std::string id;
  std::string caller;
  std::string method;
  std::string target;
  std::string body;
  std::chrono::steady_clock::time_point at;
};

/// Stand-in for the upstream on one machine. The path of a request selects the answer:
///   .../refuse   refuses the request as not run
///   .../break    runs the request, but answers with the id of another request
///   .../slow     runs the request and answers after half a second
///   .../echo     runs the request and answers with its body
///   .../crash    runs the request, then stops for a while without an answer
///   .../unstamped  runs the request and answers without a stamp
class instance_stand_in {
 public:
  instance_stand_in(net::fiber_runtime& runtime, std::string ip, std::string id);
  ~instance_stand_in();

  [[nodiscard]] std::vector<observed_run> runs() const;
  void SetRefusing(bool refusing) { refusing_ = refusing; }
  [[nodiscard]] const std::string& id() const { return id_; }

 private:
  net::http_response Handle(const net::http_request& request, net::cancellation& cancel);
  void StartServer();
  /// Closes all connections and starts the server again after a delay.
  void Crash();

  net::fiber_runtime& runtime_;
  std::string ip_;
  std::string id_;
  std::atomic<bool> refusing_ = false;
  mutable std::mutex mutex_;
  std::vector<observed_run> runs_;
  std::vector<std::thread> crash_threads_;
  std::unique_ptr<net::http_server> server_;
};

/// Runs a mesh of real node processes, each on its own loopback address, with stand-ins for the
/// store and the upstreams.
class mesh_fleet {
 public:
  /// Creates one machine for each element of `services`, and its upstream.
  explicit mesh_fleet(const std::vector<std::string>& services);
  ~mesh_fleet();

  /// Writes a configuration with the routes /<service>/ and, at most once, /once/<service>/ to each
  /// service, and /extra/ to `extra` unless it is empty.
  void Configure(std::uint64_t version, const std::string& extra = {});
  void StartNode(std::size_t machine);
  /// Sends one heartbeat of a machine's upstream and returns true if it was acknowledged. An empty
  /// `state` repeats the last one. Heartbeats with the last state are also sent periodically.
  bool SendHeartbeat(std::size_t machine, const std::string& state);
  /// Returns true once all nodes are ready and have all endpoints, or false after a timeout.
  [[nodiscard]] bool AwaitReady();

  net::http_result Send(std::size_t machine, const std::string& target,
                        const std::string& method = "GET", const std::string& body = {});

  [[nodiscard]] object_store_stand_in& store() { return *store_; }
  [[nodiscard]] instance_stand_in& instance(std::size_t machine) const {
    return *instances_[machine];
  }
  [[nodiscard]] child_process& node(std::size_t machine) { return *nodes_[machine]; }
  [[nodiscard]] std::string ReadLog(std::size_t machine) const;

 private:
  [[nodiscard]] std::string MakeIp(std::size_t machine) const;
  net::http_result Exchange(const support::socket_address& address, net::http_request request);
  void WriteSettings(std::size_t machine);
  [[nodiscard]] std::filesystem::path MakePath(std::size_t machine,
                                               const std::string& suffix) const;

  std::vector<std::string> services_;
  std::string network_;
  std::filesystem::path work_dir_;
  net::fiber_runtime runtime_{2};
  net::http_client client_{runtime_};
  std::unique_ptr<object_store_stand_in> store_;
  std::vector<std::unique_ptr<instance_stand_in>> instances_;
  std::vector<std::unique_ptr<child_process>> nodes_;
  /// Guards the sequences and states, and keeps the heartbeats in order.
  std::mutex heartbeat_mutex_;
  std::vector<std::uint64_t> sequences_;
  std::vector<std::string> states_;
  std::atomic<bool> stopped_ = false;
  std::thread heartbeat_thread_;
  std::atomic<std::uint64_t> last_request_ = 0;
};

}  // namespace siskinrack::test

#endif  // SISKINRACK_TEST_MESH_MESH_FLEET_H_
