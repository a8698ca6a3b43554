#ifndef SISKINRACK_LIB_MESH_FRESHNESS_KEEPER_H_
#define SISKINRACK_LIB_MESH_FRESHNESS_KEEPER_H_

#include <functional>
#include <vector>

#include "mesh_context.h"
#include "siskinrack/wire/siskinrack_generated.h"

namespace siskinrack::mesh {

/// Keeps the proof of the active configuration young, so that API keys may be used. A few provers
/// in each failure domain read the store; the other nodes ask them for the age of their proof. Does
/// nothing unless removed keys have a bound and the configuration has tenants.
class freshness_keeper {
 public:
  /// `read_store` reads the store once and records the proof in `context`; `set_proving` makes the
  /// watch of the configuration return a proof about once a second, or no longer.
  freshness_keeper(mesh_context& context, std::function<void()> read_store,
                   std::function<void(bool)> set_proving)
      : context_(context),
        read_store_(std::move(read_store)),
        set_proving_(std::move(set_proving)) {}

  /// Runs until the process ends, in a fiber of its own.
  void Run();

  /// Returns the age of this node's proof for another node.
  [[nodiscard]] wire::freshness_reply_t MakeReply() const;

 private:
  [[nodiscard]] bool IsActive() const;
  [[nodiscard]] bool IsYounger(std::chrono::milliseconds limit) const;
  /// Returns the provers of the own failure domain, the first in rendezvous order.
  std::vector<support::socket_address> FindProvers() const;
  /// Asks a prover for its proof. Returns true if the own proof is young afterwards.
  bool Ask(const support::socket_address& prover);
  /// Returns true if this node is one of the provers.
  bool UpdateRole(const std::vector<support::socket_address>& provers);
  void Refresh(const std::vector<support::socket_address>& provers);

  mesh_context& context_;
  std::function<void()> read_store_;
  std::function<void(bool)> set_proving_;
  bool proving_ = false;
  /// Number of replies in a row with a newer version than the active one.
  int newer_replies_ = 0;
  net::steady_time last_own_read_{};
};

}  // namespace siskinrack::mesh

#endif  // SISKINRACK_LIB_MESH_FRESHNESS_KEEPER_H_
