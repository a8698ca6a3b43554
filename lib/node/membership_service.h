#ifndef SISKINRACK_LIB_NODE_MEMBERSHIP_SERVICE_H_
#define SISKINRACK_LIB_NODE_MEMBERSHIP_SERVICE_H_

#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>

#include "node_context.h"
#include "serving_service.h"

namespace siskinrack::node {

/// Announces the upstream of this VM and exchanges member records with peers.
class membership_service {
 public:
  /// Runs when a peer says which configuration version it holds.
  using peer_version_listener =
      std::function<void(const support::socket_address& peer, std::uint64_t version)>;

  membership_service(node_context& context, serving_service& serving,
                     peer_version_listener on_peer_version)
      : context_(context), serving_(serving), on_peer_version_(std::move(on_peer_version)) {}

  /// Starts the loops on the first runtime thread. `peer_address` is where other nodes dial.
  void Start(const support::socket_address& peer_address,
             const support::socket_address& admin_address);

  /// Handles the membership messages of peers; returns the reply if the message has one.
  std::optional<wire::envelope_t> Handle(const wire::envelope_t& message);

  /// Publishes a new state of the upstream of this VM.
  void Announce(wire::upstream_state state);
  /// Adds addresses to exchange with, for a node whose seeds don't answer.
  void AddSeeds(const std::vector<support::socket_address>& seeds);
  /// Publishes the configuration version that this node serves.
  void PublishServedVersion(std::uint64_t version);

 private:
  void ExchangeLoop();
  void UpstreamLoop();
  void ExchangeWith(const support::socket_address& address, const std::string& node_id);
  void MergeRecords(const std::vector<std::unique_ptr<wire::member_record_t>>& records);
  [[nodiscard]] std::optional<support::socket_address> AddressOf(const std::string& node_id) const;
  template <typename Exchange>
  Exchange MakeExchange() const;
  template <typename Exchange>
  void HearWatcher(const std::string& sender, const Exchange& exchange);
  [[nodiscard]] std::vector<support::socket_address> Seeds() const;

  node_context& context_;
  serving_service& serving_;
  peer_version_listener on_peer_version_;
  mutable std::mutex mutex_;
  membership::member_record self_;
  std::map<std::string, unsigned> failures_;
  std::vector<support::socket_address> added_seeds_;
};

}  // namespace siskinrack::node

#endif  // SISKINRACK_LIB_NODE_MEMBERSHIP_SERVICE_H_
