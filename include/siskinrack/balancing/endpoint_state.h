#ifndef SISKINRACK_BALANCING_ENDPOINT_STATE_H_
#define SISKINRACK_BALANCING_ENDPOINT_STATE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <optional>

namespace siskinrack::balancing {

using time_point = std::chrono::steady_clock::time_point;
using std::chrono::nanoseconds;

enum class call_outcome {
  /// Answered by the upstream without an error of its own.
  kAnswered,
  /// Broken, unreachable or answered with a server error.
  kFailed,
  /// No answer until the deadline. It counts as a failure only if an answer was due by then, so
  /// that a caller with a very short deadline doesn't close an endpoint.
  kTimedOut,
  /// Refused as not run.
  kRefused,
  /// The caller went away; says nothing about the endpoint.
  kAbandoned,
};

/// Load of an upstream as its serving node reports it with an answer.
struct reported_load {
  std::uint32_t in_flight = 0;
  std::uint32_t queued = 0;
  std::uint32_t slots = 0;
};

struct call_report {
  call_outcome outcome = call_outcome::kAnswered;
  nanoseconds latency{0};
  std::optional<reported_load> load;
  /// Pause that the upstream asked for; zero for none.
  nanoseconds retry_after{0};
  /// Time that the upstream itself took; zero if not known.
  nanoseconds service{0};
};

enum class readiness {
  kOpen,
  /// Failed before; takes one request at a time to find out whether it has recovered.
  kTrial,
  /// Failed a short time ago, or a trial is under way.
  kClosed,
  /// Asked for a pause that isn't over.
  kPaused,
};

/// What an entry node knows of one endpoint from its own calls. Pure but for its lock; safe for
/// use from several threads.
class endpoint_state {
 public:
  explicit endpoint_state(std::uint32_t slots) : slots_(slots > 0 ? slots : 1) {}

  struct view {
    readiness ready = readiness::kOpen;
    /// Smoothed latency x (own in-flight + reported load + 1) / slots, in milliseconds.
    double cost_ms = 0;
    /// Time until a call sent now would be answered: wait for a slot and service time.
    double predicted_ms = 0;
    time_point paused_until;
  };
  [[nodiscard]] view View(time_point now) const;

  /// Time after which a missing answer is a failure: a multiple of the usual latency and a margin.
  [[nodiscard]] nanoseconds AnswerTimeout() const;

  /// A call is about to be sent.
  void Start(time_point now);
  /// The call has ended. Every Start has one Finish.
  void Finish(const call_report& report, time_point now);

 private:
  static constexpr double kTimeoutFactor = 4;
  static constexpr double kTimeoutMarginMs = 100;

  [[nodiscard]] double PredictedMs(time_point now) const;
  [[nodiscard]] double AnswerTimeoutMs() const {
    return kTimeoutFactor * latency_ms_ + kTimeoutMarginMs;
  }
  void OnFailure(time_point now);
  void AddPenalty(double penalty_ms, time_point now);
  [[nodiscard]] double Penalty(time_point now) const;

  mutable std::mutex mutex_;
  std::uint32_t slots_;
  std::size_t in_flight_ = 0;
  double latency_ms_ = 0;
  double service_ms_ = 0;
  /// Own calls in flight when the load was reported.
  std::size_t in_flight_at_load_ = 0;
  double penalty_ms_ = 0;
  time_point penalty_at_;
  double load_ = 0;
  time_point load_at_;
  unsigned failures_ = 0;
  bool trial_ = false;
  time_point closed_until_;
  time_point paused_until_;
};

}  // namespace siskinrack::balancing

#endif  // SISKINRACK_BALANCING_ENDPOINT_STATE_H_
