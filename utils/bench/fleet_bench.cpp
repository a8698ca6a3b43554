// Measures the control plane of a fleet of real node processes on loopback, with delayed and lossy
// links between failure domains: platform calls, control bytes, processor time and memory of a
// node, convergence of a change, and restart of half the fleet. The baseline in the same run is one
// client per node that watches the platform directly and fetches full copies.

#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <boost/json.hpp>
#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>

#include "event_lines.h"
#include "fleet.h"
#include "report.h"
#include "siskinrack/platform/http_object_store.h"

namespace siskinrack::bench {
namespace {

namespace fs = std::filesystem;
namespace json = boost::json;
using std::chrono::milliseconds;
using std::chrono::seconds;
using test::fleet;
using test::fleet_node;

constexpr unsigned kFailureDomains = 4;
constexpr std::array<unsigned, 4> kFleetSizes = {8, 16, 32, 64};
constexpr seconds kMeasurementTime{10};
constexpr seconds kSettleTime{3};
constexpr seconds kConvergenceLimit{60};
constexpr milliseconds kPollInterval{20};
constexpr int kBaselineChanges = 5;

/// Returns the number under `key` of a JSON object, or 0 if `body_text` is not JSON or lacks the
/// key. Throws if `body_text` is another JSON value or the member is not a number.
double ReadNumber(const std::string& body_text, std::string_view key) {
  json::error_code error;
  const json::value body = json::parse(body_text, error);
  const json::value* value = error ? nullptr : body.as_object().if_contains(key);
  return value == nullptr ? 0 : value->to_number<double>();
}

/// Returns the number of reads, writes and watches that the platform has received so far.
double CountPlatformCalls(fleet& processes) {
  const std::string body_text = processes.Get(processes.platform(), "/control/calls");
  return ReadNumber(body_text, "read") + ReadNumber(body_text, "write") +
         ReadNumber(body_text, "watch");
}

/// Returns the resident memory of a process in MiB.
double GetResidentMebibytes(pid_t pid) {
  std::ifstream in("/proc/" + std::to_string(pid) + "/statm");
  double size = 0;
  double resident = 0;
  in >> size >> resident;
  return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / (1U << 20U);
}

/// Holds the control traffic and processor time of a node: totals, or rates per second.
struct node_usage {
  double control_bytes = 0;
  double cpu_seconds = 0;
};

/// Returns the totals of every running node since its start.
std::vector<node_usage> SampleNodes(fleet& processes) {
  std::vector<node_usage> usages;
  for (const fleet_node* node : processes.ListLiveNodes()) {
    usages.push_back({ReadNumber(processes.Get(node->admin, "/status"), "control_bytes"),
                      GetCpuSeconds(node->process->pid())});
  }
  return usages;
}

/// Returns the highest rates per second of any node between two samples that are `elapsed` seconds
/// apart. The two rates may belong to different nodes.
node_usage ComputeWorstRates(const std::vector<node_usage>& before,
                             const std::vector<node_usage>& after, double elapsed) {
  node_usage worst;
  for (std::size_t i = 0; i < std::min(before.size(), after.size()); ++i) {
    worst.control_bytes =
        std::max(worst.control_bytes, (after[i].control_bytes - before[i].control_bytes) / elapsed);
    worst.cpu_seconds =
        std::max(worst.cpu_seconds, (after[i].cpu_seconds - before[i].cpu_seconds) / elapsed);
  }
  return worst;
}

/// Returns true if every running node serves `version` or a later one.
bool AllNodesServe(fleet& processes, std::uint64_t version) {
  const auto live = processes.ListLiveNodes();
  return std::all_of(live.begin(), live.end(), [&](const fleet_node* node) {
    return ReadNumber(processes.Get(node->admin, "/status"), "version") >=
           static_cast<double>(version);
  });
}

/// Returns true if every running node lists at least as many members as there are running nodes.
bool AllNodesListAllMembers(fleet& processes) {
  const auto live = processes.ListLiveNodes();
  return std::all_of(live.begin(), live.end(), [&](const fleet_node* node) {
    return ReadNumber(processes.Get(node->admin, "/status"), "members") >=
           static_cast<double>(live.size());
  });
}

/// Waits until `condition` returns true and returns the seconds that this took. Exits the program
/// with an error after kConvergenceLimit.
template <typename Condition>
double WaitUntil(Condition condition) {
  const auto begin = std::chrono::steady_clock::now();
  while (!condition()) {
    if (std::chrono::steady_clock::now() - begin > kConvergenceLimit) {
      std::cerr << "condition not met within " << kConvergenceLimit.count() << " s\n";
      std::exit(EXIT_FAILURE);
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - begin).count();
}

std::int64_t GetWallClockMicroseconds() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::microseconds>(now).count();
}

/// Returns an intent of the size that the design assumes, 61 services and 200 routes. Intents with
/// different `worth` differ in the worth of their one rank only.
std::string MakeIntent(unsigned worth) {
  std::string text = "services:\n";
  for (int i = 0; i < 61; ++i) text += "  - {name: service-" + std::to_string(i) + ", slots: 6}\n";
  text += "ranks:\n  - {name: urgent, worth: " + std::to_string(worth) + "}\nroutes:\n";
  for (int i = 0; i < 200; ++i) {
    text += "  - {name: route-" + std::to_string(i) + ", prefix: /path-" + std::to_string(i) +
            ", service: service-" + std::to_string(i % 61) + ", rank: urgent}\n";
  }
  return text;
}

/// Runs siskinctl with its output in the file `log` and returns its exit code.
int RunSiskinctl(fleet& processes, std::vector<std::string> arguments, const std::string& log) {
  arguments.insert(arguments.begin(), (processes.binaries() / "siskinctl").string());
  arguments.push_back("--platform-address=" + processes.platform().ToText());
  arguments.push_back("--nodes=" + processes.JoinAdminAddresses());
  test::child_process process(arguments, (processes.work() / log).string());
  return process.Wait();
}

/// Applies and confirms the intent with `worth`. Returns the wall-clock time just before the
/// confirmation in microseconds. Exits the program if the confirmation fails.
std::int64_t ChangeConfiguration(fleet& processes, unsigned worth) {
  const std::string name = "change-" + std::to_string(worth);
  const std::string file = (processes.work() / (name + ".yaml")).string();
  std::ofstream(file) << MakeIntent(worth);
  RunSiskinctl(processes, {"apply", file}, name + ".plan");
  std::string plan;
  for (const std::string& line : test::ReadLines((processes.work() / (name + ".plan")).string())) {
    if (line.starts_with("plan ")) plan = line.substr(5, line.find(':') - 5);
  }
  const std::int64_t begin = GetWallClockMicroseconds();
  if (RunSiskinctl(processes, {"confirm", plan}, name + ".confirm") != 0) {
    std::cerr << "siskinctl confirm failed\n";
    std::exit(EXIT_FAILURE);
  }
  return begin;
}

/// Returns the times in milliseconds from the confirmation until each running node serves
/// `version`, as logged by the nodes.
std::vector<double> CollectConvergenceMs(fleet& processes, std::uint64_t version,
                                         std::int64_t begin_us) {
  std::vector<double> times;
  for (const fleet_node* node : processes.ListLiveNodes()) {
    for (const std::string& line : test::ReadLines(node->process->log_file())) {
      if (!test::IsEvent(line, "config_active")) continue;
      if (test::GetEventField(line, "version") != std::to_string(version)) continue;
      const double wall_us = std::stod(test::GetEventField(line, "hlc"));
      times.push_back((wall_us - static_cast<double>(begin_us)) / 1000);
    }
  }
  return times;
}

/// Applies versions 1 and 2 and prints the convergence times of both and the control traffic of the
/// second.
void MeasureChange(fleet& processes, const std::string& suffix) {
  const std::int64_t first = ChangeConfiguration(processes, 1);
  WaitUntil([&] { return AllNodesServe(processes, 1); });
  const auto before = SampleNodes(processes);
  const std::int64_t second = ChangeConfiguration(processes, 2);
  WaitUntil([&] { return AllNodesServe(processes, 2); });
  std::this_thread::sleep_for(kSettleTime);
  const auto elapsed = static_cast<double>(GetWallClockMicroseconds() - second) / 1e6;
  const auto rates = ComputeWorstRates(before, SampleNodes(processes), elapsed);
  Print("control_bytes_per_node_s_one_change" + suffix, rates.control_bytes, "bytes/s");
  auto times = CollectConvergenceMs(processes, 1, first);
  const auto more = CollectConvergenceMs(processes, 2, second);
  times.insert(times.end(), more.begin(), more.end());
  Print("convergence_ms_p50" + suffix, Quantile(times, 0.5), "ms");
  Print("convergence_ms_p99" + suffix, Quantile(times, 0.99), "ms");
  Print("convergence_ms_max" + suffix, Quantile(times, 1), "ms");
}

/// Prints the platform calls, control traffic, processor time and memory without changes.
void MeasureIdle(fleet& processes, const std::string& suffix) {
  const double calls_before = CountPlatformCalls(processes);
  const auto before = SampleNodes(processes);
  const auto begin = std::chrono::steady_clock::now();
  std::this_thread::sleep_for(kMeasurementTime);
  const double elapsed =
      std::chrono::duration<double>(std::chrono::steady_clock::now() - begin).count();
  const auto rates = ComputeWorstRates(before, SampleNodes(processes), elapsed);
  Print("platform_calls_per_s" + suffix, (CountPlatformCalls(processes) - calls_before) / elapsed,
        "calls/s");
  Print("control_bytes_per_node_s_idle" + suffix, rates.control_bytes, "bytes/s");
  Print("control_cpu_percent_idle" + suffix, rates.cpu_seconds * 100, "percent");
  double memory = 0;
  for (const fleet_node* node : processes.ListLiveNodes()) {
    memory = std::max(memory, GetResidentMebibytes(node->process->pid()));
  }
  Print("node_memory_mb" + suffix, memory, "MB");
}

/// Kills half of the nodes, applies version 3 and restarts them. Prints the time until every node
/// serves version 3 and the platform calls in it.
void MeasureRestartOfHalf(fleet& processes, const std::string& suffix) {
  const auto half = processes.Select("half");
  for (fleet_node* node : half) processes.Kill(*node);
  std::this_thread::sleep_for(kSettleTime);
  ChangeConfiguration(processes, 3);
  const double calls_before = CountPlatformCalls(processes);
  const auto begin = std::chrono::steady_clock::now();
  for (fleet_node* node : half) processes.Restart(*node);
  WaitUntil([&] { return AllNodesServe(processes, 3); });
  const double elapsed =
      std::chrono::duration<double>(std::chrono::steady_clock::now() - begin).count();
  Print("restart_half_seconds" + suffix, elapsed, "s");
  Print("restart_half_platform_calls" + suffix, CountPlatformCalls(processes) - calls_before,
        "calls");
}

void MeasureFleet(const fs::path& binaries, unsigned size) {
  const std::string suffix = '_' + std::to_string(size);
  std::string work = (fs::temp_directory_path() / "siskinrack-bench-XXXXXX").string();
  if (mkdtemp(work.data()) == nullptr) std::exit(EXIT_FAILURE);
  {
    fleet processes(binaries, work, /*seed=*/1);
    processes.StartPlatform();
    test::fleet_options options;
    options.domains = kFailureDomains;
    options.nodes_per_domain = size / kFailureDomains;
    options.services = {"service-0", "service-1"};
    // Delay, jitter and loss between failure domains.
    options.quality = {milliseconds(4), milliseconds(2), 0.01};
    processes.StartNodes(options);
    WaitUntil([&] { return AllNodesListAllMembers(processes); });
    std::this_thread::sleep_for(kSettleTime);
    MeasureIdle(processes, suffix);
    if (size == kFleetSizes.back()) {
      MeasureChange(processes, suffix);
      MeasureRestartOfHalf(processes, suffix);
    }
  }
  fs::remove_all(work);
}

/// Measures a fleet in which every node watches the platform directly and fetches a full copy of
/// each version.
void MeasureBaseline(const fs::path& binaries) {
  const std::string work = fs::temp_directory_path().string();
  fleet processes(binaries, fs::path(work) / ("siskinrack-baseline-" + std::to_string(getpid())),
                  1);
  fs::create_directories(processes.work());
  processes.StartPlatform();
  net::fiber_runtime runtime(4);
  // All clients of the baseline share one store object, so its call budget must not limit them.
  platform::http_object_store store(
      runtime, {.address = processes.platform(), .calls_per_second = 1e6, .call_burst = 1e6});
  std::atomic<bool> stop = false;
  std::atomic<unsigned> running = kFleetSizes.back();
  std::atomic<std::uint64_t> bytes = 0;
  const std::string value = MakeIntent(1);
  for (unsigned i = 0; i < kFleetSizes.back(); ++i) {
    runtime.Post(i % runtime.thread_count(), [&] {
      std::uint64_t revision = 0;
      while (!stop) {
        const auto result = store.Watch("config/head", revision, milliseconds(1000));
        const auto* watched = std::get_if<platform::watch_result>(&result);
        if (watched == nullptr) continue;
        revision = watched->revision;
        for (const auto& object : watched->changed) bytes += object.value.size();
      }
      --running;
    });
  }
  std::this_thread::sleep_for(seconds(1));
  const double calls_before = CountPlatformCalls(processes);
  const auto begin = std::chrono::steady_clock::now();
  runtime.Run(0, [&] {
    std::uint64_t version = 0;
    for (int i = 0; i < kBaselineChanges; ++i) {
      net::SleepFor(seconds(1));
      const auto written = store.Put("config/head", value, version);
      if (const auto* next = std::get_if<std::uint64_t>(&written)) version = *next;
    }
  });
  const double elapsed =
      std::chrono::duration<double>(std::chrono::steady_clock::now() - begin).count();
  Print("baseline_platform_calls_per_s_64",
        (CountPlatformCalls(processes) - calls_before) / elapsed, "calls/s");
  Print("baseline_bytes_per_node_and_change_64",
        static_cast<double>(bytes) / kFleetSizes.back() / kBaselineChanges, "bytes");
  stop = true;
  while (running > 0) std::this_thread::sleep_for(kPollInterval);
  fs::remove_all(processes.work());
}

}  // namespace
}  // namespace siskinrack::bench

int main(int argc, char** argv) {
  if (argc != 2) {
    std::cerr << "usage: bench_fleet BINARIES\n";
    return EXIT_FAILURE;
  }
  for (const unsigned size : siskinrack::bench::kFleetSizes) {
    siskinrack::bench::MeasureFleet(argv[1], size);
  }
  siskinrack::bench::MeasureBaseline(argv[1]);
  // Skips static destructors: idle connections belong to threads that have ended, and no output is
  // pending after the flush.
  std::cout.flush();
  std::_Exit(EXIT_SUCCESS);
}
