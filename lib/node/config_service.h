#ifndef SISKINRACK_LIB_NODE_CONFIG_SERVICE_H_
#define SISKINRACK_LIB_NODE_CONFIG_SERVICE_H_

#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

#include "node_context.h"

namespace siskinrack::node {

/// Carries configuration: watches the platform, takes versions over and passes them on to peers.
class config_service {
 public:
  /// Runs after a version took effect.
  using activation_listener = std::function<void(std::uint64_t version)>;

  config_service(node_context& context, activation_listener on_active)
      : context_(context), on_active_(std::move(on_active)) {}

  /// Starts the watch loop on the first runtime thread.
  void Start();

  /// Handles the configuration messages of peers; returns the reply if the message has one.
  std::optional<wire::envelope_t> Handle(const wire::envelope_t& message);

  /// A peer says that it holds `version`; fetches it if it's newer than the one in force.
  void OnPeerVersion(const support::socket_address& peer, std::uint64_t version);

  /// Takes over a configuration from the operator program, the platform or a peer. Adds the
  /// problems of a bad one to `problems`.
  void Offer(std::string_view config_json, std::string_view source, support::findings& problems);

  /// Findings of the newest rejected version, empty if none was rejected.
  [[nodiscard]] std::string last_rejection() const;

 private:
  void WatchLoop();
  [[nodiscard]] bool IsWatcher() const;
  std::uint64_t WatchOnce(std::uint64_t revision);
  void NotifyPeers();

  node_context& context_;
  activation_listener on_active_;
  mutable std::mutex mutex_;
  std::string last_rejection_;
};

}  // namespace siskinrack::node

#endif  // SISKINRACK_LIB_NODE_CONFIG_SERVICE_H_
