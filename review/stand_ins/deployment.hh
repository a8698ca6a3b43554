#ifndef SISKINRACK_REVIEW_STAND_INS_DEPLOYMENT_H_
#define SISKINRACK_REVIEW_STAND_INS_DEPLOYMENT_H_

#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <fstream>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "http_message.hh"
#include "store.hh"

namespace siskinrack::review {

using steady_time = std::chrono::steady_clock::time_point;

/// Writes lines with the time since the start of the script to the record and to standard output.
class record {
 public:
  explicit record(const std::string& path);
  void Line(const std::string& text);
  [[nodiscard]] double Seconds(steady_time at) const;

 private:
  std::mutex mutex_;
  std::ofstream out_;
  steady_time start_;
};

/// One request that an instance began to work on.
struct run {
  std::string request_id;
  std::string target;
  steady_time at;
};

/// Stand-in of an application instance. It runs every request that expects it, one at a time on a
/// connection, and answers 421 to a request that expects another instance.
class instance {
 public:
  /// `work` makes the body of the answer to a request and may sleep.
  using work_function = std::function<std::string(const http_message&)>;

  instance(std::string ip, std::string id, std::string service, work_function work);

  [[nodiscard]] const std::string& id() const { return id_; }
  [[nodiscard]] const std::string& service() const { return service_; }
  [[nodiscard]] std::string address() const;
  [[nodiscard]] std::int64_t born_ms() const { return born_ms_; }
  [[nodiscard]] std::vector<run> Runs() const;
  /// Closes all connections that are made from now on and runs nothing more.
  void Exit() { exited_ = true; }

 private:
  void Serve(int socket);

  std::string ip_;
  std::string id_;
  std::string service_;
  work_function work_;
  std::int64_t born_ms_;
  int listener_;
  std::atomic<bool> exited_ = false;
  mutable std::mutex mutex_;
  std::vector<run> runs_;
};

/// Answer that a consumer received; status 0 means that the connection ended without an answer.
struct consumer_answer {
  int status = 0;
  http_message message;
  double took_s = 0;
};

/// One machine: its addresses, its settings file and its node process.
class machine {
 public:
  machine(std::string name, std::string ip, std::string directory, std::string zone,
          std::string service, std::string app_address, std::string store_address);
  ~machine();
  machine(const machine&) = delete;
  machine& operator=(const machine&) = delete;

  /// Starts the node process with the command of the deploy file.
  void Start();
  /// Sends a signal to the node process.
  void Signal(int signal) const;
  /// Waits until the process has ended; returns its wait status.
  int Wait();
  /// Returns true if the process has ended by itself or by a signal.
  bool HasEnded();
  [[nodiscard]] pid_t pid() const { return pid_; }
  [[nodiscard]] bool IsReady() const;
  /// Returns the largest resident size of the process so far in bytes, or 0 if it has ended.
  [[nodiscard]] std::size_t PeakMemory() const;
  /// Returns the current resident size of the process in bytes, or 0 if it has ended.
  [[nodiscard]] std::size_t Memory() const;

  [[nodiscard]] const std::string& ip() const { return ip_; }
  [[nodiscard]] const std::string& name() const { return name_; }
  [[nodiscard]] int outbound_port() const { return ports_[1]; }
  [[nodiscard]] int control_port() const { return ports_[3]; }

  /// Sends a request of a consumer on this machine on a new connection.
  [[nodiscard]] consumer_answer Send(const std::string& id, const std::string& method,
                                     const std::string& target, const std::string& body,
                                     int deadline_ms) const;
  /// Sends a liveness report; returns true if it was acknowledged.
  bool Report(const instance& sender, const std::string& state, int sequence) const;
  /// Sends the departure of an instance; returns true if it was acknowledged.
  bool Leave(const instance& sender) const;

 private:
  [[nodiscard]] std::size_t ReadStatus(const std::string& field) const;
  [[nodiscard]] http_message Call(int port, const std::string& first_line,
                                  const std::string& body) const;

  std::string name_;
  std::string ip_;
  std::string directory_;
  /// Ports of ready, outbound, inbound, control and the first one between nodes.
  std::vector<int> ports_;
  std::string settings_path_;
  pid_t pid_ = -1;
};

/// Limits and bounds of the settings, as on the sites lensfold-prod and mavro-mesh.
inline constexpr int kMemoryMb = 260;
inline constexpr double kHeartbeatS = 1.5;
inline constexpr double kDrainS = 2;
inline constexpr double kGraceS = 6;
inline constexpr double kStabilityS = 3;

/// Describes one route of the configuration.
struct route {
  std::string prefix;
  std::string kind;
  std::string service;
  double timeout_s;
  double target_s;
};
/// Returns the configuration in the form of config/main.
std::string MakeConfiguration(int version, const std::vector<route>& routes,
                              const std::vector<std::string>& services);

/// Returns a random loopback address 127.x.y.z.
std::string PickIp();
/// Repeats `check` until it returns true; returns false after `timeout_s`.
bool Eventually(double timeout_s, const std::function<bool()>& check);
void SleepS(double seconds);
/// Returns false if TROUBLE=0 is set.
bool HasTrouble();

}  // namespace siskinrack::review

#endif  // SISKINRACK_REVIEW_STAND_INS_DEPLOYMENT_H_
