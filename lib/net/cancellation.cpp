#include "siskinrack/net/cancellation.h"

#include <utility>

namespace siskinrack::net {

void cancellation::Cancel() {
  std::map<std::uint64_t, std::function<void()>> callbacks;
  {
    const std::lock_guard lock(mutex_);
    if (cancelled_) return;
    cancelled_ = true;
    callbacks.swap(callbacks_);
  }
  for (auto& [handle, callback] : callbacks) callback();
}

bool cancellation::cancelled() const {
  const std::lock_guard lock(mutex_);
  return cancelled_;
}

std::uint64_t cancellation::AddCallback(std::function<void()> callback) {
  {
    const std::lock_guard lock(mutex_);
    if (!cancelled_) {
      callbacks_.emplace(next_handle_, std::move(callback));
      return next_handle_++;
    }
  }
  callback();
  return 0;
}

void cancellation::Remove(std::uint64_t handle) {
  const std::lock_guard lock(mutex_);
  callbacks_.erase(handle);
}

}  // namespace siskinrack::net
