#ifndef SISKINRACK_ROLLOUT_SHARE_SPLITTER_H_
#define SISKINRACK_ROLLOUT_SHARE_SPLITTER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <vector>

namespace siskinrack::rollout {

/// Selects which requests of one entry node go to the version under trial. Error diffusion by
/// route: the selected requests are never more than the share of those that have arrived at
/// upstreams, so the bound holds for the sum over all nodes whatever the load does, and a node that
/// restarts only forgets unused credit. Not thread-safe.
class share_splitter {
 public:
  explicit share_splitter(double share) : share_(share) {}

  /// Returns true if the next request of a route goes to the version under trial, and takes its
  /// credit.
  bool Take(std::uint64_t route);
  /// Gives the credit of a selected request back that did not arrive at an upstream.
  void Return(std::uint64_t route);
  /// Records that a request of a route arrived at an upstream of any version. Only these count:
  /// requests that the mesh refuses itself don't reach the service.
  void OnArrival(std::uint64_t route);

 private:
  double share_;
  std::map<std::uint64_t, double> credits_;
};

/// Fraction of the requests for the version under trial that go to its upstreams in focus. The
/// others are spread over all its upstreams, so that each of them is tried.
inline constexpr double kFocusedFraction = 0.75;

/// Returns the number of upstreams of the version under trial that are in focus, so that each gets
/// at least the load of an upstream of the other versions: faults that appear only under load show
/// during the trial.
std::size_t ComputeFocusSize(std::size_t other_upstreams, double share);

/// Returns the indices of the upstreams in focus: `count` of `ids`, by rendezvous hash with the
/// order's revision, so that all nodes agree. The focus moves on with `turn`, so that the trouble
/// of single upstreams doesn't decide.
std::vector<std::size_t> ChooseFocus(std::span<const std::string> ids, std::size_t count,
                                     std::uint64_t order_revision, std::uint64_t turn);

}  // namespace siskinrack::rollout

#endif  // SISKINRACK_ROLLOUT_SHARE_SPLITTER_H_
