// Measures the added latency and processor cost of the request path with real processes on
// loopback: caller, entry node, serving node, upstream. The baseline in the same run calls the
// upstream directly. The links carry no other load and have no delay.

#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <memory>
#include <sstream>
#include <thread>

#include "process.h"
#include "report.h"
#include "siskinrack/net/http_client.h"

namespace siskinrack::bench {
namespace {

namespace fs = std::filesystem;
using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::steady_clock;
using test::child_process;

constexpr int kWarmUpCalls = 300;
constexpr int kCalls = 2000;
constexpr int kRounds = 4;
constexpr int kLoadWorkers = 8;
constexpr seconds kLoadTime{4};
constexpr seconds kStartLimit{20};
constexpr milliseconds kPollInterval{50};
constexpr std::string_view kIntent =
    "services:\n  - {name: counter, slots: 64}\n"
    "ranks:\n  - {name: urgent, target_ms: 1000, worth: 100, floor_percent: 40}\n"
    "routes:\n  - {name: tray, prefix: /tray, service: counter, rank: urgent}\n";

/// Makes a request with an id of its own, as callers do: a node sends a request with the id of an
/// earlier one on another connection.
net::http_request MakeRequest() {
  static std::atomic<std::uint64_t> last_id = 0;
  return {"GET", "/tray/item", {{"x-request-id", std::to_string(++last_id)}}, {}};
}

/// Sends `calls` requests one after another and returns the latencies in microseconds of those that
/// were answered with status 200.
std::vector<double> TimeCalls(net::fiber_runtime& runtime, net::http_client& client,
                              const support::socket_address& address, int calls) {
  std::vector<double> result;
  result.reserve(static_cast<std::size_t>(calls));
  runtime.Run(0, [&] {
    for (int i = 0; i < calls; ++i) {
      const auto start = steady_clock::now();
      const auto answer = client.Send(address, MakeRequest(), start + seconds(5));
      const std::chrono::duration<double, std::micro> elapsed = steady_clock::now() - start;
      if (answer.response.status == 200) result.push_back(elapsed.count());
    }
  });
  return result;
}

/// Waits until `log` has a word `field`=VALUE and returns the first such value. Throws
/// std::runtime_error after kStartLimit.
std::string WaitForField(const fs::path& log, const std::string& field) {
  const auto end = steady_clock::now() + kStartLimit;
  while (steady_clock::now() < end) {
    std::ifstream in(log);
    for (std::string word; in >> word;) {
      if (word.starts_with(field + '=')) return word.substr(field.size() + 1);
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  throw std::runtime_error(field + "=VALUE not found in " + log.string() + " within " +
                           std::to_string(kStartLimit.count()) + " s");
}

/// Represents a node with its upstream process and the addresses of both.
struct bench_node {
  std::unique_ptr<child_process> upstream_process;
  std::unique_ptr<child_process> process;
  support::socket_address upstream, caller;
  std::string admin, peer;
};

/// Starts and configures the processes of the run. They connect without a relay, because its hop
/// would be part of the measured latency.
class bench_processes {
 public:
  bench_processes(const fs::path& binaries, const fs::path& work)
      : binaries_(binaries), work_(work) {
    platform_process_ = Start("platform_stand_in", "platform", {});
    platform_ = "127.0.0.1:" + WaitForField(work_ / "platform.log", "port");
  }

  /// Starts a node with its upstream and waits until both have logged their ports. `seed` is the
  /// peer address of another node, or empty. Throws std::runtime_error after kStartLimit.
  bench_node StartNode(const std::string& service, const std::string& seed) {
    bench_node node;
    node.upstream_process = Start("upstream_stand_in", service, {"--slots=64"});
    node.upstream = WaitForAddress(service, "port");
    const std::string name = "node-" + service;
    std::vector<std::string> flags = {"--node-id=" + name,
                                      "--failure-domain=d",
                                      "--platform-address=" + platform_,
                                      "--upstream-address=" + node.upstream.ToText(),
                                      "--service=" + service,
                                      "--slots=64"};
    if (!seed.empty()) flags.push_back("--seeds=" + seed);
    node.process = Start("siskinrack-node", name, flags);
    node.caller = WaitForAddress(name, "caller_port");
    node.admin = WaitForAddress(name, "admin_port").ToText();
    node.peer = WaitForAddress(name, "peer_port").ToText();
    return node;
  }

  /// Applies kIntent and confirms its plan. `admins` are the admin addresses of the nodes,
  /// separated by commas.
  void ApplyIntent(const std::string& admins) {
    const fs::path file = work_ / "intent.yaml";
    std::ofstream(file) << kIntent;
    const std::vector<std::string> flags = {"--platform-address=" + platform_, "--nodes=" + admins};
    Start("siskinctl", "apply", {"apply", file.string(), flags[0], flags[1]})->Wait();
    std::ifstream in(work_ / "apply.log");
    std::string plan;
    for (std::string word; plan.empty() && in >> word;) {
      if (word == "plan") in >> plan;
    }
    if (plan.ends_with(':')) plan.pop_back();
    Start("siskinctl", "confirm", {"confirm", plan, flags[0], flags[1]})->Wait();
  }

 private:
  std::unique_ptr<child_process> Start(const std::string& program, const std::string& name,
                                       const std::vector<std::string>& flags) {
    std::vector<std::string> command = {(binaries_ / program).string()};
    command.insert(command.end(), flags.begin(), flags.end());
    return std::make_unique<child_process>(command, (work_ / (name + ".log")).string());
  }
  support::socket_address WaitForAddress(const std::string& name, const std::string& field) {
    const std::string port = WaitForField(work_ / (name + ".log"), field);
    return {"127.0.0.1", static_cast<std::uint16_t>(std::stoul(port))};
  }

  fs::path binaries_, work_;
  std::unique_ptr<child_process> platform_process_;
  std::string platform_;
};

/// Waits until a request to `address` succeeds. Throws std::runtime_error after kStartLimit.
void WaitUntilReady(net::fiber_runtime& runtime, net::http_client& client,
                    const support::socket_address& address) {
  const auto end = steady_clock::now() + kStartLimit;
  while (TimeCalls(runtime, client, address, 1).empty()) {
    if (steady_clock::now() >= end)
      throw std::runtime_error("no request to " + address.ToText() +
                               " was answered with status 200 within " +
                               std::to_string(kStartLimit.count()) + " s");
    std::this_thread::sleep_for(kPollInterval);
  }
}

/// Alternates rounds of direct calls to the upstream with rounds over the path and prints the
/// latency quantiles of both and their differences.
void MeasureLatency(const bench_node& entry, const bench_node& serving) {
  net::fiber_runtime runtime(1);
  net::http_client client(runtime);
  std::vector<double> direct;
  std::vector<double> path;
  for (int round = 0; round < kRounds; ++round) {
    TimeCalls(runtime, client, serving.upstream, kWarmUpCalls);
    const auto direct_round = TimeCalls(runtime, client, serving.upstream, kCalls);
    direct.insert(direct.end(), direct_round.begin(), direct_round.end());
    TimeCalls(runtime, client, entry.caller, kWarmUpCalls);
    const auto path_round = TimeCalls(runtime, client, entry.caller, kCalls);
    path.insert(path.end(), path_round.begin(), path_round.end());
  }
  runtime.Run(0, [&] { client.CloseIdle(); });
  Print("direct_latency_us_p50", Quantile(direct, 0.5), "us");
  Print("direct_latency_us_p99", Quantile(direct, 0.99), "us");
  Print("path_latency_us_p50", Quantile(path, 0.5), "us");
  Print("path_latency_us_p99", Quantile(path, 0.99), "us");
  Print("added_latency_us_p50", Quantile(path, 0.5) - Quantile(direct, 0.5), "us");
  Print("added_latency_us_p99", Quantile(path, 0.99) - Quantile(direct, 0.99), "us");
}

/// Sends requests from kLoadWorkers workers for kLoadTime. Prints the rate, the calls per processor
/// second of each node, and their harmonic mean.
void MeasureCpuCost(const bench_node& entry, const bench_node& serving) {
  net::fiber_runtime runtime(2);
  net::http_client client(runtime);
  std::atomic<int> running = kLoadWorkers;
  std::atomic<std::uint64_t> calls = 0;
  const double entry_before = GetCpuSeconds(entry.process->pid());
  const double serving_before = GetCpuSeconds(serving.process->pid());
  const auto end = steady_clock::now() + kLoadTime;
  for (std::size_t i = 0; i < kLoadWorkers; ++i) {
    runtime.Post(i % 2, [&] {
      while (steady_clock::now() < end) {
        const auto answer = client.Send(entry.caller, MakeRequest(), end + seconds(2));
        if (answer.response.status == 200) ++calls;
      }
      --running;
    });
  }
  while (running > 0) std::this_thread::sleep_for(kPollInterval);
  for (std::size_t i = 0; i < 2; ++i) runtime.Run(i, [&] { client.CloseIdle(); });
  const double total = static_cast<double>(calls);
  const double entry_cpu = GetCpuSeconds(entry.process->pid()) - entry_before;
  const double serving_cpu = GetCpuSeconds(serving.process->pid()) - serving_before;
  Print("path_calls_per_s", total / static_cast<double>(kLoadTime.count()), "calls/s");
  Print("entry_calls_per_s_per_core", total / entry_cpu, "calls/s");
  Print("serving_calls_per_s_per_core", total / serving_cpu, "calls/s");
  Print("calls_per_s_per_core", 2 * total / (entry_cpu + serving_cpu), "calls/s");
}

int RunBenchmark(const fs::path& binaries) {
  const fs::path work = fs::temp_directory_path() / ("siskinrack-path-" + std::to_string(getpid()));
  fs::create_directories(work);
  {
    bench_processes processes(binaries, work);
    const bench_node serving = processes.StartNode("counter", "");
    const bench_node entry = processes.StartNode("other", serving.peer);
    processes.ApplyIntent(serving.admin + ',' + entry.admin);
    net::fiber_runtime runtime(1);
    net::http_client client(runtime);
    WaitUntilReady(runtime, client, entry.caller);
    // A service time would hide the latency of the path.
    runtime.Run(0, [&] {
      client.Send(serving.upstream, {"PUT", "/control/behaviour", {}, R"({"service_ms":0})"},
                  steady_clock::now() + seconds(1));
      client.CloseIdle();
    });
    MeasureLatency(entry, serving);
    MeasureCpuCost(entry, serving);
  }
  fs::remove_all(work);
  return 0;
}

}  // namespace
}  // namespace siskinrack::bench

int main(int argc, char** argv) {
  if (argc != 2) {
    std::cerr << "usage: bench_path BINARIES\n";
    return 2;
  }
  try {
    return siskinrack::bench::RunBenchmark(argv[1]);
  } catch (const std::exception& error) {
    std::cerr << error.what() << '\n';
    return 1;
  }
}
