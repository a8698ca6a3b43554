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

/// Converts member records to the peer views that `distribution` uses. A member that has left
/// counts as dead.
std::vector<distribution::peer_view> MakePeerViews(
    std::span<const membership::member_record> members);

/// Executes the decisions of the configuration agent: sends its messages, activates versions and
/// determines the version floor, the lowest version that this node may serve.
class config_service {
 public:
  /// Called after a version has been activated. Must not call this service.
  using activation_listener = std::function<void(std::uint64_t version)>;

  config_service(node_context& context, activation_listener on_active);

  /// Starts the loops on the first runtime thread.
  void Start();

  /// Handles a configuration message of a peer. Returns the reply if the message has one.
  std::optional<wire::envelope_t> Handle(const wire::envelope_t& message);

  /// Handles the report of a peer that it holds `version`. Starts to fetch a version that is newer
  /// than the held one. Does not wait for it.
  void OnPeerVersion(const support::socket_address& peer, std::uint64_t version);

  /// Submits a configuration from the operator program, the platform or a peer to the agent. Adds
  /// the problems of an invalid one to `problems`. Must run in a fiber of the runtime.
  void SubmitConfig(std::string_view config_json, std::string_view source,
                    support::findings& problems);

  /// Returns the number and findings of the newest rejected version, or an empty string if none
  /// was rejected.
  [[nodiscard]] std::string last_rejection() const;

 private:
  void RunTickLoop();
  void RunFloorLoop();
  /// Advances the agent and executes its decisions.
  void AdvanceAgent();
  void Activate(const distribution::activation& next);
  void SendMessage(distribution::outgoing_message message);
  /// Sends a request to a peer, waits for the reply and passes it to the agent.
  void SendAndAwait(const support::socket_address& address, distribution::outgoing_message message);
  void LogRejection();
  void LogFloor();
  void RecordServedVersions();
  /// Returns the views of all members but this node.
  [[nodiscard]] std::vector<distribution::peer_view> MakeViewsOfOtherNodes() const;
  /// Returns the peer address of a node. `peer` is a node id, or an address if no member has that
  /// id.
  [[nodiscard]] std::optional<support::socket_address> FindAddress(const std::string& peer) const;

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
