#ifndef SISKINRACK_ROUTING_RETRY_SHARE_H_
#define SISKINRACK_ROUTING_RETRY_SHARE_H_

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>

namespace siskinrack::routing {

/// Bound of the platform on requests that reach a second upstream, over all nodes.
struct retry_bound {
  /// Retries allowed for each request.
  double ratio = 0.2;
  /// Retries allowed besides, in one window over all nodes.
  double extra = 0;
  std::chrono::milliseconds window{10'000};
};

/// This node's part of the retry bound: the ratio of its own requests and an equal share of the
/// extra ones. Every node keeps to its part, so the sum keeps the bound without an exchange between
/// nodes. Pure; not thread-safe.
class retry_share {
 public:
  using time_point = std::chrono::steady_clock::time_point;

  explicit retry_share(retry_bound bound) : bound_(bound) {}

  /// Counts a request that isn't a retry.
  void AddRequest(time_point now);
  /// Takes one retry; false if this node's part of the window is used up. `nodes` is the number of
  /// nodes that share the bound.
  bool TakeRetry(std::size_t nodes, time_point now);

 private:
  static constexpr std::size_t kBuckets = 20;
  struct bucket {
    std::int64_t period = -1;
    double requests = 0;
    double retries = 0;
  };

  bucket& Current(time_point now);
  [[nodiscard]] std::int64_t Period(time_point now) const;

  retry_bound bound_;
  std::array<bucket, kBuckets + 1> buckets_{};
};

}  // namespace siskinrack::routing

#endif  // SISKINRACK_ROUTING_RETRY_SHARE_H_
