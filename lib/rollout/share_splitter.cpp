#include "siskinrack/rollout/share_splitter.h"

#include <algorithm>
#include <utility>

#include "siskinrack/rollout/judges.h"

namespace siskinrack::rollout {
namespace {

/// Largest credit of a route. More would send a burst to the version after a time in which it had
/// no upstream that could take requests.
constexpr double kMaxCredit = 2;

}  // namespace

bool share_splitter::Take(std::uint64_t route) {
  double& credit = credits_[route];
  if (credit < 1) return false;
  credit -= 1;
  return true;
}

void share_splitter::Return(std::uint64_t route) {
  double& credit = credits_[route];
  credit = std::min(kMaxCredit, credit + 1);
}

void share_splitter::OnArrival(std::uint64_t route) {
  double& credit = credits_[route];
  credit = std::min(kMaxCredit, credit + share_);
}

std::size_t ComputeFocusSize(std::size_t other_upstreams, double share) {
  const double equal_load =
      kFocusedFraction * share / (1 - share) * static_cast<double>(other_upstreams);
  return std::max<std::size_t>(1, static_cast<std::size_t>(equal_load));
}

std::vector<std::size_t> ChooseFocus(std::span<const std::string> ids, std::size_t count,
                                     std::uint64_t order_revision, std::uint64_t turn) {
  std::vector<std::pair<std::uint64_t, std::size_t>> ranked;
  for (std::size_t i = 0; i < ids.size(); ++i)
    ranked.emplace_back(HashStable(ids[i], order_revision), i);
  std::sort(ranked.begin(), ranked.end());
  std::vector<std::size_t> focus;
  for (std::size_t i = 0; i < std::min(count, ranked.size()); ++i) {
    focus.push_back(ranked[(turn * count + i) % ranked.size()].second);
  }
  return focus;
}

}  // namespace siskinrack::rollout
