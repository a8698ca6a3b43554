#ifndef SISKINRACK_LIB_NODE_WATCHER_SERVICE_H_
#define SISKINRACK_LIB_NODE_WATCHER_SERVICE_H_

#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "config_service.h"
#include "node_context.h"
#include "siskinrack/distribution/removal_completion.h"
#include "siskinrack/distribution/watcher_lease.h"

namespace siskinrack::node {

/// Competes for the watcher lease of the failure domain. The holder watches the platform's head,
/// publishes the objects `members/<domain>` and `status/<domain>`, and in the first domain
/// completes removals. Also finds peers through the platform for a node whose seeds don't answer.
class watcher_service {
 public:
  /// Runs with the addresses of members that the platform listed.
  using join_listener = std::function<void(const std::vector<support::socket_address>& peers)>;

  watcher_service(node_context& context, config_service& configs, join_listener on_join);

  /// Starts the loops on the first runtime thread.
  void Start();

  [[nodiscard]] bool IsWatcher() const;

 private:
  /// An object that only the holder of the lease writes.
  struct published_object {
    std::string value;
    std::optional<std::uint64_t> version;
    distribution::time_point written{};
  };

  void LeaseLoop();
  void WatchLoop();
  void DutyLoop();
  void JoinLoop();
  void Call(const distribution::watcher_lease::call& call);
  void Read();
  void Write(const distribution::watcher_lease::call& call);
  void LogTransition();
  void WatchOnce();
  void Publish(const std::string& name, std::string value);
  void CompleteRemoval(const std::vector<membership::member_record>& members);
  [[nodiscard]] std::string MembersText(
      const std::vector<membership::member_record>& members) const;
  [[nodiscard]] std::string StatusText(const std::vector<membership::member_record>& members) const;
  /// Live nodes of this failure domain that may take the lease from its holder.
  [[nodiscard]] std::vector<std::string> Candidates() const;
  [[nodiscard]] std::size_t Rank() const;
  void InformFirstCandidates();
  [[nodiscard]] bool HasPeers() const;

  node_context& context_;
  config_service& configs_;
  join_listener on_join_;
  std::string lease_name_;
  mutable std::mutex mutex_;
  distribution::watcher_lease lease_;
  bool was_holder_ = false;
  /// Used by the loops of the first thread only.
  std::uint64_t watch_revision_ = 0;
  std::uint64_t head_object_version_ = 0;
  std::uint64_t head_config_version_ = 0;
  distribution::removal_completion removal_;
  std::map<std::string, published_object> published_;
};

}  // namespace siskinrack::node

#endif  // SISKINRACK_LIB_NODE_WATCHER_SERVICE_H_
