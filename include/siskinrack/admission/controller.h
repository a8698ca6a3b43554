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

/// Why a call is refused. None of the refused calls has run.
enum class refusal {
  /// Its remaining time is shorter than the expected wait and service time.
  kDeadline,
  /// The expected wait and service time exceed the target of its rank.
  kRankTarget,
  /// The queue is full and no entry in it is worth less.
  kQueueFull,
  /// The upstream asked for a pause (Retry-After) that outlasts the call's time.
  kUpstreamPause,
};

/// Reason of a refusal in words.
std::string_view ToText(refusal reason);

/// A call that asks for a slot. `ticket` names it in all later calls and must be unique.
struct arrival {
  std::uint64_t ticket = 0;
  std::string_view rank;
  /// Identity for fairness within the rank.
  std::string_view caller;
  time_point deadline;
};

/// What becomes of a call: it runs now, or it is refused. A call without a decision waits.
struct decision {
  std::uint64_t ticket = 0;
  bool admitted = false;
  refusal reason = refusal::kDeadline;
  /// Rest of the pause that the upstream asked for; zero for other refusals.
  nanoseconds retry_after{0};
};
using decisions = std::vector<decision>;

enum class call_result {
  kAnswered,
  /// Broken or timed out; the time it took is a lower bound of the service time.
  kFailed,
  /// The caller went away, or the upstream was never reached: says nothing about service times.
  kAbandoned,
  /// The upstream refused the call without running it.
  kShed,
};

/// Concurrency limits of one upstream.
struct upstream_limits {
  std::uint32_t slots = 1;
  /// Time in which a starting upstream goes from one slot to all.
  std::chrono::milliseconds ramp{0};

  bool operator==(const upstream_limits&) const = default;
};

struct upstream_load {
  std::size_t in_flight = 0;
  std::size_t queued = 0;
  /// Slots usable now, after ramp and shedding.
  std::size_t limit = 0;
};

/// Decides which calls run on one upstream and when. Pure: the time is an argument, and every
/// operation returns the decisions that it led to, also about calls that were waiting. Not safe
/// for use from several threads; the owner locks.
class controller {
 public:
  controller(upstream_limits limits, std::span<const config::rank_policy> ranks);

  /// Takes over new limits and ranks; waiting calls keep their place. A call whose rank is gone
  /// counts as the least worthy rank.
  void Configure(upstream_limits limits, std::span<const config::rank_policy> ranks);
  /// The upstream has started: slots grow from one to all from now on.
  void StartRamp(time_point now);

  decisions Offer(const arrival& call, time_point now);
  /// A running call has ended. `retry_after` is the pause that a shedding upstream asked for.
  decisions Finish(std::uint64_t ticket, call_result result, time_point now,
                   nanoseconds retry_after = nanoseconds(0));
  /// Takes a waiting call out of the queue; false if it doesn't wait any more.
  bool Withdraw(std::uint64_t ticket);
  /// Starts what may start by now; needed when a pause ends while nothing runs.
  decisions Advance(time_point now);

  /// End of the pause that the upstream asked for; in the past if there is none.
  [[nodiscard]] time_point paused_until() const { return paused_until_; }
  [[nodiscard]] upstream_load Load(time_point now) const;
  /// Load as a call of `rank` meets it: calls of less worthy ranks don't count as queued. An
  /// overload of those keeps every queue full and would hide where the more worthy calls wait.
  [[nodiscard]] upstream_load LoadFor(std::string_view rank, time_point now) const;

 private:
  struct rank_state {
    config::rank_policy policy;
    caller_queue queue;
    std::size_t in_flight = 0;
    /// Slots in use, smoothed over time.
    double use = 0;
    time_point use_at;
    /// Smoothed service time; zero until the first sample.
    nanoseconds service{0};
    time_point service_at;
  };
  struct running_call {
    std::size_t rank = 0;
    time_point started;
  };

  [[nodiscard]] std::size_t RankIndex(std::string_view name) const;
  [[nodiscard]] std::size_t Limit(time_point now) const;
  [[nodiscard]] double SmoothedUse(const rank_state& rank, time_point now) const;
  [[nodiscard]] bool FloorUnmet(const rank_state& rank, time_point now) const;
  [[nodiscard]] nanoseconds Service(const rank_state& rank, time_point now) const;
  [[nodiscard]] nanoseconds EstimatedWait(std::size_t index, std::string_view caller,
                                          time_point now) const;
  [[nodiscard]] std::size_t QueueCapacity() const;
  [[nodiscard]] std::size_t Queued() const;
  rank_state* NextRank(time_point now);
  void Run(std::uint64_t ticket, std::size_t index, time_point now, decisions& out);
  void Dispatch(time_point now, decisions& out);
  void MakeRoom(time_point now, decisions& out);
  void RefuseDuringPause(time_point now, decisions& out);
  void SetInFlight(rank_state& rank, std::size_t count, time_point now);
  void Learn(rank_state& rank, nanoseconds took, time_point now);

  upstream_limits limits_;
  /// Most worthy first.
  std::vector<rank_state> ranks_;
  std::unordered_map<std::uint64_t, running_call> running_;
  time_point ramp_start_;
  bool ramping_ = false;
  double shed_limit_;
  time_point last_cut_;
  /// When a call last started or ended.
  time_point last_progress_;
  time_point paused_until_;
};

}  // namespace siskinrack::admission

#endif  // SISKINRACK_ADMISSION_CONTROLLER_H_
