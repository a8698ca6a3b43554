#include "siskinrack/balancing/selection.h"

#include <algorithm>

namespace siskinrack::balancing {
namespace {

constexpr unsigned kHalfBits = 32;

/// Reservoir of two random members of a stream of candidates, of which the cheaper one counts.
class random_pair {
 public:
  explicit random_pair(std::uint64_t seed) : seed_(seed | 1U) {}

  void Offer(std::size_t index, double cost_ms) {
    ++seen_;
    const std::size_t place = seen_ <= 2 ? seen_ - 1 : Next() % seen_;
    if (place < 2) items_[place] = {index, cost_ms};
  }
  [[nodiscard]] bool empty() const { return seen_ == 0; }
  [[nodiscard]] std::size_t index() const { return Best().index; }
  [[nodiscard]] double cost_ms() const { return Best().cost_ms; }

 private:
  struct item {
    std::size_t index = 0;
    double cost_ms = 0;
  };

  /// Equal costs are decided at random too, else the first endpoints of the list get more work.
  [[nodiscard]] const item& Best() const {
    if (seen_ < 2) return items_[0];
    if (items_[0].cost_ms == items_[1].cost_ms) return items_[(seed_ >> kHalfBits) % 2];
    return items_[0].cost_ms < items_[1].cost_ms ? items_[0] : items_[1];
  }
  /// Step of the generator xorshift64*.
  std::uint64_t Next() {
    seed_ ^= seed_ >> 12U;
    seed_ ^= seed_ << 25U;
    seed_ ^= seed_ >> 27U;
    return (seed_ * 0x2545f4914f6cdd1dULL) >> kHalfBits;
  }

  std::uint64_t seed_;
  std::size_t seen_ = 0;
  item items_[2];
};

class chooser {
 public:
  chooser(time_point now, std::uint64_t random)
      : now_(now), local_(random), remote_(~random), closed_(random * 3), trial_(random * 5) {}

  void Offer(std::size_t index, const candidate& item) {
    const endpoint_state::view view = item.state->View(now_);
    switch (view.ready) {
      case readiness::kOpen:
        (item.same_domain ? local_ : remote_).Offer(index, view.cost_ms);
        break;
      case readiness::kTrial:
        trial_.Offer(index, view.cost_ms);
        break;
      case readiness::kClosed:
        closed_.Offer(index, view.cost_ms);
        break;
      case readiness::kPaused:
        first_pause_end_ = std::min(first_pause_end_, view.paused_until);
        break;
    }
  }

  [[nodiscard]] selection Result() const {
    if (!trial_.empty()) return {trial_.index(), {}};
    if (!local_.empty() && !remote_.empty()) {
      const bool stay = local_.cost_ms() <= remote_.cost_ms() + kCrossDomainDelayMs;
      return {stay ? local_.index() : remote_.index(), {}};
    }
    for (const random_pair* pair : {&local_, &remote_, &closed_}) {
      if (!pair->empty()) return {pair->index(), {}};
    }
    if (first_pause_end_ == time_point::max()) return {};
    return {std::nullopt, first_pause_end_ - now_};
  }

 private:
  time_point now_;
  random_pair local_, remote_, closed_, trial_;
  time_point first_pause_end_ = time_point::max();
};

/// Keeps the candidate with the smallest prediction; ties are decided at random.
class first_answer {
 public:
  explicit first_answer(std::uint64_t random) : seed_(random | 1U) {}

  void Offer(std::size_t index, double predicted_ms) {
    // Predictions are no better than this; always taking the least would send the calls of all
    // nodes to the same endpoint at once.
    const double jittered = predicted_ms * (1 + kPredictionError * Fraction());
    if (empty_ || jittered < best_) {
      best_ = jittered;
      predicted_ms_ = predicted_ms;
      index_ = index;
    }
    empty_ = false;
  }
  [[nodiscard]] bool empty() const { return empty_; }
  [[nodiscard]] std::size_t index() const { return index_; }
  [[nodiscard]] double predicted_ms() const { return predicted_ms_; }

 private:
  static constexpr double kPredictionError = 0.15;

  double Fraction() {
    seed_ ^= seed_ >> 12U;
    seed_ ^= seed_ << 25U;
    seed_ ^= seed_ >> 27U;
    constexpr double kRange = 4294967296.0;
    return static_cast<double>((seed_ * 0x2545f4914f6cdd1dULL) >> kHalfBits) / kRange;
  }

  std::uint64_t seed_;
  bool empty_ = true;
  double best_ = 0;
  double predicted_ms_ = 0;
  std::size_t index_ = 0;
};

}  // namespace

selection ChooseByCompletion(std::span<const candidate> candidates, const completion_goal& goal,
                             time_point now, std::uint64_t random) {
  first_answer local(random);
  first_answer remote(~random);
  first_answer closed(random * 3);
  time_point first_pause_end = time_point::max();
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    const endpoint_state::view view = candidates[i].state->View(now);
    switch (view.ready) {
      case readiness::kOpen:
        (candidates[i].same_domain ? local : remote).Offer(i, view.predicted_ms);
        break;
      case readiness::kTrial:
        return {i, {}};
      case readiness::kClosed:
        if (goal.use_ejected) closed.Offer(i, view.predicted_ms);
        break;
      case readiness::kPaused:
        first_pause_end = std::min(first_pause_end, view.paused_until);
        break;
    }
  }
  if (!local.empty() && !remote.empty()) {
    const double remote_ms = remote.predicted_ms() + 2 * kCrossDomainDelayMs;
    const bool local_in_time = local.predicted_ms() <= goal.in_time_ms;
    const bool only_remote_in_time = !local_in_time && remote_ms <= goal.in_time_ms;
    const bool much_sooner =
        !local_in_time && remote_ms + goal.remote_gain_ms < local.predicted_ms();
    return {only_remote_in_time || much_sooner ? remote.index() : local.index(), {}};
  }
  for (const first_answer* best : {&local, &remote, &closed}) {
    if (!best->empty()) return {best->index(), {}};
  }
  if (first_pause_end == time_point::max()) return {};
  return {std::nullopt, first_pause_end - now};
}

selection Choose(std::span<const candidate> candidates, time_point now, std::uint64_t random,
                 std::optional<std::size_t> exclude) {
  chooser choice(now, random);
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    if (exclude == i && candidates.size() > 1) continue;
    choice.Offer(i, candidates[i]);
  }
  return choice.Result();
}

}  // namespace siskinrack::balancing
