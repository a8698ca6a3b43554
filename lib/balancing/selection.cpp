#include "siskinrack/balancing/selection.h"

namespace siskinrack::balancing {

selection Choose(std::span<const candidate> candidates, time_point /*now*/, std::uint64_t random,
                 std::optional<std::size_t> /*exclude*/) {
  if (candidates.empty()) return {};
  return {random % candidates.size(), {}};
}

}  // namespace siskinrack::balancing
