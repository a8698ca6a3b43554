#include <boost/program_options.hpp>
#include <csignal>
#include <functional>
#include <iostream>
#include <random>
#include <thread>

#include "promises.h"

namespace siskinrack::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::steady_clock;

constexpr std::size_t kCallers = 16;
constexpr milliseconds kCallPause{5};
/// Time in which every node has to serve, with the newest configuration, once the faults are over.
constexpr seconds kRecovery{15};
const std::vector<std::string> kServices = {"shop", "dock", "dock", "shop", "dock"};

/// Sends requests without a pause until it is stopped and keeps what came back.
class caller {
 public:
  caller(mesh_fleet& fleet, std::size_t index, std::uint64_t seed)
      : fleet_(fleet), index_(index), random_(seed), thread_([this] { Run(); }) {}

  std::vector<observed_request> Finish() {
    stopped_ = true;
    thread_.join();
    return std::move(requests_);
  }

 private:
  void Run() {
    for (std::uint64_t count = 0; !stopped_; ++count) {
      SendOne(std::to_string(index_) + '-' + std::to_string(count));
      std::this_thread::sleep_for(kCallPause);
    }
  }

  void SendOne(const std::string& id) {
    const std::size_t machine = random_() % kServices.size();
    const std::string& service = kServices[random_() % kServices.size()];
    constexpr std::size_t kMaxBody = 20'000;
    observed_request request;
    request.at_most_once = random_() % 2 == 0;
    request.target = (request.at_most_once ? "/once/" : "/") + service + '/' + id +
                     Ending(random_() % kEndingRange);
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

  static constexpr std::size_t kEndingRange = 16;

  /// How the upstream answers; most requests are answered plainly.
  static std::string Ending(std::size_t choice) {
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

/// Injects faults that overlap: each has an end of its own.
class fault_injector {
 public:
  fault_injector(mesh_fleet& fleet, std::uint64_t seed) : fleet_(fleet), random_(seed) {}

  void RunFor(seconds duration) {
    const auto end = steady_clock::now() + duration;
    while (steady_clock::now() < end) {
      Begin();
      std::this_thread::sleep_for(milliseconds(100 + random_() % 600));
      EndDue(steady_clock::now());
    }
    EndDue(steady_clock::time_point::max());
  }

  [[nodiscard]] std::uint64_t version() const { return version_; }

 private:
  struct active_fault {
    steady_clock::time_point end;
    std::function<void()> undo;
  };

  void Begin() {
    const std::size_t machine = random_() % kServices.size();
    const milliseconds length(300 + random_() % 2'500);
    const auto until = [&](std::function<void()> undo) {
      active_.push_back({steady_clock::now() + length, std::move(undo)});
    };
    switch (random_() % 9) {
      case 0:
      case 1:
        return Stop(machine, random_() % 2 == 0 ? SIGKILL : SIGTERM, until);
      case 2:
        Note("pause", machine);
        fleet_.node(machine).Signal(SIGSTOP);
        return until([this, machine] { fleet_.node(machine).Signal(SIGCONT); });
      case 3:
        Note("reload", machine);
        return fleet_.node(machine).Signal(SIGHUP);
      case 4:
        Note("store_down", 0);
        fleet_.store().SetDown(true);
        return until([this] { fleet_.store().SetDown(false); });
      case 5:
        Note("store_silent", 0);
        fleet_.store().SetSilent(true);
        return until([this] { fleet_.store().SetSilent(false); });
      case 6:
        Note("store_forgets", 0);
        fleet_.store().LoseWriteAnswers(2);
        return fleet_.store().ForgetHistory();
      case 7:
        Note("upstream_refuses", machine);
        fleet_.instance(machine).SetRefusing(true);
        return until([this, machine] { fleet_.instance(machine).SetRefusing(false); });
      default:
        Note("configure", ++version_);
        return fleet_.Configure(version_);
    }
  }

  template <typename Until>
  void Stop(std::size_t machine, int signal, Until until) {
    Note(signal == SIGKILL ? "kill" : "terminate", machine);
    fleet_.node(machine).Signal(signal);
    // A paused process takes the signal once it goes on.
    fleet_.node(machine).Signal(SIGCONT);
    until([this, machine] { fleet_.StartNode(machine); });
  }

  void EndDue(steady_clock::time_point now) {
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

  static void Note(const char* what, std::uint64_t which) {
    std::cout << "event=fault kind=" << what << " which=" << which << '\n';
  }

  mesh_fleet& fleet_;
  std::mt19937_64 random_;
  std::vector<active_fault> active_;
  std::uint64_t version_ = 1;
};

/// Whether every node serves and has put the newest configuration into force.
bool Recovers(mesh_fleet& fleet, std::uint64_t version) {
  fleet.Configure(version, "dock");
  const auto end = steady_clock::now() + kRecovery;
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
    std::cout << "RECOVER node " << serving << ": no service\n" << fleet.Log(serving);
  }
  return serving == kServices.size();
}

std::vector<observed_service> RunsByService(const mesh_fleet& fleet) {
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

int Soak(std::uint64_t seed, seconds duration) {
  std::cout << "event=soak_started seed=" << seed << " seconds=" << duration.count() << '\n';
  mesh_fleet fleet(kServices);
  fleet.Configure(1);
  for (std::size_t i = 0; i < kServices.size(); ++i) fleet.StartNode(i);
  if (!fleet.AwaitReady()) {
    std::cout << "the mesh does not get ready\n";
    return EXIT_FAILURE;
  }
  std::mt19937_64 seeds(seed);
  std::vector<std::unique_ptr<caller>> callers;
  for (std::size_t i = 0; i < kCallers; ++i) {
    callers.push_back(std::make_unique<caller>(fleet, i, seeds()));
  }
  fault_injector faults(fleet, seeds());
  faults.RunFor(duration);
  const bool recovered = Recovers(fleet, faults.version() + 1);
  std::vector<observed_request> requests;
  for (const auto& item : callers) {
    auto part = item->Finish();
    std::move(part.begin(), part.end(), std::back_inserter(requests));
  }
  std::map<unsigned, std::size_t> statuses;
  for (const observed_request& request : requests) ++statuses[request.status];
  for (const auto& [status, count] : statuses) {
    std::cout << "event=answers status=" << status << " count=" << count << '\n';
  }
  const auto broken = BrokenPromises(requests, RunsByService(fleet));
  for (const std::string& line : broken) std::cout << line << '\n';
  const bool passed = recovered && broken.empty() && statuses[200] > 0;
  std::cout << "event=soak_ended seed=" << seed << " requests=" << requests.size()
            << " broken=" << broken.size() << " recovered=" << recovered
            << " verdict=" << (passed ? "passed" : "failed") << '\n';
  return passed ? EXIT_SUCCESS : EXIT_FAILURE;
}

}  // namespace
}  // namespace siskinrack::test

int main(int argc, char** argv) {
  namespace options = boost::program_options;
  options::options_description known("siskinrack-soak: random faults on a mesh of node processes");
  known.add_options()("help", "prints this text")(
      "seed", options::value<std::uint64_t>()->default_value(1), "decides faults and requests")(
      "seconds", options::value<unsigned>()->default_value(10), "length of the faults");
  options::variables_map values;
  try {
    options::store(options::parse_command_line(argc, argv, known), values);
    options::notify(values);
  } catch (const options::error& error) {
    std::cerr << error.what() << '\n';
    return 2;
  }
  if (values.contains("help")) {
    std::cout << known;
    return EXIT_SUCCESS;
  }
  return siskinrack::test::Soak(values["seed"].as<std::uint64_t>(),
                                std::chrono::seconds(values["seconds"].as<unsigned>()));
}
