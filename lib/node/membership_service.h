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

/// Announces the upstream of this VM and runs the membership protocol with peers.
class membership_service {
 public:
  /// Runs when a peer says which configuration version it holds.
  using peer_version_listener =
      std::function<void(const support::socket_address& peer, std::uint64_t version)>;

  membership_service(node_context& context, serving_service& serving,
                     peer_version_listener on_peer_version);

  /// Starts the loops on the first runtime thread. `peer_address` is where other nodes dial.
  void Start(const support::socket_address& peer_address,
             const support::socket_address& admin_address);

  /// Handles the membership messages of peers; returns the reply if the message has one.
  std::optional<wire::envelope_t> Handle(const wire::envelope_t& message);

  /// Publishes a new state of the upstream of this VM; may be called from any thread. A drain or a
  /// departure is sent to peers at once.
  void Announce(wire::upstream_state state);
  /// Adds addresses to join through, for a node whose seeds don't answer.
  void AddSeeds(const std::vector<support::socket_address>& seeds);
  /// Publishes the configuration version that this node serves.
  void PublishServedVersion(std::uint64_t version);

 private:
  void TickLoop();
  void UpstreamLoop();
  /// Logs the events and sends each message in a fiber of its own.
  void Perform(membership::gossip_output step);
  void SendAndAwait(membership::outgoing_message message);
  void ReportPeerVersion(const wire::envelope_t& message, const std::string& address);
  /// Passes on what a peer of the same failure domain said of the watcher lease.
  template <typename Exchange>
  void HearWatcher(const std::string& sender, const Exchange& exchange);
  /// Fills the configuration fields of an exchange or its reply.
  template <typename Exchange>
  void FillConfigFields(Exchange* exchange) const;
  [[nodiscard]] bool Reaches(const std::string& address);
  void OnLinkBroken(const support::socket_address& address);

  node_context& context_;
  serving_service& serving_;
  peer_version_listener on_peer_version_;
  membership::gossip gossip_;
};

}  // namespace siskinrack::node

#endif  // SISKINRACK_LIB_NODE_MEMBERSHIP_SERVICE_H_
