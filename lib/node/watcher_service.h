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

/// Competes for the watcher lease of the failure domain. The holder watches the head object on the
/// platform and publishes the objects `members/<domain>` and `status/<domain>`; the holder of the
/// first domain also completes removals. Also finds peers through the platform for a node whose
/// seeds do not reply.
class watcher_service {
 public:
  /// Called with the addresses of members that the platform lists.
  using join_listener = std::function<void(const std::vector<support::socket_address>& peers)>;

  watcher_service(node_context& context, config_service& configs, join_listener on_join);

  /// Starts the loops on the first runtime thread.
  void Start();

  /// Returns true if this node holds the watcher lease.
  [[nodiscard]] bool IsWatcher() const;

 private:
  /// Represents an object on the platform that only the lease holder writes. `version` is missing
  /// if it must be read before the next write.
  struct published_object {
    std::string value;
    std::optional<std::uint64_t> version;
    distribution::time_point written_at{};
  };

  /// Acquires and renews the lease.
  void RunLeaseLoop();
  /// Watches the head object while this node holds the lease.
  void RunWatchLoop();
  /// Publishes objects and completes removals while this node holds the lease.
  void RunHolderTaskLoop();
  /// Finds peers through the platform while this node has none.
  void RunJoinLoop();
  void ExecuteCall(const distribution::watcher_lease::call& call);
  void ReadLease();
  void WriteLease(const distribution::watcher_lease::call& call);
  /// Publishes the report of the lease to peers and logs when this node becomes or stops being its
  /// holder.
  void UpdateHolderState();
  void WatchOnce();
  void Publish(const std::string& name, std::string value);
  void CompleteRemoval(const std::vector<membership::member_record>& members);
  /// Returns the value of the object `members/<domain>`.
  [[nodiscard]] std::string MakeMembersObject(
      const std::vector<membership::member_record>& members) const;
  /// Returns the value of the object `status/<domain>`.
  [[nodiscard]] std::string MakeStatusObject(
      const std::vector<membership::member_record>& members) const;
  /// Returns the ids of the live nodes of this failure domain, without the holder of the lease.
  [[nodiscard]] std::vector<std::string> ListCandidates() const;
  /// Returns the rank of this node among the candidates for the lease.
  [[nodiscard]] std::size_t ComputeRank() const;
  /// Sends a report of the renewal to the candidates with the first ranks.
  void InformFirstCandidates();
  [[nodiscard]] bool HasPeers() const;

  node_context& context_;
  config_service& configs_;
  join_listener on_join_;
  std::string lease_name_;
  mutable std::mutex mutex_;
  distribution::watcher_lease lease_;
  bool was_holder_ = false;
  /// The members below are used only by loops on the first runtime thread.
  std::uint64_t watch_revision_ = 0;
  /// Version of the head object on the platform as last watched, and of the configuration in it.
  std::uint64_t head_object_version_ = 0;
  std::uint64_t head_config_version_ = 0;
  distribution::removal_completion removal_;
  std::map<std::string, published_object> published_;
};

}  // namespace siskinrack::node

#endif  // SISKINRACK_LIB_NODE_WATCHER_SERVICE_H_
