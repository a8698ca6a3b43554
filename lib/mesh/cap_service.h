#ifndef SISKINRACK_LIB_MESH_CAP_SERVICE_H_
#define SISKINRACK_LIB_MESH_CAP_SERVICE_H_

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "mesh_context.h"
#include "siskinrack/tenancy/cap_node.h"
#include "siskinrack/wire/siskinrack_generated.h"

namespace siskinrack::mesh {

/// Calls of a cap_service to the rest of the node.
struct cap_actions {
  /// Removes a node that doesn't reply from the list of those that may own caps.
  std::function<void(const std::string& node)> suspend;
  /// Reads that list from the store.
  std::function<void()> read_nodes;
};

/// Connects a cap_node to this node.
class cap_peers {
 public:
  cap_peers(mesh_context& context, cap_actions actions)
      : context_(context), actions_(std::move(actions)) {}

  static net::steady_time SteadyNow() { return std::chrono::steady_clock::now(); }
  static support::boot_clock::time_point BootNow() { return support::boot_clock::now(); }
  [[nodiscard]] std::optional<support::boot_clock::time_point> ProvedAt() const;
  [[nodiscard]] std::string Self() const { return context_.settings.peer_address.ToText(); }
  [[nodiscard]] const tenancy::node_history& Nodes() const { return context_.cap_nodes; }
  [[nodiscard]] static std::vector<std::string> Rank(const std::string& shard,
                                                     std::vector<std::string> nodes,
                                                     std::size_t count);
  [[nodiscard]] std::optional<tenancy::usage_cap> FindCap(const std::string& tenant) const;
  [[nodiscard]] tenancy::cap_tolerance Tolerance() const { return context_.settings.caps; }
  tenancy::cap_exchange Ask(const std::string& node, const tenancy::cap_demand& demand,
                            net::steady_time deadline);
  /// Logs, at most once a second for each shard, what this node granted and on what knowledge: two
  /// nodes that grant tokens of one shard at the same time differ in their rank or its age.
  void OnGranted(const std::string& shard, std::uint32_t tokens, std::size_t rank);
  void OnAcquired(const std::string& shard, const std::string& way);
  void OnYielded(const std::string& shard, const std::string& node);
  void Suspend(const std::string& node) { actions_.suspend(node); }
  void ReadNodes();
  /// Logs that this node has lost or regained the proofs that it needs to grant tokens.
  void OnTouch(bool in_touch);
  /// Forgets the grants of shards for which `is_removed` returns true.
  template <typename IsRemoved>
  void Discard(IsRemoved is_removed) {
    std::erase_if(granted_, [&](const auto& entry) { return is_removed(entry.first); });
  }

 private:
  /// Tokens granted of one shard that aren't logged yet.
  struct unlogged_grants {
    std::uint64_t tokens = 0;
    net::steady_time logged_at{};
  };

  [[nodiscard]] std::size_t CountNodes() const;
  /// Returns the version of the list of nodes, by which lists in the logs of nodes are compared.
  [[nodiscard]] std::uint64_t FindVersion() const;

  mesh_context& context_;
  cap_actions actions_;
  net::steady_time nodes_read_at_{};
  std::map<std::string, unlogged_grants> granted_;
};

/// Keeps the usage caps of tenants over all nodes. The entry nodes request tokens from the owner of
/// a cap, one of the nodes that are first by rendezvous hash of the tenant.
class cap_service {
 public:
  using node = tenancy::cap_node<cap_peers>;

  cap_service(mesh_context& context, cap_actions actions)
      : context_(context), peers_(context, std::move(actions)), node_(peers_) {}

  /// Watches for suspensions of this process until it ends, in a fiber of its own.
  void Run();

  /// Takes a token for one request of the tenant, if it has a cap. May suspend the calling fiber,
  /// at most until `deadline`.
  node::result Acquire(const tenancy::tenant& tenant, net::steady_time deadline) {
    return node_.Acquire(std::string(tenant.name), deadline);
  }

  /// Answers the demands of another node. May suspend the calling fiber.
  wire::token_reply_t OnRequest(const wire::token_request_t& request);

  /// Discards the state of tenants that the active configuration doesn't have.
  void OnConfiguration();

  [[nodiscard]] const std::map<std::string, node::counts>& counts_by_tenant() const {
    return node_.counts_by_tenant();
  }

 private:
  mesh_context& context_;
  cap_peers peers_;
  node node_;
  bool in_touch_ = false;
};

}  // namespace siskinrack::mesh

#endif  // SISKINRACK_LIB_MESH_CAP_SERVICE_H_
