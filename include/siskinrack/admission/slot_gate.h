#ifndef SISKINRACK_ADMISSION_SLOT_GATE_H_
#define SISKINRACK_ADMISSION_SLOT_GATE_H_

#include <boost/fiber/future/promise.hpp>
#include <memory>
#include <mutex>
#include <span>
#include <string_view>
#include <unordered_map>

#include "siskinrack/admission/controller.h"
#include "siskinrack/net/cancellation.h"
#include "siskinrack/net/fiber_runtime.h"

namespace siskinrack::admission {

/// Lets calls through to one upstream as the admission controller decides. A waiting call is a
/// suspended fiber; the fiber that frees a slot wakes it, on whichever thread it is. Held by a
/// shared pointer, because a fiber that waits for the end of a pause may outlive its owner.
class slot_gate : public std::enable_shared_from_this<slot_gate> {
 public:
  slot_gate(upstream_limits limits, std::span<const config::rank_policy> ranks);

  /// Takes over new limits and ranks.
  void Configure(upstream_limits limits, std::span<const config::rank_policy> ranks);

  /// Asks for a slot and suspends the calling fiber until it is granted or refused. A granted
  /// ticket needs one Leave.
  decision Enter(std::string_view rank, std::string_view caller, net::steady_time deadline,
                 net::cancellation& cancel);
  /// Frees the slot of `ticket`.
  void Leave(std::uint64_t ticket, call_result result, std::chrono::milliseconds retry_after);

  /// The upstream has started.
  void StartRamp();
  /// Load as a call of `rank` meets it.
  [[nodiscard]] upstream_load Load(std::string_view rank) const;

 private:
  using promise = boost::fibers::promise<decision>;

  /// Needs the lock.
  void Deliver(const decisions& list);

  decision Await(std::uint64_t ticket, boost::fibers::future<decision> answer,
                 net::steady_time end_by, net::cancellation& cancel);
  void Withdraw(std::uint64_t ticket);
  void AdvanceAfter(std::chrono::milliseconds pause);
  /// Latest time at which a call of the rank may start.
  [[nodiscard]] net::steady_time EndBy(std::string_view rank, net::steady_time deadline,
                                       net::steady_time now) const;

  mutable std::mutex mutex_;
  controller controller_;
  std::unordered_map<std::string, std::chrono::milliseconds> targets_;
  std::uint64_t last_ticket_ = 0;
  std::unordered_map<std::uint64_t, std::shared_ptr<promise>> waiting_;
};

}  // namespace siskinrack::admission

#endif  // SISKINRACK_ADMISSION_SLOT_GATE_H_
