#ifndef SISKINRACK_ROLLOUT_JUDGES_H_
#define SISKINRACK_ROLLOUT_JUDGES_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace siskinrack::rollout {

/// Number of nodes that receive the reports of an order. The second one has the counts when the
/// first one ends.
inline constexpr std::size_t kJudges = 2;

/// Returns a hash that is the same on all nodes.
std::uint64_t HashStable(std::string_view text, std::uint64_t seed);

/// Returns the judges of an order among `nodes`, the first by rendezvous hash of the order and the
/// node. No lease has to expire if a judge ends: the others drop it from `nodes`.
std::vector<std::string> ChooseJudges(std::span<const std::string> nodes,
                                      std::uint64_t order_revision);

}  // namespace siskinrack::rollout

#endif  // SISKINRACK_ROLLOUT_JUDGES_H_
