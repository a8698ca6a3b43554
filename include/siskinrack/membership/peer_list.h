#ifndef SISKINRACK_MEMBERSHIP_PEER_LIST_H_
#define SISKINRACK_MEMBERSHIP_PEER_LIST_H_

#include <optional>
#include <random>
#include <string>
#include <vector>

namespace siskinrack::membership {

/// Live peers in a shuffled order that visits each of them once per round. Not safe for use from
/// several threads.
class peer_list {
 public:
  /// Adds a peer at a random place in the rest of the round; a peer that is known keeps its place.
  void Add(const std::string& node_id, bool own_domain, std::mt19937_64& random);
  void Remove(const std::string& node_id);

  /// Next peer of the own failure domain, or of another one; falls back to the other kind if there
  /// is none.
  std::optional<std::string> Next(bool own_domain, std::mt19937_64& random);
  /// Up to `count` distinct random peers other than `except`.
  std::vector<std::string> Sample(std::size_t count, const std::string& except,
                                  std::mt19937_64& random) const;
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
