// Control plane of a fleet of real node processes on loopback, with delayed and lossy links between
// failure domains: platform calls, control bytes, processor time and memory of a node, convergence
// of a change, return of half the fleet. The baseline in the same run is a client per node that
// watches the platform itself and pulls full copies.

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

constexpr unsigned kDomains = 4;
constexpr std::array<unsigned, 4> kSizes = {8, 16, 32, 64};
constexpr seconds kMeasureTime{10};
constexpr seconds kSettleTime{3};
constexpr seconds kConvergenceLimit{60};
constexpr milliseconds kPoll{20};
constexpr int kBaselineChanges = 5;

double Number(const std::string& page, std::string_view key) {
  json::error_code error;
  const json::value body = json::parse(page, error);
  const json::value* value = error ? nullptr : body.as_object().if_contains(key);
  return value == nullptr ? 0 : value->to_number<double>();
}

double PlatformCalls(fleet& processes) {
  const std::string page = processes.Get(processes.platform(), "/control/calls");
  return Number(page, "read") + Number(page, "write") + Number(page, "watch");
}

double ResidentMegabytes(pid_t pid) {
  std::ifstream in("/proc/" + std::to_string(pid) + "/statm");
  double size = 0;
  double resident = 0;
  in >> size >> resident;
  return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / (1U << 20U);
}

struct node_sample {
  double control_bytes = 0;
  double cpu_seconds = 0;
};

std::vector<node_sample> Sample(fleet& processes) {
  std::vector<node_sample> samples;
  for (const fleet_node* node : processes.ListLiveNodes()) {
    samples.push_back({Number(processes.Get(node->admin, "/status"), "control_bytes"),
                       CpuSeconds(node->process->pid())});
  }
  return samples;
}

/// Worst node's rates between two samples.
node_sample WorstRates(const std::vector<node_sample>& before,
                       const std::vector<node_sample>& after, double elapsed) {
  node_sample worst;
  for (std::size_t i = 0; i < std::min(before.size(), after.size()); ++i) {
    worst.control_bytes =
        std::max(worst.control_bytes, (after[i].control_bytes - before[i].control_bytes) / elapsed);
    worst.cpu_seconds =
        std::max(worst.cpu_seconds, (after[i].cpu_seconds - before[i].cpu_seconds) / elapsed);
  }
  return worst;
}

bool AllServe(fleet& processes, std::uint64_t version) {
  const auto live = processes.ListLiveNodes();
  return std::all_of(live.begin(), live.end(), [&](const fleet_node* node) {
    return Number(processes.Get(node->admin, "/status"), "version") >= static_cast<double>(version);
  });
}

bool AllSeeEachOther(fleet& processes) {
  const auto live = processes.ListLiveNodes();
  return std::all_of(live.begin(), live.end(), [&](const fleet_node* node) {
    return Number(processes.Get(node->admin, "/status"), "members") >=
           static_cast<double>(live.size());
  });
}

template <typename Condition>
double SecondsUntil(Condition condition) {
  const auto begin = std::chrono::steady_clock::now();
  while (!condition()) {
    if (std::chrono::steady_clock::now() - begin > kConvergenceLimit) {
      std::cerr << "limit of " << kConvergenceLimit.count() << " s reached\n";
      std::exit(EXIT_FAILURE);
    }
    std::this_thread::sleep_for(kPoll);
  }
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - begin).count();
}

std::int64_t WallMicroseconds() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::microseconds>(now).count();
}

std::string IntentText(unsigned worth) {
  std::string text = "services:\n";
  for (int i = 0; i < 61; ++i) text += "  - {name: service-" + std::to_string(i) + ", slots: 6}\n";
  text += "ranks:\n  - {name: urgent, worth: " + std::to_string(worth) + "}\nroutes:\n";
  for (int i = 0; i < 200; ++i) {
    text += "  - {name: route-" + std::to_string(i) + ", prefix: /path-" + std::to_string(i) +
            ", service: service-" + std::to_string(i % 61) + ", rank: urgent}\n";
  }
  return text;
}

int RunOperator(fleet& processes, std::vector<std::string> words, const std::string& log) {
  words.insert(words.begin(), (processes.binaries() / "siskinctl").string());
  words.push_back("--platform-address=" + processes.platform().ToText());
  words.push_back("--nodes=" + processes.JoinAdminAddresses());
  test::child_process process(words, (processes.work() / log).string());
  return process.Wait();
}

/// States and confirms an intent; returns the time just before the confirmation in microseconds.
std::int64_t ChangeConfiguration(fleet& processes, unsigned worth) {
  const std::string name = "change-" + std::to_string(worth);
  const std::string file = (processes.work() / (name + ".yaml")).string();
  std::ofstream(file) << IntentText(worth);
  RunOperator(processes, {"apply", file}, name + ".plan");
  std::string plan;
  for (const std::string& line : test::ReadLines((processes.work() / (name + ".plan")).string())) {
    if (line.starts_with("plan ")) plan = line.substr(5, line.find(':') - 5);
  }
  const std::int64_t begin = WallMicroseconds();
  if (RunOperator(processes, {"confirm", plan}, name + ".confirm") != 0) {
    std::cerr << "confirmation failed\n";
    std::exit(EXIT_FAILURE);
  }
  return begin;
}

/// Times from the confirmation until each node serves the version, from the nodes' own events.
std::vector<double> ConvergenceMs(fleet& processes, std::uint64_t version, std::int64_t begin_us) {
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

void MeasureChange(fleet& processes, const std::string& suffix) {
  const std::int64_t first = ChangeConfiguration(processes, 1);
  SecondsUntil([&] { return AllServe(processes, 1); });
  const auto before = Sample(processes);
  const std::int64_t second = ChangeConfiguration(processes, 2);
  SecondsUntil([&] { return AllServe(processes, 2); });
  std::this_thread::sleep_for(kSettleTime);
  const auto elapsed = static_cast<double>(WallMicroseconds() - second) / 1e6;
  const auto rates = WorstRates(before, Sample(processes), elapsed);
  Print("control_bytes_per_node_s_one_change" + suffix, rates.control_bytes, "bytes/s");
  auto times = ConvergenceMs(processes, 1, first);
  const auto more = ConvergenceMs(processes, 2, second);
  times.insert(times.end(), more.begin(), more.end());
  Print("convergence_ms_p50" + suffix, Quantile(times, 0.5), "ms");
  Print("convergence_ms_p99" + suffix, Quantile(times, 0.99), "ms");
  Print("convergence_ms_max" + suffix, Quantile(times, 1), "ms");
}

void MeasureIdle(fleet& processes, const std::string& suffix) {
  const double calls_before = PlatformCalls(processes);
  const auto before = Sample(processes);
  const auto begin = std::chrono::steady_clock::now();
  std::this_thread::sleep_for(kMeasureTime);
  const double elapsed =
      std::chrono::duration<double>(std::chrono::steady_clock::now() - begin).count();
  const auto rates = WorstRates(before, Sample(processes), elapsed);
  Print("platform_calls_per_s" + suffix, (PlatformCalls(processes) - calls_before) / elapsed,
        "calls/s");
  Print("control_bytes_per_node_s_idle" + suffix, rates.control_bytes, "bytes/s");
  Print("control_cpu_percent_idle" + suffix, rates.cpu_seconds * 100, "percent");
  double memory = 0;
  for (const fleet_node* node : processes.ListLiveNodes()) {
    memory = std::max(memory, ResidentMegabytes(node->process->pid()));
  }
  Print("node_memory_mb" + suffix, memory, "MB");
}

void MeasureReturnOfHalf(fleet& processes, const std::string& suffix) {
  const auto half = processes.Select("half");
  for (fleet_node* node : half) processes.Kill(*node);
  std::this_thread::sleep_for(kSettleTime);
  ChangeConfiguration(processes, 3);
  const double calls_before = PlatformCalls(processes);
  const auto begin = std::chrono::steady_clock::now();
  for (fleet_node* node : half) processes.Restart(*node);
  SecondsUntil([&] { return AllServe(processes, 3); });
  const double elapsed =
      std::chrono::duration<double>(std::chrono::steady_clock::now() - begin).count();
  Print("restart_half_seconds" + suffix, elapsed, "s");
  Print("restart_half_platform_calls" + suffix, PlatformCalls(processes) - calls_before, "calls");
}

void MeasureFleet(const fs::path& binaries, unsigned size) {
  const std::string suffix = '_' + std::to_string(size);
  std::string work = (fs::temp_directory_path() / "siskinrack-bench-XXXXXX").string();
  if (mkdtemp(work.data()) == nullptr) std::exit(EXIT_FAILURE);
  {
    fleet processes(binaries, work, /*seed=*/1);
    processes.StartPlatform();
    test::fleet_options options;
    options.domains = kDomains;
    options.nodes_per_domain = size / kDomains;
    options.services = {"service-0", "service-1"};
    options.quality = {milliseconds(4), milliseconds(2), 0.01};
    processes.StartNodes(options);
    SecondsUntil([&] { return AllSeeEachOther(processes); });
    std::this_thread::sleep_for(kSettleTime);
    MeasureIdle(processes, suffix);
    if (size == kSizes.back()) {
      MeasureChange(processes, suffix);
      MeasureReturnOfHalf(processes, suffix);
    }
  }
  fs::remove_all(work);
}

/// Every node watches the platform itself and pulls a full copy of each version.
void MeasureBaseline(const fs::path& binaries) {
  const std::string work = fs::temp_directory_path().string();
  fleet processes(binaries, fs::path(work) / ("siskinrack-baseline-" + std::to_string(getpid())),
                  1);
  fs::create_directories(processes.work());
  processes.StartPlatform();
  net::fiber_runtime runtime(4);
  platform::http_object_store store(
      runtime, {.address = processes.platform(), .calls_per_second = 1e6, .call_burst = 1e6});
  std::atomic<bool> stop = false;
  std::atomic<unsigned> running = kSizes.back();
  std::atomic<std::uint64_t> bytes = 0;
  const std::string value = IntentText(1);
  for (unsigned i = 0; i < kSizes.back(); ++i) {
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
  const double calls_before = PlatformCalls(processes);
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
  Print("baseline_platform_calls_per_s_64", (PlatformCalls(processes) - calls_before) / elapsed,
        "calls/s");
  Print("baseline_bytes_per_node_and_change_64",
        static_cast<double>(bytes) / kSizes.back() / kBaselineChanges, "bytes");
  stop = true;
  while (running > 0) std::this_thread::sleep_for(kPoll);
  fs::remove_all(processes.work());
}

}  // namespace
}  // namespace siskinrack::bench

int main(int argc, char** argv) {
  if (argc != 2) {
    std::cerr << "usage: bench_fleet BINARIES\n";
    return EXIT_FAILURE;
  }
  for (const unsigned size : siskinrack::bench::kSizes) {
    siskinrack::bench::MeasureFleet(argv[1], size);
  }
  siskinrack::bench::MeasureBaseline(argv[1]);
  // Idle connections belong to threads that have ended; nothing is left to save.
  std::cout.flush();
  std::_Exit(EXIT_SUCCESS);
}
