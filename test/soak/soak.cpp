// siskinrack-soak [--seed N] [--seconds N]: sends random requests to a mesh of node processes while
// it injects random faults. Exits with 0 if every node recovered after the faults, no guarantee of
// the mesh was violated and at least one request succeeded; with 1 if not, and with 2 if an option
// is invalid.

#include <boost/program_options.hpp>
#include <csignal>
#include <functional>
#include <iostream>
#include <random>
#include <thread>

#include "violations.h"

namespace siskinrack::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::steady_clock;

constexpr std::size_t kCallers = 16;
constexpr milliseconds kPauseBetweenRequests{5};
/// Time within which every node must serve the newest configuration after the faults have ended.
constexpr seconds kRecoveryTimeout{15};
/// Service of the upstream on each VM.
const std::vector<std::string> kServices = {"shop", "dock", "dock", "shop", "dock"};

/// Sends random requests one after another from a thread of its own, with a short pause between
/// them, and stores the responses.
class caller {
 public:
  caller(mesh_fleet& fleet, std::size_t index, std::uint64_t seed)
      : fleet_(fleet), index_(index), random_(seed), thread_([this] { Run(); }) {}

  /// Stops sending and returns all requests with their responses. Must be called once before the
  /// destruction.
  std::vector<observed_request> StopAndCollect() {
    stopped_ = true;
    thread_.join();
    return std::move(requests_);
  }

 private:
  void Run() {
    for (std::uint64_t count = 0; !stopped_; ++count) {
      SendRequest(std::to_string(index_) + '-' + std::to_string(count));
      std::this_thread::sleep_for(kPauseBetweenRequests);
    }
  }

  void SendRequest(const std::string& id) {
    const std::size_t machine = random_() % kServices.size();
    const std::string& service = kServices[random_() % kServices.size()];
    constexpr std::size_t kMaxBody = 20'000;
    observed_request request;
    request.at_most_once = random_() % 2 == 0;
    request.target = (request.at_most_once ? "/once/" : "/") + service + '/' + id +
                     SelectPathSuffix(random_() % kPathSuffixChoices);
    request.method = "POST";
    request.body = std::string(random_() % kMaxBody, static_cast<char>('a' + random_() % 26));
    request.caller_service = kServices[machine];
    const auto result = fleet_.Send(machine, request.target, request.method, request.body);
    if (result.stage == net::exchange_stage::kAnswered) {
      request.status = result.response.status;
      request.answer = result.response.body;
    }
    requests_.push_back(std::move(request));
  }

  static constexpr std::size_t kPathSuffixChoices = 16;

  /// Returns the path suffix that selects the behaviour of the upstream: one choice each for a
  /// slow, a broken and a refused request, the others for echoes and default answers.
  static std::string SelectPathSuffix(std::size_t choice) {
    switch (choice) {
      case 0:
        return "/slow";
      case 1:
        return "/break";
      case 2:
        return "/refuse";
      default:
        return choice % 2 == 0 ? "/echo" : "";
    }
  }

  mesh_fleet& fleet_;
  std::size_t index_;
  std::mt19937_64 random_;
  std::vector<observed_request> requests_;
  std::atomic<bool> stopped_ = false;
  std::thread thread_;
};

/// Injects random faults that overlap. Faults that last, such as a pause, are undone after a random
/// duration of their own.
class fault_injector {
 public:
  fault_injector(mesh_fleet& fleet, std::uint64_t seed) : fleet_(fleet), random_(seed) {}

  /// Injects faults for `duration` and undoes all that are left at the end.
  void RunFor(seconds duration) {
    const auto end = steady_clock::now() + duration;
    while (steady_clock::now() < end) {
      StartRandomFault();
      std::this_thread::sleep_for(milliseconds(100 + random_() % 600));
      UndoExpired(steady_clock::now());
    }
    UndoExpired(steady_clock::time_point::max());
  }

  /// Returns the newest configuration version that was written.
  [[nodiscard]] std::uint64_t version() const { return version_; }

 private:
  struct active_fault {
    steady_clock::time_point end;
    std::function<void()> undo;
  };

  void StartRandomFault() {
    const std::size_t machine = random_() % kServices.size();
    const milliseconds duration(300 + random_() % 2'500);
    const auto schedule_undo = [&](std::function<void()> undo) {
      active_.push_back({steady_clock::now() + duration, std::move(undo)});
    };
    switch (random_() % 9) {
      case 0:
      case 1:
        return EndProcess(machine, random_() % 2 == 0 ? SIGKILL : SIGTERM, schedule_undo);
      case 2:
        LogFault("pause", machine);
        fleet_.node(machine).Signal(SIGSTOP);
        return schedule_undo([this, machine] { fleet_.node(machine).Signal(SIGCONT); });
      case 3:
        LogFault("reload", machine);
        return fleet_.node(machine).Signal(SIGHUP);
      case 4:
        LogFault("store_down", 0);
        fleet_.store().SetDown(true);
        return schedule_undo([this] { fleet_.store().SetDown(false); });
      case 5:
        LogFault("store_silent", 0);
        fleet_.store().SetSilent(true);
        return schedule_undo([this] { fleet_.store().SetSilent(false); });
      case 6:
        LogFault("store_forgets", 0);
        fleet_.store().LoseWriteAnswers(2);
        return fleet_.store().ForgetHistory();
      case 7:
        LogFault("upstream_refuses", machine);
        fleet_.instance(machine).SetRefusing(true);
        return schedule_undo([this, machine] { fleet_.instance(machine).SetRefusing(false); });
      default:
        LogFault("configure", ++version_);
        return fleet_.Configure(version_);
    }
  }

  /// Ends the node process with `signal` and schedules its restart.
  template <typename ScheduleUndo>
  void EndProcess(std::size_t machine, int signal, ScheduleUndo schedule_undo) {
    LogFault(signal == SIGKILL ? "kill" : "terminate", machine);
    fleet_.node(machine).Signal(signal);
    // SIGTERM stays pending in a process that is paused by another fault, so resume it.
    fleet_.node(machine).Signal(SIGCONT);
    schedule_undo([this, machine] { fleet_.StartNode(machine); });
  }

  /// Undoes the faults whose end is not after `now`.
  void UndoExpired(steady_clock::time_point now) {
    for (std::size_t i = 0; i < active_.size();) {
      if (active_[i].end > now) {
        ++i;
        continue;
      }
      const auto undo = std::move(active_[i].undo);
      active_.erase(active_.begin() + static_cast<std::ptrdiff_t>(i));
      undo();
    }
  }

  /// Logs a fault. `which` is the index of the affected VM, the version for `configure`, or 0 for
  /// the store.
  static void LogFault(const char* what, std::uint64_t which) {
    std::cout << "event=fault kind=" << what << " which=" << which << '\n';
  }

  mesh_fleet& fleet_;
  std::mt19937_64 random_;
  std::vector<active_fault> active_;
  std::uint64_t version_ = 1;
};

/// Writes a configuration with the additional route /extra/ and returns true if every node answers
/// a request for that route with 200 within kRecoveryTimeout, that is, serves the newest
/// configuration.
bool WaitForRecovery(mesh_fleet& fleet, std::uint64_t version) {
  fleet.Configure(version, "dock");
  const auto end = steady_clock::now() + kRecoveryTimeout;
  std::size_t serving = 0;
  for (std::uint64_t probe = 0; serving < kServices.size() && steady_clock::now() < end; ++probe) {
    const std::string target = "/extra/" + std::to_string(probe);
    const bool ok = fleet.Send(serving, target).response.status == 200;
    if (ok) {
      ++serving;
    } else {
      std::this_thread::sleep_for(milliseconds(50));
    }
  }
  if (serving < kServices.size()) {
    std::cout << "RECOVER node " << serving
              << ": no request for /extra/ returned status 200 within " << kRecoveryTimeout.count()
              << " s\n"
              << fleet.ReadLog(serving);
  }
  return serving == kServices.size();
}

/// Returns the runs of all upstreams, grouped by service, without those of the recovery check.
std::vector<observed_service> CollectRunsByService(const mesh_fleet& fleet) {
  std::map<std::string, observed_service> services;
  for (std::size_t i = 0; i < kServices.size(); ++i) {
    observed_service& service = services[kServices[i]];
    service.name = kServices[i];
    for (observed_run& run : fleet.instance(i).runs()) {
      if (!run.target.starts_with("/extra/")) service.runs.push_back(std::move(run));
    }
  }
  std::vector<observed_service> list;
  list.reserve(services.size());
  for (auto& [name, service] : services) list.push_back(std::move(service));
  return list;
}

/// Runs callers and faults for `duration`, then checks the recovery, the guarantees of the mesh and
/// that at least one request succeeded. Returns the exit code of the program.
int RunSoak(std::uint64_t seed, seconds duration) {
  std::cout << "event=soak_started seed=" << seed << " seconds=" << duration.count() << '\n';
  mesh_fleet fleet(kServices);
  fleet.Configure(1);
  for (std::size_t i = 0; i < kServices.size(); ++i) fleet.StartNode(i);
  if (!fleet.AwaitReady()) {
    std::cout << "the nodes did not become ready in time\n";
    return EXIT_FAILURE;
  }
  std::mt19937_64 seeds(seed);
  std::vector<std::unique_ptr<caller>> callers;
  for (std::size_t i = 0; i < kCallers; ++i) {
    callers.push_back(std::make_unique<caller>(fleet, i, seeds()));
  }
  fault_injector faults(fleet, seeds());
  faults.RunFor(duration);
  const bool recovered = WaitForRecovery(fleet, faults.version() + 1);
  std::vector<observed_request> requests;
  for (const auto& sender : callers) {
    auto caller_requests = sender->StopAndCollect();
    std::move(caller_requests.begin(), caller_requests.end(), std::back_inserter(requests));
  }
  std::map<unsigned, std::size_t> statuses;
  for (const observed_request& request : requests) ++statuses[request.status];
  for (const auto& [status, count] : statuses) {
    std::cout << "event=answers status=" << status << " count=" << count << '\n';
  }
  const auto violations = FindViolations(requests, CollectRunsByService(fleet));
  for (const std::string& violation : violations) std::cout << violation << '\n';
  const bool passed = recovered && violations.empty() && statuses[200] > 0;
  std::cout << "event=soak_ended seed=" << seed << " requests=" << requests.size()
            << " broken=" << violations.size() << " recovered=" << recovered
            << " verdict=" << (passed ? "passed" : "failed") << '\n';
  return passed ? EXIT_SUCCESS : EXIT_FAILURE;
}

}  // namespace
}  // namespace siskinrack::test

int main(int argc, char** argv) {
  namespace options = boost::program_options;
  options::options_description description(
      "siskinrack-soak: injects random faults into a mesh of node processes");
  description.add_options()("help", "prints this text")(
      "seed", options::value<std::uint64_t>()->default_value(1),
      "determines the random faults and requests")("seconds",
                                                   options::value<unsigned>()->default_value(10),
                                                   "duration of the fault injection in seconds");
  options::variables_map values;
  try {
    options::store(options::parse_command_line(argc, argv, description), values);
    options::notify(values);
  } catch (const options::error& error) {
    std::cerr << error.what() << '\n';
    return 2;
  }
  if (values.contains("help")) {
    std::cout << description;
    return EXIT_SUCCESS;
  }
  return siskinrack::test::RunSoak(values["seed"].as<std::uint64_t>(),
                                   std::chrono::seconds(values["seconds"].as<unsigned>()));
}
