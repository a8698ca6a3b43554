#ifndef SISKINRACK_BALANCING_CALL_PROFILE_H_
#define SISKINRACK_BALANCING_CALL_PROFILE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace siskinrack::balancing {

/// Learns the service time and size of the calls of one route, over all upstreams. Answers the load
/// pattern of routes with very different calls on one service: the mean service time of an endpoint
/// does not tell how long a short call takes there. Not thread-safe.
class call_profile {
 public:
  /// Records an answered call. `kilobytes` is the size of the request and its answer.
  void Record(std::chrono::nanoseconds service, double kilobytes) {
    const double weight =
        samples_ < kWarmUpSamples ? 1.0 / static_cast<double>(++samples_) : 1.0 / kWarmUpSamples;
    service_ns_ += (static_cast<double>(service.count()) - service_ns_) * weight;
    kilobytes_ += (kilobytes - kilobytes_) * weight;
  }

  /// Returns the mean service time; zero before the first answer.
  [[nodiscard]] std::chrono::nanoseconds service() const {
    return std::chrono::nanoseconds(static_cast<std::int64_t>(service_ns_));
  }
  /// Returns the mean size; zero before the first answer.
  [[nodiscard]] double kilobytes() const { return kilobytes_; }

 private:
  /// Number of samples that are averaged with equal weight; the weight of later ones is that of the
  /// last of these.
  static constexpr std::size_t kWarmUpSamples = 30;

  std::size_t samples_ = 0;
  double service_ns_ = 0;
  double kilobytes_ = 0;
};

}  // namespace siskinrack::balancing

#endif  // SISKINRACK_BALANCING_CALL_PROFILE_H_
