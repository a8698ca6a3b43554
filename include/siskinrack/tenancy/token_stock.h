#ifndef SISKINRACK_TENANCY_TOKEN_STOCK_H_
#define SISKINRACK_TENANCY_TOKEN_STOCK_H_

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <deque>

#include "siskinrack/support/boot_clock.h"

namespace siskinrack::tenancy {

/// Holds the tokens of one tenant that an entry node has been granted and not used yet.
/// Deterministic: the time is an argument. Not thread-safe.
class token_stock {
 public:
  using time_point = support::boot_clock::time_point;

  /// Records a request of the tenant, which the demand is estimated from.
  void OnRequest(time_point now) {
    Decay(now);
    recent_ += 1;
  }

  /// Takes a token; returns false if there is none that is still valid.
  bool Take(time_point now) {
    while (!batches_.empty() && (batches_.front().count == 0 || batches_.front().expiry <= now)) {
      expired_ += batches_.front().count;
      batches_.pop_front();
    }
    if (batches_.empty()) return false;
    --batches_.front().count;
    return true;
  }

  /// Adds granted tokens, valid until `expiry`.
  void Add(std::uint32_t count, time_point expiry) {
    if (count > 0) batches_.push_back({count, expiry});
  }

  /// Returns how many tokens to request: one for the request that waits, and those that are
  /// expected to be used within half of `validity`. Tokens that expire unused are lost to the
  /// tenant.
  [[nodiscard]] std::uint32_t EstimateDemand(time_point now, std::chrono::milliseconds validity) {
    Decay(now);
    // Without the request that waits: one request alone is no rate.
    const double per_ms = std::max(0.0, recent_ - 1) / static_cast<double>(kMemory.count());
    return 1 + static_cast<std::uint32_t>(per_ms * static_cast<double>(validity.count()) / 2);
  }

  /// Returns the number of tokens that expired unused.
  [[nodiscard]] std::uint64_t expired() const { return expired_; }

 private:
  struct batch {
    std::uint32_t count = 0;
    time_point expiry;
  };

  /// Time constant of the estimate: long enough for a few requests of a busy tenant.
  static constexpr std::chrono::milliseconds kMemory{1'000};

  void Decay(time_point now) {
    const std::chrono::duration<double, std::milli> passed = now - decayed_;
    recent_ *= std::exp(-passed.count() / static_cast<double>(kMemory.count()));
    decayed_ = now;
  }

  std::deque<batch> batches_;
  double recent_ = 0;
  time_point decayed_{};
  std::uint64_t expired_ = 0;
};

}  // namespace siskinrack::tenancy

#endif  // SISKINRACK_TENANCY_TOKEN_STOCK_H_
