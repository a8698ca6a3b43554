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

/// Outcome of a call as far as it concerns the health of the endpoint.
enum class call_outcome {
  /// Answered by the upstream without an error of its own.
  kAnswered,
  /// The connection broke, the endpoint was unreachable, or the answer was a server error.
  kFailed,
  /// No answer by the deadline. Counts as a failure only if the call lasted longer than
  /// AnswerTimeout, so that a caller with a very short deadline does not eject an endpoint.
  kTimedOut,
  /// Refused by the serving node without running the call; the report tells the load.
  kRefused,
  /// Refused by the upstream itself without running the call.
  kShed,
  /// The caller disconnected; not evidence about the endpoint.
  kAbandoned,
};

/// Load of an upstream that its serving node reports with an answer, in calls.
struct reported_load {
  std::uint32_t in_flight = 0;
  std::uint32_t queued = 0;
  /// Zero if unknown.
  std::uint32_t slots = 0;
};

/// Describes the end of one call to an endpoint.
struct call_report {
  call_outcome outcome = call_outcome::kAnswered;
  /// Time from sending the call to its end, as seen by this node.
  nanoseconds latency{0};
  std::optional<reported_load> load;
  /// Pause that the upstream requested; zero for none.
  nanoseconds retry_after{0};
  /// Time that the upstream itself took; zero if unknown.
  nanoseconds service{0};
  /// Service time that was expected of an average upstream (call_profile); zero if unknown.
  nanoseconds expected_service{0};
  /// Time for which a large answer waits for the network link of the serving node.
  nanoseconds link_wait{0};
};

/// Availability of an endpoint for new calls.
enum class readiness {
  kAvailable,
  /// The ejection time has passed; one call at a time probes whether the endpoint has recovered.
  kProbeDue,
  /// Failed recently, or a probe is in progress.
  kEjected,
  /// Requested a pause that has not ended.
  kPaused,
};

/// Tracks the load and health of one endpoint from the calls of this entry node. Deterministic: the
/// time is an argument. Thread-safe.
class endpoint_state {
 public:
  /// Constructs the state of an endpoint without calls. `slots` is the maximum number of calls that
  /// the upstream runs at the same time; 0 counts as 1.
  explicit endpoint_state(std::uint32_t slots) : slots_(slots > 0 ? slots : 1) {}

  /// Snapshot of the state for endpoint selection.
  struct view {
    readiness ready = readiness::kAvailable;
    /// (smoothed latency + penalty) * (own calls in flight + reported load + 1) / slots, in
    /// milliseconds. Failures and refusals cause the penalty.
    double cost_ms = 0;
    /// Expected time until a call sent now is answered: wait for a slot, service time and penalty.
    double predicted_ms = 0;
    /// Fraction of the recent calls that the upstream itself refused.
    double shed_rate = 0;
    /// Expected time for which a large answer waits for the network link of the serving node.
    double link_wait_ms = 0;
    /// End of the pause that the upstream requested; a past time if there is none.
    time_point paused_until;
  };
  /// Returns a snapshot of the state at `now`. `expected_service` is the service time that is
  /// expected of an average upstream for the call to be sent; if it is zero, the prediction uses
  /// the mean service time of all calls to this endpoint.
  [[nodiscard]] view View(time_point now, nanoseconds expected_service = nanoseconds(0)) const;

  /// Returns the time after which a missing answer counts as a failure: a multiple of the smoothed
  /// latency plus a margin; before the first answer only the margin.
  [[nodiscard]] nanoseconds AnswerTimeout() const;

  /// Records that a call is about to be sent.
  void Start(time_point now);
  /// Records the end of a call. Every Start requires one Finish.
  void Finish(const call_report& report, time_point now);

 private:
  static constexpr double kTimeoutFactor = 4;
  static constexpr double kTimeoutMarginMs = 100;

  [[nodiscard]] double PredictedMs(time_point now, nanoseconds expected_service) const;
  [[nodiscard]] double AnswerTimeoutMs() const {
    return kTimeoutFactor * latency_ms_ + kTimeoutMarginMs;
  }
  void OnFailure(time_point now);
  void UpdatePenalty(double penalty_ms, time_point now);
  void UpdateShedRate(double sample, time_point now);
  [[nodiscard]] double PenaltyMs(time_point now) const;

  mutable std::mutex mutex_;
  std::uint32_t slots_;
  std::size_t in_flight_ = 0;
  double latency_ms_ = 0;
  double service_ms_ = 0;
  /// Smoothed ratio of the service time to the expected one.
  double slowness_ = 1;
  /// Calls of this node in flight when the load was reported.
  std::size_t in_flight_at_report_ = 0;
  double penalty_ms_ = 0;
  time_point penalty_updated_at_;
  double shed_rate_ = 0;
  time_point shed_rate_updated_at_;
  /// Number of calls that ran or waited at the upstream according to its last report.
  double load_ = 0;
  time_point load_reported_at_;
  double link_wait_ms_ = 0;
  unsigned consecutive_failures_ = 0;
  bool probing_ = false;
  time_point ejected_until_;
  time_point paused_until_;
};

}  // namespace siskinrack::balancing

#endif  // SISKINRACK_BALANCING_ENDPOINT_STATE_H_
