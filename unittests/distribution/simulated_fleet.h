#ifndef SISKINRACK_UNITTESTS_DISTRIBUTION_SIMULATED_FLEET_H_
#define SISKINRACK_UNITTESTS_DISTRIBUTION_SIMULATED_FLEET_H_

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "siskinrack/config/canonical_json.h"
#include "siskinrack/distribution/config_agent.h"

namespace siskinrack::distribution::test {

/// Returns a valid configuration whose content differs between versions.
inline config::mesh_config MakeConfig(std::uint64_t version) {
  config::mesh_config config{version, "plan-" + std::to_string(version), {}};
  config::mesh_resources& resources = config.resources;
  const std::string other = "service-" + std::to_string(version % 3);
  resources.services = {{"counter"}, {other, config::service_state::kActive, 6}};
  resources.ranks = {{"urgent"}};
  resources.routes = {{"pick", "/pick", other, "urgent"}, {"tray", "/tray", "counter", "urgent"}};
  resources.SortByName();
  return config;
}

/// Simulates a set of agents and the links between them. Messages are queued until a step delivers
/// one of them at random; a step can drop or repeat it.
class simulated_fleet {
 public:
  struct member {
    std::string domain;
    witness_table witnesses;
    std::unique_ptr<config_agent> agent;
    config_snapshot_ptr active = EmptySnapshot();
    /// Highest version served, over all restarts.
    std::uint64_t highest_served = 0;
    std::size_t full_copies = 0;
    bool running = true;
  };

  explicit simulated_fleet(std::uint64_t seed) : random_(seed) {}

  void Add(const std::string& name, const std::string& domain) {
    members_[name].domain = domain;
    Start(name);
  }
  /// Starts a node with empty memory.
  void Start(const std::string& name) {
    member& node = members_.at(name);
    node.witnesses.Clear();
    node.agent = std::make_unique<config_agent>(name, node.domain, node.witnesses, now_);
    node.active = EmptySnapshot();
    node.running = true;
  }
  void Kill(const std::string& name) { members_.at(name).running = false; }

  member& at(const std::string& name) { return members_.at(name); }
  std::map<std::string, member>& members() { return members_; }
  [[nodiscard]] std::size_t in_transit() const { return messages_.size(); }
  random_engine& random() { return random_; }

  /// Passes a configuration to a node, as the operator program does.
  void SubmitConfig(const std::string& name, const config::mesh_config& config) {
    support::findings problems;
    members_.at(name).agent->OnConfig(config::ToJson(config), "operator", problems);
  }
  /// Sends the version that one node holds to another, as each exchange does.
  void Exchange(const std::string& from, const std::string& to) {
    const std::uint64_t version = members_.at(from).agent->held()->config.version;
    Enqueue(to, [this, from, version](member& node) {
      node.agent->OnPeerVersion(from, version, now_);
    });
  }
  /// Advances the time by `elapsed` and then all running agents.
  void Advance(milliseconds elapsed);
  /// Delivers one message chosen at random. It is dropped with probability `drop`, and delivered
  /// but kept for another delivery with probability `repeat`.
  void DeliverOne(double drop, double repeat);
  /// Advances the time by `duration` in steps and delivers all messages in random order. Each node
  /// exchanges versions with a random peer each second.
  void Run(milliseconds duration);

 private:
  using delivery = std::function<void(member&)>;
  struct message_in_transit {
    std::string to;
    delivery body;
  };

  void Enqueue(const std::string& to, delivery body) { messages_.push_back({to, std::move(body)}); }
  void ExchangeAll();
  /// Applies the activations of a node and sends its messages. Expects that no activation has an
  /// older version than the node served before.
  void Collect(const std::string& name);
  void Send(const std::string& from, const outgoing_message& message);
  std::vector<peer_view> MakePeerViews(const std::string& name) const;

  random_engine random_;
  time_point now_{std::chrono::hours(1)};
  std::map<std::string, member> members_;
  std::vector<message_in_transit> messages_;
};

/// Expects of every agent that its active configuration has no route to a missing service
/// (requirement C2) and isn't newer than the held one. Collect checks that no agent returns to an
/// older version (requirement C1).
void ExpectInvariants(simulated_fleet& fleet);

}  // namespace siskinrack::distribution::test

#endif  // SISKINRACK_UNITTESTS_DISTRIBUTION_SIMULATED_FLEET_H_
