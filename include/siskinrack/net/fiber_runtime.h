#ifndef SISKINRACK_NET_FIBER_RUNTIME_H_
#define SISKINRACK_NET_FIBER_RUNTIME_H_

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <vector>

namespace siskinrack::net {

using steady_time = std::chrono::steady_clock::time_point;

namespace detail {
class runtime_thread;
}  // namespace detail

/// Runs fibers on a fixed number of threads. Each thread has its own event loop. A fiber never
/// moves to another thread, and neither do the sockets that it opens.
class fiber_runtime {
 public:
  /// Starts `threads` threads; at least one is required.
  explicit fiber_runtime(std::size_t threads);
  /// Blocks until every fiber has ended. Servers and pools must be stopped first.
  ~fiber_runtime();
  fiber_runtime(const fiber_runtime&) = delete;
  fiber_runtime& operator=(const fiber_runtime&) = delete;

  [[nodiscard]] std::size_t thread_count() const;

  /// Starts a fiber on thread `index`, which must be less than thread_count(). Thread-safe.
  void Post(std::size_t index, std::function<void()> body);
  /// Runs `body` in a fiber on thread `index` and blocks until it returns. Must not be called from
  /// a fiber.
  void Run(std::size_t index, const std::function<void()>& body);

  /// Returns the index of the calling thread, which must be a runtime thread.
  static std::size_t GetCurrentThreadIndex();

 private:
  std::vector<std::unique_ptr<detail::runtime_thread>> threads_;
};

/// Starts a fiber on the calling runtime thread.
void Spawn(std::function<void()> body);
/// Suspends the calling fiber for `duration`; other fibers of its thread continue to run.
void SleepFor(std::chrono::nanoseconds duration);

}  // namespace siskinrack::net

#endif  // SISKINRACK_NET_FIBER_RUNTIME_H_
