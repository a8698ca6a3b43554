#ifndef SISKINRACK_ADMISSION_CONTROLLER_H_
#define SISKINRACK_ADMISSION_CONTROLLER_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "siskinrack/admission/caller_queue.h"
#include "siskinrack/config/model.h"

namespace siskinrack::admission {

using std::chrono::nanoseconds;

/// Reason for refusing a call. A refused call has not run.
enum class refusal {
  /// The call is not expected to end by its deadline, or a slot_gate stopped its wait at the wait
  /// deadline or because of a cancellation.
  kDeadline,
  /// The expected wait plus service time exceeds the target of the rank.
  kRankTarget,
  /// The queue is full. The dropped call is of the rank of lowest worth that exceeds its reserved
  /// part of the queue; it need not be the new call.
  kQueueFull,
  /// The upstream requested a pause (Retry-After) after which the call can't end in time.
  kUpstreamPause,
  /// The call would wait or be late here, and another upstream is expected to answer in time.
  kRedirected,
};

/// Returns a human-readable description of a refusal reason.
std::string_view ToText(refusal reason);

/// Represents a call that requests a slot. `ticket` identifies it in all later operations and must
/// be unique.
struct arrival {
  std::uint64_t ticket = 0;
  std::string_view rank;
  /// Identifies the caller for fair sharing within the rank.
  std::string_view caller;
  time_point deadline;
};

/// Represents the admission or refusal of a call. An admitted call runs now; a call without a
/// decision stays queued.
struct decision {
  std::uint64_t ticket = 0;
  bool admitted = false;
  /// Only meaningful for a refused call.
  refusal reason = refusal::kDeadline;
  /// Time after which a retry may succeed: the rest of the pause that the upstream requested or,
  /// if a deadline_controller refuses a new call, the expected wait for a slot. Otherwise zero.
  nanoseconds retry_after{0};
};
using decisions = std::vector<decision>;

/// Result of an admitted call.
enum class call_result {
  kAnswered,
  /// The connection broke or the call timed out; its duration is a lower bound of the service time.
  kFailed,
  /// The caller disconnected or the upstream was never reached; not a sample of the service time.
  kAbandoned,
  /// The upstream refused the call without running it.
  kRefusedByUpstream,
};

/// Configures the concurrency of one upstream.
struct upstream_limits {
  /// Maximum number of calls that run at the same time; at least 1.
  std::uint32_t slots = 1;
  /// Time over which a starting upstream grows from one usable slot to all.
  std::chrono::milliseconds ramp{0};

  bool operator==(const upstream_limits&) const = default;
};

/// Describes the current load of one upstream, in calls.
struct upstream_load {
  std::size_t in_flight = 0;
  std::size_t queued = 0;
  /// Usable slots after the ramp and load shedding are applied.
  std::size_t limit = 0;
};

/// Controls the admission of calls to one upstream by rank. A rank has a worth, which determines
/// its precedence over other ranks; a target for the time until the answer; and a floor, the
/// percentage of the slots that it is guaranteed while it has waiting calls. Deterministic: the
/// time is an argument. Offer, Finish and Advance return the decisions that they cause, including
/// those on queued calls. Not thread-safe; slot_gate locks it and suspends the queued calls.
/// node::node uses this controller, mesh::mesh_node a deadline_controller.
class controller {
 public:
  /// Constructs a controller without calls. `ranks` may be in any order; their floors must add up
  /// to at most 100%. If there are none, all calls share one rank with a target of 30 s.
  controller(upstream_limits limits, std::span<const config::rank_policy> ranks);

  /// Applies new limits and ranks; waiting calls keep their place. A call whose rank no longer
  /// exists moves to the rank of lowest worth. Additional slots are used from the next Offer,
  /// Finish or Advance.
  void Configure(upstream_limits limits, std::span<const config::rank_policy> ranks);
  /// Starts the ramp of a newly started upstream: usable slots grow from one to all.
  void StartRamp(time_point now);

  /// Admits, queues or refuses a new call. An unknown rank is treated as the rank of lowest worth.
  decisions Offer(const arrival& call, time_point now);
  /// Records the end of a call, which must be running. `retry_after` is the pause that the upstream
  /// requested; used only if `result` is kRefusedByUpstream.
  decisions Finish(std::uint64_t ticket, call_result result, time_point now,
                   nanoseconds retry_after = nanoseconds(0));
  /// Removes a waiting call from the queue; returns false if it is no longer waiting.
  bool Withdraw(std::uint64_t ticket);
  /// Admits the queued calls that may start by `now`, and refuses those of them that can't end in
  /// time. Required when a pause ends while no call is running.
  decisions Advance(time_point now);

  /// Returns the end of the pause that the upstream requested; a past time if it requested none.
  [[nodiscard]] time_point paused_until() const { return paused_until_; }
  /// Returns the load of all ranks together.
  [[nodiscard]] upstream_load Load(time_point now) const;
  /// Returns the load that a call of `rank` competes with: calls of ranks with lower worth are not
  /// counted as queued. An overload of those ranks keeps every queue full and would hide on which
  /// upstreams calls of higher worth wait. If the rank has a floor, `queued` is at most the number
  /// of calls within which the floor alone serves the rank's queue.
  [[nodiscard]] upstream_load LoadFor(std::string_view rank, time_point now) const;

 private:
  struct rank_state {
    config::rank_policy policy;
    caller_queue queue;
    std::size_t in_flight = 0;
    /// Slots in use, smoothed exponentially over time.
    double smoothed_use = 0;
    time_point smoothed_use_at;
    /// Smoothed service time; zero until the first sample.
    nanoseconds service_time{0};
    time_point service_time_at;
  };
  struct running_call {
    /// Index into `ranks_`.
    std::size_t rank = 0;
    time_point started;
  };

  [[nodiscard]] std::size_t RankIndex(std::string_view name) const;
  [[nodiscard]] std::size_t SlotLimit(time_point now) const;
  [[nodiscard]] double SmoothedSlotUse(const rank_state& rank, time_point now) const;
  [[nodiscard]] bool IsBelowFloor(const rank_state& rank, time_point now) const;
  [[nodiscard]] nanoseconds EstimateServiceTime(const rank_state& rank, time_point now) const;
  [[nodiscard]] nanoseconds EstimateWait(std::size_t index, std::string_view caller,
                                         time_point now) const;
  [[nodiscard]] std::size_t QueueCapacity() const;
  [[nodiscard]] std::size_t QueuedCalls() const;
  rank_state* SelectNextRank(time_point now);
  void Run(std::uint64_t ticket, std::size_t index, time_point now, decisions& out);
  void Dispatch(time_point now, decisions& out);
  void EnforceQueueCapacity(time_point now, decisions& out);
  void RefuseDuringPause(time_point now, decisions& out);
  /// Changes the number of running calls of a rank; also updates its smoothed use and
  /// `last_progress_`.
  void SetInFlight(rank_state& rank, std::size_t count, time_point now);
  void UpdateServiceTime(rank_state& rank, nanoseconds took, time_point now);

  upstream_limits limits_;
  /// Sorted by descending worth.
  std::vector<rank_state> ranks_;
  std::unordered_map<std::uint64_t, running_call> running_;
  time_point ramp_start_;
  bool ramping_ = false;
  /// Limit on running calls that adapts to an upstream that sheds load: every answer raises it, up
  /// to the number of slots, and a refusal by the upstream halves it.
  double shed_limit_;
  /// When `shed_limit_` was last halved.
  time_point last_limit_cut_;
  /// When a call last started or ended.
  time_point last_progress_;
  time_point paused_until_;
};

}  // namespace siskinrack::admission

#endif  // SISKINRACK_ADMISSION_CONTROLLER_H_
