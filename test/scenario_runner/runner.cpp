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
  const auto begin = std::chrono::steady_clock::now();
  for (const scenario_step& step : steps) {
    const std::string place = "line " + std::to_string(step.line);
    try {
      Execute(step);
    } catch (const std::exception& error) {
      problems.Add(place, error.what());
      break;
    }
    const auto elapsed = std::chrono::steady_clock::now() - begin;
    std::cout << place << ' ' << step.command << " done at "
              << std::chrono::duration_cast<milliseconds>(elapsed).count() << " ms" << std::endl;
  }
  batches_.clear();
  CheckInvariants(fleet_.work(), non_repeatable_, problems);
}

void runner::Execute(const scenario_step& step) {
  if (step.command == "platform") return fleet_.StartPlatform();
  if (step.command == "fleet") return StartFleet(step);
  if (step.command == "apply") return Apply(step);
  if (step.command == "confirm") return Confirm(step);
  if (step.command == "wait") return Wait(step);
  if (step.command == "faults") return Faults(step);
  if (step.command == "cut") return Cut(step);
  if (step.command == "heal") return fleet_.relay()->Heal();
  if (step.command == "send") return SendBatch(step);
  if (step.command == "await") return AwaitBatch(step);
  if (step.command == "expect") return Expect(step);
  if (step.command == "post") return Post(step);
  if (step.command == "push") return Push(step);
  if (step.command == "chaos") return Chaos(step);
  if (step.command == "sleep") {
    std::this_thread::sleep_for(step.Time("for", milliseconds(0)));
    return;
  }
  ForEachSelected(step);
}

void runner::StartFleet(const scenario_step& step) {
  fleet_options options;
  options.domains = static_cast<unsigned>(step.Number("domains", options.domains));
  options.nodes_per_domain = static_cast<unsigned>(step.Number("nodes", options.nodes_per_domain));
  options.services = SplitWords(step.Option("services", "counter"), ',');
  options.slots = static_cast<unsigned>(step.Number("slots", options.slots));
  options.quality.delay = step.Time("delay", milliseconds(0));
  options.quality.jitter = step.Time("jitter", milliseconds(0));
  options.quality.loss = static_cast<double>(step.Number("loss_percent", 0)) / 100;
  options.skew_step_ms = static_cast<int>(step.Number("skew_ms", 0));
  options.seeds = step.Option("seeds");
  for (const std::string& word : SplitWords(step.Option("flags"), ',')) {
    options.node_flags.push_back("--" + word);
  }
  for (const std::string& prefix : SplitWords(step.Option("non_repeatable"), ',')) {
    non_repeatable_.insert(prefix);
  }
  fleet_.StartNodes(options);
}

int runner::RunOperator(const std::vector<std::string>& words, std::string& output) {
  std::vector<std::string> command = {(fleet_.binaries() / "siskinctl").string()};
  command.insert(command.end(), words.begin(), words.end());
  command.push_back("--platform-address=" + fleet_.platform().ToText());
  command.push_back("--nodes=" + fleet_.JoinAdminAddresses());
  const std::string log =
      (fleet_.work() / ("operator-" + std::to_string(++operator_runs_) + ".log")).string();
  child_process process(command, log);
  const int code = process.Wait();
  output = ReadWhole(log);
  return code;
}

void runner::Apply(const scenario_step& step) {
  std::string output;
  const int code = RunOperator({"apply", (folder_ / Word(step, 0)).string()}, output);
  if (code != step.Number("expect", 0)) Fail("exit code " + std::to_string(code) + ": " + output);
  if (!step.options.contains("as")) return;
  std::istringstream text(output);
  for (std::string line; std::getline(text, line);) {
    if (line.starts_with("plan ")) plans_[step.Option("as")] = line.substr(5, line.find(':') - 5);
  }
}

void runner::Confirm(const scenario_step& step) {
  std::string output;
  const auto plan = plans_.find(Word(step, 0));
  if (plan == plans_.end()) Fail("no plan '" + Word(step, 0) + "'");
  const int code = RunOperator({"confirm", plan->second}, output);
  if (code != step.Number("expect", 0)) Fail("exit code " + std::to_string(code) + ": " + output);
  const std::string contains = step.Option("contains");
  if (output.find(contains) == std::string::npos) Fail("no '" + contains + "' in: " + output);
}

bool runner::HasVersion(std::uint64_t version) {
  const std::string wanted = "\"version\":" + std::to_string(version) + ",";
  for (const fleet_node* node : fleet_.ListLiveNodes()) {
    if (fleet_.Get(node->admin, "/status").find(wanted) == std::string::npos) return false;
  }
  return true;
}

bool runner::SeesAllUpstreams() {
  const auto live = fleet_.ListLiveNodes();
  for (const fleet_node* node : live) {
    boost::json::error_code error;
    const auto list = boost::json::parse(fleet_.Get(node->admin, "/upstreams"), error);
    if (error || !list.is_array()) return false;
    std::set<std::string> serving;
    for (const auto& item : list.get_array()) {
      if (item.at("state") == "serving" && item.at("health") == "alive") {
        serving.insert(boost::json::value_to<std::string>(item.at("node_id")));
      }
    }
    for (const fleet_node* other : live) {
      if (!serving.contains(other->id)) return false;
    }
  }
  return true;
}

void runner::Wait(const scenario_step& step) {
  const milliseconds timeout = step.Time("within", kDefaultWait);
  const auto begin = std::chrono::steady_clock::now();
  if (step.options.contains("version")) {
    const auto version = static_cast<std::uint64_t>(step.Number("version", 0));
    if (!WaitUntil(timeout, [&] { return HasVersion(version); })) {
      Fail("not every live node serves version " + std::to_string(version) + " in time");
    }
  } else if (step.options.contains("event")) {
    const std::string event = step.Option("event");
    const std::string log = (fleet_.work() / (step.Option("node") + ".log")).string();
    const auto seen = [&] {
      for (const std::string& line : ReadLines(log)) {
        if (IsEvent(line, event)) return true;
      }
      return false;
    };
    if (!WaitUntil(timeout, seen)) Fail("no event " + event + " in time");
  } else if (!WaitUntil(timeout, [&] { return SeesAllUpstreams(); })) {
    Fail("not every live node sees every live upstream in time");
  }
  const auto elapsed = std::chrono::steady_clock::now() - begin;
  std::cout << "  waited " << std::chrono::duration_cast<milliseconds>(elapsed).count() << " ms\n";
}

void runner::ForEachSelected(const scenario_step& step) {
  std::string selector = step.words.empty() ? "" : step.words.front();
  if (step.options.contains("domain")) selector = "domain=" + step.Option("domain");
  for (fleet_node* node : fleet_.Select(selector)) {
    if (step.command == "kill" && step.Option("what") == "vm") {
      fleet_.KillVm(*node);
    } else if (step.command == "kill" && step.Option("what") == "upstream") {
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

void runner::Faults(const scenario_step& step) {
  std::vector<std::pair<support::socket_address, std::string>> targets;
  if (Word(step, 0) == "platform") {
    targets.emplace_back(fleet_.platform(), "/control/faults");
  } else {
    for (const fleet_node* node : fleet_.Select(Word(step, 0))) {
      targets.emplace_back(node->upstream, "/control/behaviour");
    }
  }
  for (const auto& [address, target] : targets) {
    const auto result = fleet_.Send(address, {"PUT", target, {}, step.json}, kControlTimeout);
    if (result.response.status != 200) Fail("faults are refused: " + result.response.body);
  }
}

void runner::Cut(const scenario_step& step) {
  const auto domain = [&](std::size_t index) {
    return step.words.size() > index ? static_cast<unsigned>(std::stoul(step.words[index])) : 0U;
  };
  fleet_.relay()->Cut(domain(0), domain(1));
}

/// Random kills, pauses, restarts and platform faults; everything is up again at the end.
void runner::Chaos(const scenario_step& step) {
  const milliseconds interval = step.Time("interval", kDefaultChaosInterval);
  const std::string only = step.Option("actions", "kill,stop,platform");
  const auto actions = SplitWords(only, ',');
  for (std::int64_t i = 0; i < step.Number("steps", 10); ++i) {
    fleet_node& node = *fleet_.nodes()[random_() % fleet_.nodes().size()];
    const std::string& action = actions[random_() % actions.size()];
    if (action == "platform") {
      const bool down = random_() % 2 == 0;
      Faults({step.line, "faults", {"platform"}, {}, down ? "{\"down\":true}" : "{}"});
    } else if (!node.live()) {
      node.stopped ? fleet_.Continue(node) : fleet_.Restart(node);
    } else {
      action == "kill" ? fleet_.Kill(node) : fleet_.Stop(node);
    }
    std::this_thread::sleep_for(interval);
  }
  Faults({step.line, "faults", {"platform"}, {}, "{}"});
  for (auto& node : fleet_.nodes()) {
    if (node->stopped) fleet_.Continue(*node);
    if (!node->live()) fleet_.Restart(*node);
  }
}

}  // namespace siskinrack::test
