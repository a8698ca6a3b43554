#ifndef SISKINRACK_TENANCY_USAGE_CAP_H_
#define SISKINRACK_TENANCY_USAGE_CAP_H_

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <optional>

namespace siskinrack::tenancy {

/// Specifies by how much a tenant may exceed its usage cap: in each sliding window, all nodes
/// together run at most (rate x window + burst) x (1 + excess) + slack of its requests.
struct cap_tolerance {
  double window_s = 5;
  double excess = 0;
  double slack = 0;

  bool operator==(const cap_tolerance&) const = default;
};

/// Represents the usage cap of one tenant.
struct usage_cap {
  double per_second = 0;
  double burst = 0;

  bool operator==(const usage_cap&) const = default;
  [[nodiscard]] bool limited() const { return per_second > 0; }
};

/// Divides the tolerance of one cap among the causes that exceed it.
struct cap_plan {
  /// Depth of the owner's bucket.
  double depth = 0;
  /// Time until which granted tokens may be used: tokens granted before a window and used in it
  /// exceed the cap by at most rate x validity.
  std::chrono::milliseconds validity{0};
};

/// Plans the use of the tolerance: a few tokens deepen the bucket, which lets small tenants, whose
/// requests come irregularly, use their cap; a tenth remains; the rest is for tokens that are used
/// after the window in which they were granted.
inline cap_plan PlanCap(const usage_cap& cap, const cap_tolerance& tolerance) {
  constexpr double kUsedShare = 0.9;
  constexpr double kDepthShare = 0.3;
  // More tokens are a burst that a larger tenant doesn't notice.
  constexpr double kMaxExtraDepth = 10;
  // The reply of an owner on a busy link takes up to this long.
  constexpr double kMaxValidityMs = 2'000;
  // A reply of another failure domain takes several milliseconds, more on a busy node.
  constexpr double kMinValidityMs = 100;
  constexpr double kMsPerSecond = 1000;
  const double room =
      (cap.per_second * tolerance.window_s + cap.burst) * tolerance.excess + tolerance.slack;
  const double extra = std::min(room * kDepthShare, kMaxExtraDepth);
  const double validity = (room * kUsedShare - extra) / cap.per_second * kMsPerSecond;
  return {.depth = std::max(1.0, cap.burst + extra),
          .validity = std::chrono::milliseconds(
              static_cast<std::int64_t>(std::clamp(validity, kMinValidityMs, kMaxValidityMs)))};
}

/// Returns the number of shards that a cap is divided into. Each has an owner of its own, since one
/// node could not answer a demand for every few requests of a large tenant.
inline std::uint32_t CountShards(const usage_cap& cap) {
  // A node with a tenth of a core answers some hundreds of demands per second, beside its requests.
  constexpr double kRatePerShard = 20;
  constexpr double kMaxShards = 32;
  return static_cast<std::uint32_t>(std::clamp(cap.per_second / kRatePerShard, 1.0, kMaxShards));
}

/// Returns the part of a cap that one of `shards` grants.
inline usage_cap DivideCap(const usage_cap& cap, std::uint32_t shards) {
  return {cap.per_second / shards, cap.burst / shards};
}
/// Returns the part of a tolerance that one of `shards` uses.
inline cap_tolerance DivideTolerance(cap_tolerance tolerance, std::uint32_t shards) {
  tolerance.slack /= shards;
  return tolerance;
}

/// Token bucket of one usage cap, which belongs to the owner of the cap. Starts empty, so that an
/// owner that takes over grants no tokens that the one before it may have granted. Deterministic:
/// the time is an argument. Not thread-safe.
class cap_bucket {
 public:
  using time_point = std::chrono::steady_clock::time_point;

  /// Result of one demand.
  struct grant {
    std::uint32_t tokens = 0;
    /// Time until the next token; 0 if the demand was met.
    std::chrono::milliseconds refill{0};
  };

  /// Starts an empty bucket at `now`.
  explicit cap_bucket(time_point now) : refilled_(now) {}

  /// Returns when tokens were last demanded of this bucket; empty if they never were.
  [[nodiscard]] std::optional<time_point> last_demand() const { return last_demand_; }

  /// Discards all tokens, because another owner may have granted them meanwhile.
  void Empty(time_point now) {
    tokens_ = 0;
    promised_ = 0;
    refilled_ = now;
  }

  /// Grants up to `wanted` tokens under `cap`, which may have changed since the last call: a lower
  /// cap takes effect at once, also on the tokens that were saved up.
  grant Take(const usage_cap& cap, const cap_plan& plan, std::uint32_t wanted, time_point now) {
    const double seconds = std::max(0.0, std::chrono::duration<double>(now - refilled_).count());
    tokens_ = std::min(plan.depth, tokens_ + seconds * cap.per_second);
    promised_ = std::max(0.0, promised_ - seconds * cap.per_second);
    refilled_ = std::max(refilled_, now);
    const auto available = static_cast<std::uint32_t>(std::max(0.0, tokens_));
    grant result{.tokens = std::min(wanted, available)};
    tokens_ -= result.tokens;
    last_demand_ = now;
    if (result.tokens < wanted) {
      constexpr double kMsPerSecond = 1000;
      // Callers that come back at the same time would find one token.
      const double missing = std::max(0.0, 1 - tokens_) + promised_;
      promised_ = std::min(promised_ + 1, cap.per_second * kMaxPromiseSeconds);
      result.refill = std::chrono::milliseconds(
          1 + static_cast<std::int64_t>(missing / cap.per_second * kMsPerSecond));
    }
    return result;
  }

 private:
  /// Refused callers are spread over at most this time: they wait for a fraction of their time
  /// limit of seconds.
  static constexpr double kMaxPromiseSeconds = 1;

  double tokens_ = 0;
  /// Tokens that refused callers were told to come back for.
  double promised_ = 0;
  time_point refilled_;
  std::optional<time_point> last_demand_;
};

}  // namespace siskinrack::tenancy

#endif  // SISKINRACK_TENANCY_USAGE_CAP_H_
