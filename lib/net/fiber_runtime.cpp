#include "siskinrack/net/fiber_runtime.h"

#include <boost/asio/executor_work_guard.hpp>
#include <cassert>
#include <future>
#include <limits>
#include <thread>

#include "asio_scheduler.h"
#include "await.h"

namespace siskinrack::net {
namespace {

constexpr std::size_t kNoThread = std::numeric_limits<std::size_t>::max();

thread_local boost::asio::io_context* current_context = nullptr;
thread_local std::size_t current_thread = kNoThread;

}  // namespace

namespace detail {

boost::asio::io_context& GetCurrentContext() {
  assert(current_context != nullptr && "calling thread is not a runtime thread");
  return *current_context;
}

class runtime_thread {
 public:
  explicit runtime_thread(std::size_t index) : thread_([this, index] { RunThread(index); }) {}

  ~runtime_thread() {
    boost::asio::post(*io_, [this] { stop_event_.Notify(); });
    thread_.join();
  }

  void Post(std::function<void()> body) {
    boost::asio::post(*io_, [body = std::move(body)]() mutable { Spawn(std::move(body)); });
  }

 private:
  /// Event that can be notified once and waited for by one fiber.
  class one_shot_event {
   public:
    void Notify() {
      notified_ = true;
      if (waiter_ != nullptr) boost::fibers::context::active()->schedule(waiter_);
    }
    void Wait() {
      waiter_ = boost::fibers::context::active();
      if (!notified_) waiter_->suspend();
    }

   private:
    bool notified_ = false;
    boost::fibers::context* waiter_ = nullptr;
  };

  /// Thread function. Its main fiber waits for the stop event while the scheduler runs the others.
  void RunThread(std::size_t index) {
    current_context = io_.get();
    current_thread = index;
    boost::fibers::use_scheduling_algorithm<asio_scheduler>(io_);
    stop_event_.Wait();
  }

  std::shared_ptr<boost::asio::io_context> io_ = std::make_shared<boost::asio::io_context>(1);
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_guard_ =
      boost::asio::make_work_guard(*io_);
  one_shot_event stop_event_;
  std::thread thread_;
};

}  // namespace detail

fiber_runtime::fiber_runtime(std::size_t threads) {
  assert(threads > 0 && "fiber_runtime requires at least one thread");
  for (std::size_t i = 0; i < threads; ++i) {
    threads_.push_back(std::make_unique<detail::runtime_thread>(i));
  }
}

fiber_runtime::~fiber_runtime() = default;

std::size_t fiber_runtime::thread_count() const { return threads_.size(); }

void fiber_runtime::Post(std::size_t index, std::function<void()> body) {
  threads_.at(index)->Post(std::move(body));
}

void fiber_runtime::Run(std::size_t index, const std::function<void()>& body) {
  std::promise<void> done;
  Post(index, [&] {
    body();
    done.set_value();
  });
  done.get_future().wait();
}

std::size_t fiber_runtime::GetCurrentThreadIndex() {
  assert(current_thread != kNoThread && "calling thread is not a runtime thread");
  return current_thread;
}

void Spawn(std::function<void()> body) { boost::fibers::fiber(std::move(body)).detach(); }

void SleepFor(std::chrono::nanoseconds duration) { boost::this_fiber::sleep_for(duration); }

}  // namespace siskinrack::net
