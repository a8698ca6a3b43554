#include "fleet.h"

#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <stdexcept>
#include <thread>

#include "event_lines.h"
#include "scenario.h"

namespace siskinrack::test {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kStartTimeout{20'000};
constexpr milliseconds kPollInterval{10};
constexpr milliseconds kPageTimeout{2'000};
/// The seeds of every node are the first nodes of the domains, at most this many.
constexpr std::size_t kMaxSeeds = 3;

std::uint16_t ToPort(const std::string& text) {
  return static_cast<std::uint16_t>(std::stoul(text));
}

/// Returns a loopback address that other runner processes don't use, so that a port that a killed
/// process leaves free isn't taken by a process of another scenario.
std::string MakeHost() {
  constexpr int kOctets = 250;
  const int id = getpid();
  return "127." + std::to_string(1 + id / kOctets % kOctets) + '.' +
         std::to_string(1 + id % kOctets) + ".1";
}

}  // namespace

fleet::fleet(std::filesystem::path binaries, std::filesystem::path work, std::uint64_t seed)
    : binaries_(std::move(binaries)), work_(std::move(work)), random_(seed), host_(MakeHost()) {}

std::string fleet::WaitForField(const std::string& log, const std::string& field,
                                std::size_t from_line) {
  const auto end = std::chrono::steady_clock::now() + kStartTimeout;
  while (std::chrono::steady_clock::now() < end) {
    const auto lines = ReadLines(log);
    for (std::size_t i = from_line; i < lines.size(); ++i) {
      if (!IsEvent(lines[i], "listening")) continue;
      if (auto value = GetEventField(lines[i], field); !value.empty()) return value;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  throw std::runtime_error("no event listening with field " + field + " in " + log + " within " +
                           std::to_string(kStartTimeout.count()) + " ms");
}

void fleet::StartPlatform() {
  const std::string log = LogPath("platform");
  platform_process_ = std::make_unique<child_process>(
      std::vector<std::string>{BinaryPath("platform_stand_in"), "--address=" + host_ + ":0"}, log);
  platform_ = {host_, ToPort(WaitForField(log, "port", 0))};
}

void fleet::StartUpstream(fleet_node& node) {
  const std::string log = LogPath("upstream-" + node.id);
  const std::size_t lines_before = ReadLines(log).size();
  const std::string address = node.upstream.port == 0 ? host_ + ":0" : node.upstream.ToText();
  node.upstream_process = std::make_unique<child_process>(
      std::vector<std::string>{BinaryPath("upstream_stand_in"), "--name=" + node.id,
                               "--address=" + address},
      log);
  node.upstream = {host_, ToPort(WaitForField(log, "port", lines_before))};
}

void fleet::StartNode(fleet_node& node) {
  const std::string log = LogPath(node.id);
  const std::size_t lines_before = ReadLines(log).size();
  std::vector<std::string> command = node.command;
  node.caller.ip = node.admin.ip = host_;
  command.push_back("--caller-address=" + node.caller.ToText());
  command.push_back("--admin-address=" + node.admin.ToText());
  if (node.peer_port != 0) {
    command.push_back("--peer-address=127.0.0.1:" + std::to_string(node.peer_port));
  }
  node.process = std::make_unique<child_process>(command, log);
  node.stopped = false;
  node.peer_port = ToPort(WaitForField(log, "peer_port", lines_before));
  node.caller = {host_, ToPort(WaitForField(log, "caller_port", lines_before))};
  node.admin = {host_, ToPort(WaitForField(log, "admin_port", lines_before))};
  relay_->SetTarget(node.relay_port, node.peer_port);
}

void fleet::StartNodes(const fleet_options& options) {
  relay_ = std::make_unique<link_relay>(options.quality);
  for (unsigned i = 0; i < options.domains * options.nodes_per_domain; ++i) {
    auto node = std::make_unique<fleet_node>();
    node->domain = i / options.nodes_per_domain + 1;
    node->id = "d" + std::to_string(node->domain) + "-n" +
               std::to_string(i % options.nodes_per_domain + 1);
    node->service = options.services[i % options.services.size()];
    node->relay_port = relay_->Open(node->domain);
    nodes_.push_back(std::move(node));
  }
  std::string seeds;
  for (std::size_t i = 0; i < std::min<std::size_t>(kMaxSeeds, options.domains); ++i) {
    if (i > 0) seeds += ',';
    seeds += "127.0.0.1:" + std::to_string(nodes_[i * options.nodes_per_domain]->relay_port);
  }
  if (!options.seeds.empty()) seeds = options.seeds;
  int skew_ms = 0;
  for (auto& node : nodes_) {
    StartUpstream(*node);
    node->command = {BinaryPath("siskinrack-node"),
                     "--node-id=" + node->id,
                     "--failure-domain=d" + std::to_string(node->domain),
                     "--platform-address=" + platform_.ToText(),
                     "--upstream-address=" + node->upstream.ToText(),
                     "--service=" + node->service,
                     "--slots=" + std::to_string(options.slots),
                     "--advertise-address=127.0.0.1:" + std::to_string(node->relay_port),
                     "--source-ip=127.0." + std::to_string(node->domain) + ".1",
                     "--seeds=" + seeds,
                     "--clock-skew-ms=" + std::to_string(skew_ms)};
    node->command.insert(node->command.end(), options.node_flags.begin(), options.node_flags.end());
    StartNode(*node);
    skew_ms = -skew_ms + (skew_ms > 0 ? 0 : options.skew_step_ms);
  }
}

std::vector<fleet_node*> fleet::ListLiveNodes() {
  std::vector<fleet_node*> list;
  for (auto& node : nodes_) {
    if (node->is_live()) list.push_back(node.get());
  }
  return list;
}

std::vector<fleet_node*> fleet::Select(const std::string& selector) {
  std::vector<fleet_node*> list;
  if (selector == "third" || selector == "half") {
    list = ListLiveNodes();
    std::shuffle(list.begin(), list.end(), random_);
    list.resize(std::max<std::size_t>(1, list.size() / (selector == "third" ? 3 : 2)));
    return list;
  }
  for (auto& node : nodes_) {
    const bool in_domain = selector == "domain=" + std::to_string(node->domain);
    bool is_selected = selector == "all" || selector == node->id || in_domain;
    if (selector == "watchers" && node->is_live()) {
      is_selected = Get(node->admin, "/status").find("\"watcher\":true") != std::string::npos;
    }
    if (is_selected) list.push_back(node.get());
  }
  if (list.empty()) throw std::runtime_error("selector '" + selector + "' matches no node");
  return list;
}

void fleet::Kill(fleet_node& node) { node.process.reset(); }

void fleet::KillVm(fleet_node& node) {
  node.process.reset();
  node.upstream_process.reset();
}

void fleet::Stop(fleet_node& node) {
  node.process->Signal(SIGSTOP);
  node.stopped = true;
}

void fleet::Continue(fleet_node& node) {
  node.process->Signal(SIGCONT);
  node.stopped = false;
}

void fleet::Terminate(fleet_node& node) {
  node.process->Signal(SIGTERM);
  const int code = node.process->Wait();
  node.process.reset();
  if (code != 0)
    throw std::runtime_error(node.id + " exited after SIGTERM with code " + std::to_string(code) +
                             ", expected 0");
}

void fleet::Restart(fleet_node& node) {
  node.process.reset();
  if (node.upstream_process == nullptr || node.upstream_process->Poll()) StartUpstream(node);
  StartNode(node);
}

net::http_result fleet::Send(const support::socket_address& address, net::http_request request,
                             milliseconds timeout) {
  net::http_result result;
  runtime_.Run(0, [&] {
    result = client_.Send(address, std::move(request), std::chrono::steady_clock::now() + timeout);
  });
  return result;
}

std::string fleet::Get(const support::socket_address& address, const std::string& target) {
  auto result = Send(address, {"GET", target, {}, {}}, kPageTimeout);
  if (result.stage != net::exchange_stage::kAnswered || result.response.status != 200) return {};
  return std::move(result.response.body);
}

std::string fleet::JoinAdminAddresses() {
  std::string list;
  for (const fleet_node* node : ListLiveNodes()) {
    if (!list.empty()) list += ',';
    list += node->admin.ToText();
  }
  return list;
}

}  // namespace siskinrack::test
