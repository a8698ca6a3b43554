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

/// What one run of a request was, as the upstream saw it.
struct observed_run {
  std::string id;
  std::string caller;
  std::string method;
  std::string target;
  std::string body;
  std::chrono::steady_clock::time_point at;
};

/// Stand-in for the upstream on one machine. The path of a request says how it is answered:
///   .../refuse   refused as not run
///   .../break    run, then answered with the answer of another request only
///   .../slow     answered after half a second
///   .../echo     answered with the request's body
///   .../crash    run, and the upstream is down for a while without an answer
///   .../unstamped  answered without the proof that an upstream made the answer
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
  /// Ends all connections and starts the server again after a while.
  void Crash();

  net::fiber_runtime& runtime_;
  std::string ip_;
  std::string id_;
  std::atomic<bool> refusing_ = false;
  mutable std::mutex mutex_;
  std::vector<observed_run> runs_;
  std::vector<std::thread> crashes_;
  std::unique_ptr<net::http_server> server_;
};

/// A mesh of real node processes on loopback addresses of their own, with stand-ins for the store
/// and the upstreams.
class mesh_fleet {
 public:
  /// One machine for each service named.
  explicit mesh_fleet(const std::vector<std::string>& services);
  ~mesh_fleet();

  /// Writes a configuration: route /<service>/ to each service, and /extra/ to `extra` if named.
  void Configure(std::uint64_t version, const std::string& extra = {});
  void StartNode(std::size_t machine);
  /// One heartbeat of a machine's upstream; true if it was acknowledged. The upstreams send
  /// heartbeats with their last state by themselves too.
  bool Beat(std::size_t machine, const std::string& state);
  /// Waits until all nodes are ready and know all upstreams.
  [[nodiscard]] bool AwaitReady();

  net::http_result Send(std::size_t machine, const std::string& target,
                        const std::string& method = "GET", const std::string& body = {});

  [[nodiscard]] object_store_stand_in& store() { return *store_; }
  [[nodiscard]] instance_stand_in& instance(std::size_t machine) const {
    return *instances_[machine];
  }
  [[nodiscard]] child_process& node(std::size_t machine) { return *nodes_[machine]; }
  [[nodiscard]] std::string Log(std::size_t machine) const;

 private:
  [[nodiscard]] std::string Ip(std::size_t machine) const;
  net::http_result Exchange(const support::socket_address& address, net::http_request request);
  void WriteSettings(std::size_t machine);
  [[nodiscard]] std::filesystem::path File(std::size_t machine, const std::string& suffix) const;

  std::vector<std::string> services_;
  std::string network_;
  std::filesystem::path work_;
  net::fiber_runtime runtime_{2};
  net::http_client client_{runtime_};
  std::unique_ptr<object_store_stand_in> store_;
  std::vector<std::unique_ptr<instance_stand_in>> instances_;
  std::vector<std::unique_ptr<child_process>> nodes_;
  /// Guards the sequences and states, and keeps the heartbeats in order.
  std::mutex beat_mutex_;
  std::vector<std::uint64_t> sequences_;
  std::vector<std::string> states_;
  std::atomic<bool> stopped_ = false;
  std::thread heartbeats_;
  std::atomic<std::uint64_t> last_request_ = 0;
};

}  // namespace siskinrack::test

#endif  // SISKINRACK_TEST_MESH_MESH_FLEET_H_
