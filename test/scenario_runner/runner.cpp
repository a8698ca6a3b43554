#include "runner.h"

#include <boost/json.hpp>
#include <fstream>
#include <iostream>
#include <sstream>
#include <stdexcept>
#include <thread>

#include "event_lines.h"
#include "invariants.h"
#include "step_checks.h"

namespace siskinrack::test {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kDefaultWait{10'000};
constexpr milliseconds kControlTimeout{5'000};
constexpr milliseconds kDefaultChaosInterval{300};

}  // namespace

runner::runner(fleet& processes, std::filesystem::path scenario_folder, std::uint64_t seed)
    : fleet_(processes), folder_(std::move(scenario_folder)), random_(seed) {}

void runner::Run(std::span<const scenario_step> steps, support::findings& problems) {
  const auto start = std::chrono::steady_clock::now();
  for (const scenario_step& step : steps) {
    const std::string location = "line " + std::to_string(step.line);
    try {
      Execute(step);
    } catch (const std::exception& error) {
      problems.Add(location, error.what());
      break;
    }
    const auto elapsed = std::chrono::steady_clock::now() - start;
    std::cout << location << ' ' << step.command << " done at "
              << std::chrono::duration_cast<milliseconds>(elapsed).count() << " ms" << std::endl;
  }
  batches_.clear();
  CheckInvariants(fleet_.work(), non_repeatable_, problems);
}

void runner::Execute(const scenario_step& step) {
  if (step.command == "platform") return fleet_.StartPlatform();
  if (step.command == "fleet") return StartFleet(step);
  if (step.command == "apply") return ApplyIntent(step);
  if (step.command == "confirm") return ConfirmPlan(step);
  if (step.command == "wait") return WaitForCondition(step);
  if (step.command == "faults") return InjectFaults(step);
  if (step.command == "cut") return CutLinks(step);
  if (step.command == "heal") return fleet_.relay()->Heal();
  if (step.command == "send") return SendBatch(step);
  if (step.command == "await") return AwaitBatch(step);
  if (step.command == "expect") return CheckExpectation(step);
  if (step.command == "post") return PostRequest(step);
  if (step.command == "push") return PushConfig(step);
  if (step.command == "chaos") return RunChaos(step);
  if (step.command == "sleep") {
    std::this_thread::sleep_for(step.GetDuration("for", milliseconds(0)));
    return;
  }
  ControlProcesses(step);
}

void runner::StartFleet(const scenario_step& step) {
  fleet_options options;
  options.domains = static_cast<unsigned>(step.GetNumber("domains", options.domains));
  options.nodes_per_domain =
      static_cast<unsigned>(step.GetNumber("nodes", options.nodes_per_domain));
  options.services = SplitWords(step.GetOption("services", "counter"), ',');
  options.slots = static_cast<unsigned>(step.GetNumber("slots", options.slots));
  options.quality.delay = step.GetDuration("delay", milliseconds(0));
  options.quality.jitter = step.GetDuration("jitter", milliseconds(0));
  options.quality.loss = static_cast<double>(step.GetNumber("loss_percent", 0)) / 100;
  options.skew_step_ms = static_cast<int>(step.GetNumber("skew_ms", 0));
  options.seeds = step.GetOption("seeds");
  for (const std::string& flag : SplitWords(step.GetOption("flags"), ',')) {
    options.node_flags.push_back("--" + flag);
  }
  for (const std::string& prefix : SplitWords(step.GetOption("non_repeatable"), ',')) {
    non_repeatable_.insert(prefix);
  }
  fleet_.StartNodes(options);
}

int runner::RunOperator(const std::vector<std::string>& arguments, std::string& output) {
  std::vector<std::string> command = {(fleet_.binaries() / "siskinctl").string()};
  command.insert(command.end(), arguments.begin(), arguments.end());
  command.push_back("--platform-address=" + fleet_.platform().ToText());
  command.push_back("--nodes=" + fleet_.JoinAdminAddresses());
  const std::string log =
      (fleet_.work() / ("operator-" + std::to_string(++operator_runs_) + ".log")).string();
  child_process process(command, log);
  const int code = process.Wait();
  output = ReadFile(log);
  return code;
}

void runner::CheckExitCode(const scenario_step& step, int code, const std::string& output) {
  if (code == step.GetNumber("expect", 0)) return;
  FailStep("siskinctl " + step.command + " exited with code " + std::to_string(code) +
           ", expected " + step.GetOption("expect", "0") + ": " + output);
}

void runner::ApplyIntent(const scenario_step& step) {
  std::string output;
  const int code = RunOperator({"apply", (folder_ / RequireArgument(step, 0)).string()}, output);
  CheckExitCode(step, code, output);
  if (!step.options.contains("as")) return;
  std::istringstream text(output);
  for (std::string line; std::getline(text, line);) {
    if (line.starts_with("plan "))
      plans_[step.GetOption("as")] = line.substr(5, line.find(':') - 5);
  }
}

void runner::ConfirmPlan(const scenario_step& step) {
  std::string output;
  const auto plan = plans_.find(RequireArgument(step, 0));
  if (plan == plans_.end()) FailStep("unknown plan '" + RequireArgument(step, 0) + "'");
  const int code = RunOperator({"confirm", plan->second}, output);
  CheckExitCode(step, code, output);
  const std::string contains = step.GetOption("contains");
  if (output.find(contains) == std::string::npos)
    FailStep("output of siskinctl confirm lacks '" + contains + "': " + output);
}

bool runner::AllNodesServe(std::uint64_t version) {
  const std::string expected = "\"version\":" + std::to_string(version) + ",";
  for (const fleet_node* node : fleet_.ListLiveNodes()) {
    if (fleet_.Get(node->admin, "/status").find(expected) == std::string::npos) return false;
  }
  return true;
}

bool runner::AllUpstreamsAreVisible() {
  const auto live = fleet_.ListLiveNodes();
  for (const fleet_node* node : live) {
    boost::json::error_code error;
    const auto list = boost::json::parse(fleet_.Get(node->admin, "/upstreams"), error);
    if (error || !list.is_array()) return false;
    std::set<std::string> serving;
    for (const auto& upstream : list.get_array()) {
      if (upstream.at("state") == "serving" && upstream.at("health") == "alive") {
        serving.insert(boost::json::value_to<std::string>(upstream.at("node_id")));
      }
    }
    for (const fleet_node* other : live) {
      if (!serving.contains(other->id)) return false;
    }
  }
  return true;
}

void runner::WaitForCondition(const scenario_step& step) {
  const milliseconds timeout = step.GetDuration("within", kDefaultWait);
  const std::string limit = " within " + std::to_string(timeout.count()) + " ms";
  const auto start = std::chrono::steady_clock::now();
  if (step.options.contains("version")) {
    const auto version = static_cast<std::uint64_t>(step.GetNumber("version", 0));
    if (!WaitUntil(timeout, [&] { return AllNodesServe(version); })) {
      FailStep("not every live node serves version " + std::to_string(version) + limit);
    }
  } else if (step.options.contains("event")) {
    const std::string event = step.GetOption("event");
    const std::string log = (fleet_.work() / (step.GetOption("node") + ".log")).string();
    const auto seen = [&] {
      for (const std::string& line : ReadLines(log)) {
        if (IsEvent(line, event)) return true;
      }
      return false;
    };
    if (!WaitUntil(timeout, seen))
      FailStep("node '" + step.GetOption("node") + "' logged no event " + event + limit);
  } else if (!WaitUntil(timeout, [&] { return AllUpstreamsAreVisible(); })) {
    FailStep("not every live node lists every live upstream as serving and alive" + limit);
  }
  const auto elapsed = std::chrono::steady_clock::now() - start;
  std::cout << "  waited " << std::chrono::duration_cast<milliseconds>(elapsed).count() << " ms\n";
}

void runner::ControlProcesses(const scenario_step& step) {
  std::string selector = step.arguments.empty() ? "" : step.arguments.front();
  if (step.options.contains("domain")) selector = "domain=" + step.GetOption("domain");
  for (fleet_node* node : fleet_.Select(selector)) {
    if (step.command == "kill" && step.GetOption("what") == "vm") {
      fleet_.KillVm(*node);
    } else if (step.command == "kill" && step.GetOption("what") == "upstream") {
      node->upstream_process.reset();
    } else if (step.command == "kill") {
      fleet_.Kill(*node);
    } else if (step.command == "stop") {
      fleet_.Stop(*node);
    } else if (step.command == "continue") {
      fleet_.Continue(*node);
    } else if (step.command == "terminate") {
      fleet_.Terminate(*node);
    } else if (step.command == "restart") {
      fleet_.Restart(*node);
    }
  }
}

void runner::InjectFaults(const scenario_step& step) {
  std::vector<std::pair<support::socket_address, std::string>> targets;
  if (RequireArgument(step, 0) == "platform") {
    targets.emplace_back(fleet_.platform(), "/control/faults");
  } else {
    for (const fleet_node* node : fleet_.Select(RequireArgument(step, 0))) {
      targets.emplace_back(node->upstream, "/control/behaviour");
    }
  }
  for (const auto& [address, target] : targets) {
    const auto result = fleet_.Send(address, {"PUT", target, {}, step.json}, kControlTimeout);
    if (result.response.status != 200) {
      FailStep("PUT " + target + " returned status " + std::to_string(result.response.status) +
               ", expected 200: " + result.response.body);
    }
  }
}

void runner::CutLinks(const scenario_step& step) {
  const auto domain = [&](std::size_t index) {
    return step.arguments.size() > index ? static_cast<unsigned>(std::stoul(step.arguments[index]))
                                         : 0U;
  };
  fleet_.relay()->Cut(domain(0), domain(1));
}

void runner::RunChaos(const scenario_step& step) {
  const milliseconds interval = step.GetDuration("interval", kDefaultChaosInterval);
  const std::string action_list = step.GetOption("actions", "kill,stop,platform");
  const auto actions = SplitWords(action_list, ',');
  for (std::int64_t i = 0; i < step.GetNumber("steps", 10); ++i) {
    fleet_node& node = *fleet_.nodes()[random_() % fleet_.nodes().size()];
    const std::string& action = actions[random_() % actions.size()];
    if (action == "platform") {
      const bool down = random_() % 2 == 0;
      InjectFaults({step.line, "faults", {"platform"}, {}, down ? "{\"down\":true}" : "{}"});
    } else if (!node.is_live()) {
      node.stopped ? fleet_.Continue(node) : fleet_.Restart(node);
    } else {
      action == "kill" ? fleet_.Kill(node) : fleet_.Stop(node);
    }
    std::this_thread::sleep_for(interval);
  }
  InjectFaults({step.line, "faults", {"platform"}, {}, "{}"});
  for (auto& node : fleet_.nodes()) {
    if (node->stopped) fleet_.Continue(*node);
    if (!node->is_live()) fleet_.Restart(*node);
  }
}

}  // namespace siskinrack::test
