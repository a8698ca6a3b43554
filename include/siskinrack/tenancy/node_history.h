#ifndef SISKINRACK_TENANCY_NODE_HISTORY_H_
#define SISKINRACK_TENANCY_NODE_HISTORY_H_

#include <algorithm>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "siskinrack/support/boot_clock.h"

namespace siskinrack::tenancy {

/// One state of the list of the nodes that may own usage caps.
struct node_list {
  /// Names of the nodes, sorted.
  std::vector<std::string> nodes;
  /// Identifies the state of the records in the store that the list was made of. Two lists with the
  /// same version are one that did not change in between.
  std::uint64_t version = 0;
};

/// Holds the list of the nodes that may own usage caps, as the store has it, with the time for
/// which it is proved, and the lists before it as long as another node may act on them. Unlike the
/// endpoints that calls are routed by, a list without a young proof is never acted on: two nodes
/// with different lists each take themselves for the owner of a cap. Deterministic: the times are
/// arguments. Not thread-safe.
class node_history {
 public:
  using time_point = support::boot_clock::time_point;

  /// Time after the request of a proof for which a node may act on the list that it proves. A list
  /// that replaced it that long ago is in force on all nodes.
  static constexpr std::chrono::milliseconds kMaxProofAge{3'000};

  /// One state of the list.
  struct entry {
    std::vector<std::string> nodes;
    std::uint64_t version = 0;
    /// Increases with each entry.
    std::uint64_t generation = 0;
    /// Time at which this node received the list: every proof that is requested later, by any node,
    /// shows this list or a newer one.
    time_point learned_at;
    /// Request time of the newest answer of the store that had this list.
    time_point proved_at;

    [[nodiscard]] bool Contains(const std::string& node) const {
      return std::binary_search(nodes.begin(), nodes.end(), node);
    }
  };

  /// Records that `list` was the one in the store at or after `requested_at`. Ignores a proof that
  /// is older than the present one. After a time without a proof, earlier lists are forgotten
  /// unless the list has the same version: there may have been others in between.
  void OnProof(node_list list, time_point requested_at, time_point now) {
    if (!entries_.empty()) {
      entry& newest = entries_.back();
      if (requested_at <= newest.proved_at) return;
      const bool continuous =
          now - newest.proved_at < kMaxProofAge || newest.version == list.version;
      if (continuous && newest.nodes == list.nodes) {
        newest.proved_at = requested_at;
        newest.version = list.version;
        return Forget(now);
      }
      if (!continuous) entries_.clear();
    }
    entries_.push_back({std::move(list.nodes), list.version, ++generation_, now, requested_at});
    Forget(now);
  }

  /// Returns the newest list, or null without a proof.
  [[nodiscard]] const entry* newest() const {
    return entries_.empty() ? nullptr : &entries_.back();
  }
  /// Returns the newest list and those that were replaced in the last kMaxProofAge, oldest first.
  [[nodiscard]] const std::deque<entry>& entries() const { return entries_; }

  /// Returns the request time of the newest proof; empty if there is none.
  [[nodiscard]] std::optional<time_point> proved_at() const {
    if (entries_.empty()) return std::nullopt;
    return entries_.back().proved_at;
  }

 private:
  void Forget(time_point now) {
    while (entries_.size() > 1 && now - entries_[1].learned_at > kMaxProofAge) entries_.pop_front();
  }

  std::deque<entry> entries_;
  std::uint64_t generation_ = 0;
};

}  // namespace siskinrack::tenancy

#endif  // SISKINRACK_TENANCY_NODE_HISTORY_H_
