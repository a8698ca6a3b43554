#include "upstream_gate.h"

#include <algorithm>
#include <boost/fiber/future/future.hpp>
#include <boost/fiber/future/future_status.hpp>

namespace siskinrack::node {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

upstream_gate::upstream_gate(node_context& context)
    : context_(context),
      configured_(context.config.Current()),
      controller_(Limits(), configured_->config.resources.ranks) {}

admission::decision upstream_gate::Enter(const wire::call_request_t& call,
                                         net::steady_time deadline, net::cancellation& cancel) {
  std::unique_lock lock(mutex_);
  Reconfigure();
  const std::uint64_t ticket = ++last_ticket_;
  const auto now = steady_clock::now();
  const auto list = controller_.Offer({ticket, call.rank, call.caller, deadline}, now);
  const auto own = std::find_if(list.begin(), list.end(),
                                [ticket](const auto& item) { return item.ticket == ticket; });
  if (list.size() > 1 || own == list.end()) Deliver(list);
  if (own != list.end()) return *own;
  const auto answer = std::make_shared<promise>();
  waiting_.emplace(ticket, answer);
  const auto* rank = configured_->config.resources.FindRank(call.rank);
  lock.unlock();
  if (rank != nullptr) deadline = std::min(deadline, now + milliseconds(rank->target_ms));
  return Await(ticket, answer->get_future(), deadline, cancel);
}

admission::decision upstream_gate::Await(std::uint64_t ticket,
                                         boost::fibers::future<admission::decision> answer,
                                         net::steady_time end_by, net::cancellation& cancel) {
  const std::uint64_t handle = cancel.OnCancel([this, ticket] { Withdraw(ticket); });
  if (answer.wait_until(end_by) == boost::fibers::future_status::timeout) Withdraw(ticket);
  cancel.Remove(handle);
  return answer.get();
}

void upstream_gate::Withdraw(std::uint64_t ticket) {
  const std::lock_guard lock(mutex_);
  // A call that no longer waits has its decision already.
  if (!controller_.Withdraw(ticket)) return;
  Deliver({{.ticket = ticket, .run = false, .reason = admission::refusal::kDeadline}});
}

void upstream_gate::Leave(std::uint64_t ticket, admission::call_result result,
                          milliseconds retry_after) {
  {
    const std::lock_guard lock(mutex_);
    Deliver(controller_.Finish(ticket, result, steady_clock::now(), retry_after));
  }
  if (retry_after.count() > 0) AdvanceAfter(retry_after);
}

void upstream_gate::AdvanceAfter(milliseconds pause) {
  net::Spawn([self = shared_from_this(), pause] {
    net::SleepFor(pause);
    const std::lock_guard lock(self->mutex_);
    self->Deliver(self->controller_.Advance(steady_clock::now()));
  });
}

void upstream_gate::StartRamp() {
  const std::lock_guard lock(mutex_);
  Reconfigure();
  controller_.StartRamp(steady_clock::now());
}

admission::upstream_load upstream_gate::Load(std::string_view rank) const {
  const std::lock_guard lock(mutex_);
  return controller_.LoadFor(rank, steady_clock::now());
}

void upstream_gate::Reconfigure() {
  config_snapshot_ptr current = context_.config.Current();
  if (current == configured_) return;
  configured_ = std::move(current);
  controller_.Configure(Limits(), configured_->config.resources.ranks);
}

admission::upstream_limits upstream_gate::Limits() const {
  const node_settings& settings = context_.settings;
  const auto* service = configured_->config.resources.FindService(settings.service);
  if (service == nullptr) return {std::max<std::uint32_t>(1, settings.slots), milliseconds(0)};
  return {service->slots, milliseconds(service->ramp_ms)};
}

void upstream_gate::Deliver(const admission::decisions& list) {
  for (const admission::decision& item : list) {
    const auto found = waiting_.find(item.ticket);
    if (found == waiting_.end()) continue;
    const auto answer = std::move(found->second);
    waiting_.erase(found);
    answer->set_value(item);
  }
}

}  // namespace siskinrack::node
