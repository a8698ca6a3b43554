#ifndef SISKINRACK_LIB_NODE_MEMBERSHIP_SERVICE_H_
#define SISKINRACK_LIB_NODE_MEMBERSHIP_SERVICE_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "node_context.h"
#include "serving_service.h"
#include "siskinrack/membership/gossip.h"

namespace siskinrack::node {

/// Announces the state of the upstream of this VM to peers and runs the membership protocol.
class membership_service {
 public:
  /// Called with the configuration version that a peer reports to hold.
  using peer_version_listener =
      std::function<void(const support::socket_address& peer, std::uint64_t version)>;

  membership_service(node_context& context, serving_service& serving,
                     peer_version_listener on_peer_version);

  /// Starts the loops on the first runtime thread. Other nodes connect to `peer_address`, unless
  /// the settings contain an address to advertise.
  void Start(const support::socket_address& peer_address,
             const support::socket_address& admin_address);

  /// Handles a membership message of a peer. Returns the reply if the message has one.
  std::optional<wire::envelope_t> Handle(const wire::envelope_t& message);

  /// Announces a new state of the upstream of this VM. The states draining and left are sent to
  /// peers at once. May be called from any thread.
  void AnnounceState(wire::upstream_state state);
  /// Adds addresses through which to join, for a node whose seeds do not reply.
  void AddSeeds(const std::vector<support::socket_address>& seeds);
  /// Announces the configuration version that this node serves.
  void PublishServedVersion(std::uint64_t version);

 private:
  void RunTickLoop();
  /// Probes the upstream and announces it as serving once it is healthy.
  void RunUpstreamProbeLoop();
  /// Logs the events of the gossip protocol and sends its messages. Each request gets its own
  /// fiber.
  void ProcessGossipOutput(membership::gossip_output output);
  /// Sends a request to a peer, waits for the reply and passes the result to the gossip protocol.
  void SendAndAwait(membership::outgoing_message message);
  /// Passes the configuration version in an exchange or its reply to the listener and records the
  /// lease report. Does nothing for other messages.
  void ProcessConfigFields(const wire::envelope_t& message, const std::string& address);
  /// Records the report of the watcher lease from a peer of the same failure domain.
  template <typename Exchange>
  void RecordLeaseReport(const std::string& sender, const Exchange& exchange);
  /// Sets the configuration and watcher fields of an exchange or its reply.
  template <typename Exchange>
  void FillConfigFields(Exchange* exchange) const;
  /// Returns true if the node at `address` replies to a probe in time. May suspend.
  [[nodiscard]] bool IsReachable(const std::string& address);
  void OnLinkBroken(const support::socket_address& address);

  node_context& context_;
  serving_service& serving_;
  peer_version_listener on_peer_version_;
  membership::gossip gossip_;
};

}  // namespace siskinrack::node

#endif  // SISKINRACK_LIB_NODE_MEMBERSHIP_SERVICE_H_
