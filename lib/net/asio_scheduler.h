#ifndef SISKINRACK_LIB_NET_ASIO_SCHEDULER_H_
#define SISKINRACK_LIB_NET_ASIO_SCHEDULER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/fiber/all.hpp>
#include <chrono>
#include <cstddef>
#include <memory>

namespace siskinrack::net::detail {

/// Schedules fibers round-robin and runs an Asio event loop while no fiber is ready.
///
/// Completion handlers run only on the dispatcher's stack. A handler on the stack of a fiber that
/// is about to suspend could make that same fiber ready, and the scheduler would then resume a
/// running fiber.
class asio_scheduler final : public boost::fibers::algo::algorithm {
 public:
  explicit asio_scheduler(std::shared_ptr<boost::asio::io_context> io) : io_(std::move(io)) {}

  void awakened(boost::fibers::context* context) noexcept override { context->ready_link(ready_); }

  boost::fibers::context* pick_next() noexcept override {
    PollFromDispatcher();
    if (ready_.empty()) return nullptr;
    boost::fibers::context* next = &ready_.front();
    ready_.pop_front();
    return next;
  }

  [[nodiscard]] bool has_ready_fibers() const noexcept override { return !ready_.empty(); }

  void suspend_until(const std::chrono::steady_clock::time_point& deadline) noexcept override {
    if (deadline == std::chrono::steady_clock::time_point::max()) {
      io_->run_one();
    } else {
      io_->run_one_until(deadline);
    }
  }

  void notify() noexcept override {
    boost::asio::post(*io_, [] {});
  }

 private:
  /// Polls the event loop so that I/O makes progress even if there is always a ready fiber.
  void PollFromDispatcher() {
    const auto* active = boost::fibers::context::active();
    if (!active->is_context(boost::fibers::type::dispatcher_context)) return;
    if (++passes_ % kPassesPerPoll == 0) io_->poll();
  }

  /// Scheduler passes per poll. A poll costs a system call; polling on every fourth pass keeps the
  /// cost of a fiber switch low.
  static constexpr std::size_t kPassesPerPoll = 4;

  std::shared_ptr<boost::asio::io_context> io_;
  boost::fibers::scheduler::ready_queue_type ready_;
  std::size_t passes_ = 0;
};

}  // namespace siskinrack::net::detail

#endif  // SISKINRACK_LIB_NET_ASIO_SCHEDULER_H_
