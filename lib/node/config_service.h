#ifndef SISKINRACK_LIB_NODE_CONFIG_SERVICE_H_
#define SISKINRACK_LIB_NODE_CONFIG_SERVICE_H_

#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

#include "node_context.h"
#include "siskinrack/distribution/config_agent.h"

namespace siskinrack::node {

/// The members as the decisions of `distribution` see them; a member that left counts as dead.
std::vector<distribution::peer_view> MakePeerViews(
    std::span<const membership::member_record> members);

/// Carries out the decisions of the configuration agent: sends its messages, swaps versions in and
/// finds the version floor.
class config_service {
 public:
  /// Runs after a version took effect. Must not call this service.
  using activation_listener = std::function<void(std::uint64_t version)>;

  config_service(node_context& context, activation_listener on_active);

  /// Starts the loops on the first runtime thread.
  void Start();

  /// Handles the configuration messages of peers; returns the reply if the message has one.
  std::optional<wire::envelope_t> Handle(const wire::envelope_t& message);

  /// A peer says that it holds `version`; fetches it if it's newer than the held one. Doesn't wait.
  void OnPeerVersion(const support::socket_address& peer, std::uint64_t version);

  /// Takes over a configuration from the operator program, the platform or a peer. Adds the
  /// problems of a bad one to `problems`. Call it from fibers of the runtime.
  void Offer(std::string_view config_json, std::string_view source, support::findings& problems);

  /// Findings of the newest rejected version, empty if none was rejected.
  [[nodiscard]] std::string last_rejection() const;

 private:
  void TickLoop();
  void FloorLoop();
  /// Advances the agent and carries out what it decided.
  void Pump();
  void Activate(const distribution::activation& next);
  void Perform(distribution::outgoing_message message);
  void SendAndAwait(const support::socket_address& address, distribution::outgoing_message message);
  void LogRejection();
  void LogFloor();
  void RecordServedVersions();
  [[nodiscard]] std::vector<distribution::peer_view> Peers() const;
  [[nodiscard]] std::optional<support::socket_address> AddressOf(const std::string& peer) const;

  node_context& context_;
  activation_listener on_active_;
  distribution::witness_table witnesses_;
  mutable std::mutex mutex_;
  distribution::config_agent agent_;
  std::string logged_rejection_;
  bool floor_logged_ = false;
};

}  // namespace siskinrack::node

#endif  // SISKINRACK_LIB_NODE_CONFIG_SERVICE_H_
