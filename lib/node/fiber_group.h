#ifndef SISKINRACK_LIB_NODE_FIBER_GROUP_H_
#define SISKINRACK_LIB_NODE_FIBER_GROUP_H_

#include <atomic>
#include <chrono>
#include <cstddef>
#include <functional>
#include <thread>
#include <utility>

#include "siskinrack/net/fiber_runtime.h"

namespace siskinrack::node {

/// Tracks the background fibers of one service so that they can be stopped and awaited. Must
/// outlive its fibers.
class fiber_group {
 public:
  /// Starts a fiber on the calling runtime thread.
  void Spawn(std::function<void()> body) {
    ++running_;
    net::Spawn([this, body = std::move(body)] { Run(body); });
  }
  /// Starts a fiber on the thread `index` of `runtime`.
  void Post(net::fiber_runtime& runtime, std::size_t index, std::function<void()> body) {
    ++running_;
    runtime.Post(index, [this, body = std::move(body)] { Run(body); });
  }

  /// Returns true once Stop has been called. Long-running fibers check it and return.
  [[nodiscard]] bool stopping() const { return stopping_; }

  /// Requests all fibers to return and blocks until they have. Must not be called from a fiber.
  void Stop() {
    stopping_ = true;
    while (running_ > 0) std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }

 private:
  void Run(const std::function<void()>& body) {
    body();
    --running_;
  }

  std::atomic<std::size_t> running_ = 0;
  std::atomic<bool> stopping_ = false;
};

}  // namespace siskinrack::node

#endif  // SISKINRACK_LIB_NODE_FIBER_GROUP_H_
