#ifndef SISKINRACK_UNITTESTS_DISTRIBUTION_FLEET_H_
#define SISKINRACK_UNITTESTS_DISTRIBUTION_FLEET_H_

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "siskinrack/config/canonical_json.h"
#include "siskinrack/distribution/config_agent.h"

namespace siskinrack::distribution::test {

/// Version `version` of a changing configuration; the content differs between versions.
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

/// Agents joined by a fake link list. Messages wait in a bag until a step delivers one of them;
/// the step's options drop, repeat and reorder them.
class fleet {
 public:
  struct member {
    std::string domain;
    witness_table witnesses;
    std::unique_ptr<config_agent> agent;
    config_snapshot_ptr active = EmptySnapshot();
    std::uint64_t highest_served = 0;
    std::size_t full_copies = 0;
    bool running = true;
  };

  explicit fleet(std::uint64_t seed) : random_(seed) {}

  void Add(const std::string& name, const std::string& domain) {
    members_[name].domain = domain;
    Start(name);
  }
  /// Starts a node with empty memory.
  void Start(const std::string& name) {
    member& item = members_.at(name);
    item.witnesses.Clear();
    item.agent = std::make_unique<config_agent>(name, item.domain, item.witnesses, now_);
    item.active = EmptySnapshot();
    item.running = true;
  }
  void Kill(const std::string& name) { members_.at(name).running = false; }

  member& at(const std::string& name) { return members_.at(name); }
  std::map<std::string, member>& members() { return members_; }
  [[nodiscard]] std::size_t in_transit() const { return bag_.size(); }
  random_engine& random() { return random_; }

  void Offer(const std::string& name, const config::mesh_config& config) {
    support::findings problems;
    members_.at(name).agent->OnConfig(config::ToJson(config), "operator", problems);
  }
  /// One node tells another which version it holds, as each exchange does.
  void Exchange(const std::string& from, const std::string& to) {
    const std::uint64_t version = members_.at(from).agent->held()->config.version;
    Post(to,
         [this, from, version](member& item) { item.agent->OnPeerVersion(from, version, now_); });
  }
  /// Lets all agents act after `elapsed`.
  void Advance(milliseconds elapsed);
  /// Delivers, drops or repeats one message chosen at random.
  void DeliverOne(double drop, double repeat);
  /// Delivers everything, in random order, with time passing and each node exchanging versions with
  /// a random peer each second, for `duration`.
  void Run(milliseconds duration);

 private:
  using delivery = std::function<void(member&)>;
  struct parcel {
    std::string to;
    delivery body;
  };

  void Post(const std::string& to, delivery body) { bag_.push_back({to, std::move(body)}); }
  void ExchangeAll();
  void Collect(const std::string& name);
  void Send(const std::string& from, const outgoing_message& message);
  std::vector<peer_view> PeersOf(const std::string& name) const;

  random_engine random_;
  time_point now_{std::chrono::hours(1)};
  std::map<std::string, member> members_;
  std::vector<parcel> bag_;
};

/// C1 and C2 for every agent: never back, and no route to a service that isn't held.
void ExpectInvariants(fleet& all);

}  // namespace siskinrack::distribution::test

#endif  // SISKINRACK_UNITTESTS_DISTRIBUTION_FLEET_H_
