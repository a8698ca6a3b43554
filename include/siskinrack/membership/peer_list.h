#ifndef SISKINRACK_MEMBERSHIP_PEER_LIST_H_
#define SISKINRACK_MEMBERSHIP_PEER_LIST_H_

#include <optional>
#include <random>
#include <string>
#include <vector>

namespace siskinrack::membership {

/// Holds the live peers in two shuffled orders, one for the failure domain of this node and one for
/// the others. Each order visits each of its peers once per round. Not thread-safe.
class peer_list {
 public:
  /// Inserts a peer at a random position among those of its order not visited yet in this round.
  /// `own_domain` is true if the peer is in the failure domain of this node. A peer that was added
  /// before with the same `own_domain` keeps its position.
  void Add(const std::string& node_id, bool own_domain, std::mt19937_64& random);
  /// Removes a peer, if the list contains it.
  void Remove(const std::string& node_id);

  /// Returns the next peer of the own failure domain or, without `own_domain`, of another one.
  /// Falls back to the other kind if there is none, and returns std::nullopt if the list is empty.
  std::optional<std::string> Next(bool own_domain, std::mt19937_64& random);
  /// Returns up to `count` distinct random peers other than `except`. The result may be shorter
  /// than `count` even if there are enough peers.
  std::vector<std::string> Sample(std::size_t count, const std::string& except,
                                  std::mt19937_64& random) const;
  /// Returns the number of peers.
  [[nodiscard]] std::size_t size() const { return own_.ids.size() + other_.ids.size(); }

 private:
  struct rotation {
    std::vector<std::string> ids;
    std::size_t position = 0;

    std::string Next(std::mt19937_64& random);
    void Remove(const std::string& node_id);
  };

  rotation own_;
  rotation other_;
};

}  // namespace siskinrack::membership

#endif  // SISKINRACK_MEMBERSHIP_PEER_LIST_H_
