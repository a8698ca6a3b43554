#ifndef SISKINRACK_LIB_MESH_FRESHNESS_KEEPER_H_
#define SISKINRACK_LIB_MESH_FRESHNESS_KEEPER_H_

#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "mesh_context.h"
#include "siskinrack/wire/siskinrack_generated.h"

namespace siskinrack::mesh {

/// Calls of a freshness_keeper to what this node reads from the store.
struct freshness_sources {
  /// Reads the configuration once and records the proof in the context. Returns false if the store
  /// doesn't answer.
  std::function<bool()> read_configuration;
  /// Does the same for the list of the nodes that may own usage caps.
  std::function<bool()> read_nodes;
  /// Makes the watch of the configuration, and that of the nodes, return a proof about once a
  /// second, or no longer.
  std::function<void(bool configuration, bool nodes)> set_proving;
};

/// Keeps the proof of the active configuration young, so that API keys may be used, and that of the
/// list of the nodes that may own usage caps. A few provers in each failure domain read the store;
/// the other nodes ask them for the age of their proofs, and for the list if theirs is another one.
/// Does nothing unless the configuration has tenants, and removed keys have a bound or a tenant has
/// a cap.
class freshness_keeper {
 public:
  freshness_keeper(mesh_context& context, freshness_sources sources)
      : context_(context), sources_(std::move(sources)) {}

  /// Runs until the process ends, in a fiber of its own.
  void Run();

  /// Returns the ages of this node's proofs for another node.
  [[nodiscard]] wire::freshness_reply_t MakeReply(const wire::freshness_request_t& request) const;

 private:
  [[nodiscard]] bool IsActive() const;
  /// Returns true if a tenant has a usage cap, so that the list of nodes must be proved.
  [[nodiscard]] bool HasCaps() const;
  [[nodiscard]] bool IsConfigurationYounger(std::chrono::milliseconds limit) const;
  /// Returns true if the proof of the list of nodes is younger, or not needed.
  [[nodiscard]] bool AreNodesYounger(std::chrono::milliseconds limit) const;
  [[nodiscard]] bool AreYounger(std::chrono::milliseconds limit) const {
    return IsConfigurationYounger(limit) && AreNodesYounger(limit);
  }
  /// Returns the provers of the own failure domain, the first in rendezvous order.
  std::vector<support::socket_address> FindProvers() const;
  /// Returns true if a prover did not reply recently, or had no young proof.
  [[nodiscard]] bool IsUseless(const support::socket_address& prover) const;
  /// Asks a prover for its proofs. Returns true if the own ones are young afterwards.
  bool Ask(const support::socket_address& prover);
  void OnConfigurationProof(const wire::freshness_reply_t& reply,
                            support::boot_clock::time_point requested_at);
  void OnNodesProof(const wire::freshness_reply_t& reply,
                    support::boot_clock::time_point requested_at);
  void UpdateRole(const std::vector<support::socket_address>& provers);
  void Refresh(const std::vector<support::socket_address>& provers);

  mesh_context& context_;
  freshness_sources sources_;
  /// Roles of this node as a prover of the configuration and of the list of nodes.
  bool proving_ = false;
  bool proving_nodes_ = false;
  /// Number of replies in a row with a newer version than the active one.
  int newer_replies_ = 0;
  net::steady_time last_own_read_{};
  std::map<support::socket_address, net::steady_time> useless_until_;
  /// Time of the first check; empty while this object does nothing.
  std::optional<net::steady_time> active_since_;
};

}  // namespace siskinrack::mesh

#endif  // SISKINRACK_LIB_MESH_FRESHNESS_KEEPER_H_
