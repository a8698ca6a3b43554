#ifndef SISKINRACK_ROUTING_RETRY_SHARE_H_
#define SISKINRACK_ROUTING_RETRY_SHARE_H_

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>

namespace siskinrack::routing {

/// Limit set by the platform on the number of requests that reach a second upstream, over all
/// nodes.
struct retry_bound {
  /// Retries allowed per request of a window.
  double ratio = 0.2;
  /// Additional retries allowed in one window over all nodes.
  double extra = 0;
  /// Length of the sliding window over which requests and retries are counted.
  std::chrono::milliseconds window{10'000};
};

/// Enforces this node's share of the retry bound: the ratio applied to its own requests plus an
/// equal share of the additional retries. If every node keeps to its share, the sum keeps the bound
/// without communication between nodes. Only half of the share is used; the rest is a reserve for
/// retries that fall into a later window than their request and for nested calls. Deterministic:
/// the time is an argument. Not thread-safe.
class retry_share {
 public:
  using time_point = std::chrono::steady_clock::time_point;

  explicit retry_share(retry_bound bound) : bound_(bound) {}

  /// Counts a request that is not a retry. `nodes` is the number of nodes that are known to share
  /// the bound.
  void AddRequest(std::size_t nodes, time_point now);
  /// Consumes one retry; returns false if this node's share of the window is exhausted.
  bool TakeRetry(time_point now);

 private:
  /// Number of periods in a window. One more is stored and counted, because the newest one is
  /// incomplete.
  static constexpr std::size_t kBuckets = 20;
  struct bucket {
    /// Index of the period that the counts belong to.
    std::int64_t period = -1;
    double requests = 0;
    double retries = 0;
  };

  bucket& CurrentBucket(time_point now);
  [[nodiscard]] std::int64_t PeriodAt(time_point now) const;

  retry_bound bound_;
  /// Largest number of nodes known in some time, and when it was last known. A node whose upstream
  /// is down is not known, but still sends requests.
  std::size_t nodes_ = 1;
  time_point nodes_known_at_;
  std::array<bucket, kBuckets + 1> buckets_{};
};

}  // namespace siskinrack::routing

#endif  // SISKINRACK_ROUTING_RETRY_SHARE_H_
