#include "siskinrack/membership/peer_list.h"

#include <algorithm>

namespace siskinrack::membership {

std::string peer_list::rotation::Next(std::mt19937_64& random) {
  if (position >= ids.size()) {
    std::shuffle(ids.begin(), ids.end(), random);
    position = 0;
  }
  return ids[position++];
}

void peer_list::rotation::Remove(const std::string& node_id) {
  const auto found = std::find(ids.begin(), ids.end(), node_id);
  if (found == ids.end()) return;
  // The order is kept, so that no peer is skipped or visited twice in this round.
  if (static_cast<std::size_t>(found - ids.begin()) < position) --position;
  ids.erase(found);
}

void peer_list::Add(const std::string& node_id, bool own_domain, std::mt19937_64& random) {
  rotation& list = own_domain ? own_ : other_;
  rotation& other = own_domain ? other_ : own_;
  other.Remove(node_id);
  if (std::find(list.ids.begin(), list.ids.end(), node_id) != list.ids.end()) return;
  // The position is random, so that peers that join as a group are not visited in the order of
  // joining.
  const std::size_t insert_position =
      list.position + random() % (list.ids.size() - list.position + 1);
  list.ids.insert(list.ids.begin() + static_cast<std::ptrdiff_t>(insert_position), node_id);
}

void peer_list::Remove(const std::string& node_id) {
  own_.Remove(node_id);
  other_.Remove(node_id);
}

std::optional<std::string> peer_list::Next(bool own_domain, std::mt19937_64& random) {
  if (size() == 0) return std::nullopt;
  rotation& first = own_domain ? own_ : other_;
  rotation& second = own_domain ? other_ : own_;
  return first.ids.empty() ? second.Next(random) : first.Next(random);
}

std::vector<std::string> peer_list::Sample(std::size_t count, const std::string& except,
                                           std::mt19937_64& random) const {
  std::vector<std::string> chosen;
  const std::size_t total = size();
  // In a large list, drawing again is cheaper than shuffling a copy. A small list may have fewer
  // than `count` peers, so the draws are limited.
  constexpr std::size_t kDrawsPerPeer = 4;
  for (std::size_t attempt = 0;
       attempt < kDrawsPerPeer * count && total > 0 && chosen.size() < count; ++attempt) {
    const std::size_t index = random() % total;
    const std::string& id =
        index < own_.ids.size() ? own_.ids[index] : other_.ids[index - own_.ids.size()];
    const bool already_chosen = std::find(chosen.begin(), chosen.end(), id) != chosen.end();
    if (!already_chosen && id != except) chosen.push_back(id);
  }
  return chosen;
}

}  // namespace siskinrack::membership
