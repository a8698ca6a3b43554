#include "siskinrack/admission/slot_gate.h"

#include <algorithm>
#include <boost/fiber/future/future.hpp>
#include <boost/fiber/future/future_status.hpp>

namespace siskinrack::admission {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

slot_gate::slot_gate(upstream_limits limits, std::span<const config::rank_policy> ranks)
    : controller_(limits, ranks) {
  for (const auto& rank : ranks) targets_[rank.name] = milliseconds(rank.target_ms);
}

void slot_gate::Configure(upstream_limits limits, std::span<const config::rank_policy> ranks) {
  const std::lock_guard lock(mutex_);
  controller_.Configure(limits, ranks);
  targets_.clear();
  for (const auto& rank : ranks) targets_[rank.name] = milliseconds(rank.target_ms);
}

net::steady_time slot_gate::EndBy(std::string_view rank, net::steady_time deadline,
                                  net::steady_time now) const {
  const auto found = targets_.find(std::string(rank));
  return found == targets_.end() ? deadline : std::min(deadline, now + found->second);
}

decision slot_gate::Enter(std::string_view rank, std::string_view caller, net::steady_time deadline,
                          net::cancellation& cancel) {
  std::unique_lock lock(mutex_);
  const std::uint64_t ticket = ++last_ticket_;
  const auto now = steady_clock::now();
  const auto list = controller_.Offer({ticket, rank, caller, deadline}, now);
  const auto own = std::find_if(list.begin(), list.end(),
                                [ticket](const auto& item) { return item.ticket == ticket; });
  if (list.size() > 1 || own == list.end()) Deliver(list);
  if (own != list.end()) return *own;
  const auto answer = std::make_shared<promise>();
  waiting_.emplace(ticket, answer);
  const auto end_by = EndBy(rank, deadline, now);
  lock.unlock();
  return Await(ticket, answer->get_future(), end_by, cancel);
}

decision slot_gate::Await(std::uint64_t ticket, boost::fibers::future<decision> answer,
                          net::steady_time end_by, net::cancellation& cancel) {
  const std::uint64_t handle = cancel.OnCancel([this, ticket] { Withdraw(ticket); });
  if (answer.wait_until(end_by) == boost::fibers::future_status::timeout) Withdraw(ticket);
  cancel.Remove(handle);
  return answer.get();
}

void slot_gate::Withdraw(std::uint64_t ticket) {
  const std::lock_guard lock(mutex_);
  // A call that no longer waits has its decision already.
  if (!controller_.Withdraw(ticket)) return;
  Deliver({{.ticket = ticket, .run = false, .reason = refusal::kDeadline}});
}

void slot_gate::Leave(std::uint64_t ticket, call_result result, milliseconds retry_after) {
  {
    const std::lock_guard lock(mutex_);
    Deliver(controller_.Finish(ticket, result, steady_clock::now(), retry_after));
  }
  if (retry_after.count() > 0) AdvanceAfter(retry_after);
}

void slot_gate::AdvanceAfter(milliseconds pause) {
  net::Spawn([self = shared_from_this(), pause] {
    net::SleepFor(pause);
    const std::lock_guard lock(self->mutex_);
    self->Deliver(self->controller_.Advance(steady_clock::now()));
  });
}

void slot_gate::StartRamp() {
  const std::lock_guard lock(mutex_);
  controller_.StartRamp(steady_clock::now());
}

upstream_load slot_gate::Load(std::string_view rank) const {
  const std::lock_guard lock(mutex_);
  return controller_.LoadFor(rank, steady_clock::now());
}

void slot_gate::Deliver(const decisions& list) {
  for (const decision& item : list) {
    const auto found = waiting_.find(item.ticket);
    if (found == waiting_.end()) continue;
    const auto answer = std::move(found->second);
    waiting_.erase(found);
    answer->set_value(item);
  }
}

}  // namespace siskinrack::admission
