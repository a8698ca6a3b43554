#include "siskinrack/balancing/selection.h"

#include <algorithm>

namespace siskinrack::balancing {
namespace {

constexpr unsigned kHalfBits = 32;

/// Samples two random candidates from a stream (reservoir sampling) and selects the cheaper one.
class random_pair {
 public:
  /// Sets a bit of `seed`, because the generator never leaves the state 0.
  explicit random_pair(std::uint64_t seed) : seed_(seed | 1U) {}

  void Offer(std::size_t index, double cost_ms) {
    ++seen_;
    const std::size_t slot = seen_ <= 2 ? seen_ - 1 : Next() % seen_;
    if (slot < 2) samples_[slot] = {index, cost_ms};
  }
  [[nodiscard]] bool empty() const { return seen_ == 0; }
  [[nodiscard]] std::size_t index() const { return Best().index; }
  [[nodiscard]] double cost_ms() const { return Best().cost_ms; }

 private:
  struct sample {
    std::size_t index = 0;
    double cost_ms = 0;
  };

  /// Returns the cheaper sample. Ties are broken at random; otherwise the first endpoints of the
  /// list would receive more calls.
  [[nodiscard]] const sample& Best() const {
    if (seen_ < 2) return samples_[0];
    if (samples_[0].cost_ms == samples_[1].cost_ms) return samples_[(seed_ >> kHalfBits) % 2];
    return samples_[0].cost_ms < samples_[1].cost_ms ? samples_[0] : samples_[1];
  }
  /// Advances the xorshift64* generator.
  std::uint64_t Next() {
    seed_ ^= seed_ >> 12U;
    seed_ ^= seed_ << 25U;
    seed_ ^= seed_ >> 27U;
    return (seed_ * 0x2545f4914f6cdd1dULL) >> kHalfBits;
  }

  std::uint64_t seed_;
  std::size_t seen_ = 0;
  sample samples_[2];
};

/// Groups candidates by readiness and failure domain and selects among them by cost.
class cost_selector {
 public:
  cost_selector(time_point now, std::uint64_t random)
      : now_(now), local_(random), remote_(~random), ejected_(random * 3), probe_(random * 5) {}

  void Offer(std::size_t index, const candidate& endpoint) {
    const endpoint_state::view view = endpoint.state->View(now_);
    switch (view.ready) {
      case readiness::kAvailable:
        (endpoint.same_domain ? local_ : remote_).Offer(index, view.cost_ms);
        break;
      case readiness::kProbeDue:
        probe_.Offer(index, view.cost_ms);
        break;
      case readiness::kEjected:
        ejected_.Offer(index, view.cost_ms);
        break;
      case readiness::kPaused:
        first_pause_end_ = std::min(first_pause_end_, view.paused_until);
        break;
    }
  }

  [[nodiscard]] selection Result() const {
    if (!probe_.empty()) return {probe_.index(), {}};
    if (!local_.empty() && !remote_.empty()) {
      const bool use_local = local_.cost_ms() <= remote_.cost_ms() + kCrossDomainDelayMs;
      return {use_local ? local_.index() : remote_.index(), {}};
    }
    for (const random_pair* pair : {&local_, &remote_, &ejected_}) {
      if (!pair->empty()) return {pair->index(), {}};
    }
    if (first_pause_end_ == time_point::max()) return {};
    return {std::nullopt, first_pause_end_ - now_};
  }

 private:
  time_point now_;
  random_pair local_, remote_, ejected_, probe_;
  time_point first_pause_end_ = time_point::max();
};

/// Selects the candidate with the smallest predicted completion time after random jitter.
class earliest_completion {
 public:
  /// Sets a bit of `random`, because the generator never leaves the state 0.
  explicit earliest_completion(std::uint64_t random) : seed_(random | 1U) {}

  void Offer(std::size_t index, double predicted_ms) {
    // The jitter is within the accuracy of the predictions. Without it, all nodes would send their
    // calls to the same endpoint at once.
    const double jittered = predicted_ms * (1 + kPredictionError * NextFraction());
    if (empty_ || jittered < best_jittered_ms_) {
      best_jittered_ms_ = jittered;
      predicted_ms_ = predicted_ms;
      index_ = index;
    }
    empty_ = false;
  }
  [[nodiscard]] bool empty() const { return empty_; }
  [[nodiscard]] std::size_t index() const { return index_; }
  [[nodiscard]] double predicted_ms() const { return predicted_ms_; }

 private:
  /// Relative error of a prediction; the largest jitter.
  static constexpr double kPredictionError = 0.15;

  /// Returns a random number in [0, 1) from the xorshift64* generator.
  double NextFraction() {
    seed_ ^= seed_ >> 12U;
    seed_ ^= seed_ << 25U;
    seed_ ^= seed_ >> 27U;
    constexpr double kRange = 4294967296.0;  // 2^32
    return static_cast<double>((seed_ * 0x2545f4914f6cdd1dULL) >> kHalfBits) / kRange;
  }

  std::uint64_t seed_;
  bool empty_ = true;
  double best_jittered_ms_ = 0;
  double predicted_ms_ = 0;
  std::size_t index_ = 0;
};

}  // namespace

double ComputeCrossingMs(const completion_goal& goal) {
  return 2 * kCrossDomainDelayMs + goal.kilobytes * kCrossDomainMsPerKilobyte;
}

selection ChooseByCompletion(std::span<const candidate> candidates, const completion_goal& goal,
                             time_point now, std::uint64_t random) {
  const double crossing_ms = ComputeCrossingMs(goal);
  earliest_completion local(random);
  earliest_completion remote(~random);
  earliest_completion ejected(random * 3);
  time_point first_pause_end = time_point::max();
  std::size_t in_time = 0;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    const bool is_local = candidates[i].same_domain;
    double predicted_ms = 0;
    const endpoint_state::view view = candidates[i].state->View(now, goal.expected_service);
    switch (view.ready) {
      case readiness::kAvailable:
        predicted_ms = view.predicted_ms + view.shed_rate * goal.refusal_cost_ms;
        if (goal.kilobytes >= kLargeBodyKilobytes) predicted_ms += view.link_wait_ms;
        (is_local ? local : remote).Offer(i, predicted_ms);
        if (predicted_ms + (is_local ? 0 : crossing_ms) <= goal.in_time_ms) ++in_time;
        break;
      case readiness::kProbeDue:
        return {i, {}, 0};
      case readiness::kEjected:
        if (goal.use_ejected) ejected.Offer(i, view.predicted_ms);
        break;
      case readiness::kPaused:
        first_pause_end = std::min(first_pause_end, view.paused_until);
        break;
    }
  }
  if (!local.empty() && !remote.empty()) {
    const double remote_ms = remote.predicted_ms() + crossing_ms;
    const bool local_in_time = local.predicted_ms() <= goal.in_time_ms;
    const bool only_remote_in_time = !local_in_time && remote_ms <= goal.in_time_ms;
    const bool remote_much_sooner =
        !local_in_time && remote_ms + goal.min_remote_gain_ms < local.predicted_ms();
    const bool use_remote = only_remote_in_time || remote_much_sooner;
    return {use_remote ? remote.index() : local.index(), {}, in_time};
  }
  for (const earliest_completion* best : {&local, &remote, &ejected}) {
    if (!best->empty()) return {best->index(), {}, in_time};
  }
  if (first_pause_end == time_point::max()) return {};
  return {std::nullopt, first_pause_end - now, 0};
}

selection Choose(std::span<const candidate> candidates, time_point now, std::uint64_t random,
                 std::optional<std::size_t> exclude) {
  cost_selector selector(now, random);
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    if (exclude == i && candidates.size() > 1) continue;
    selector.Offer(i, candidates[i]);
  }
  return selector.Result();
}

}  // namespace siskinrack::balancing
