#ifndef SISKINRACK_NET_CANCELLATION_H_
#define SISKINRACK_NET_CANCELLATION_H_

#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <utility>

namespace siskinrack::net {

/// Signals the code that handles one request that the result is no longer needed, for example
/// because the caller disconnected. Thread-safe. Callbacks run on the thread that calls Cancel and
/// must not block.
class cancellation {
 public:
  /// Cancels the request and runs the registered callbacks. Further calls have no effect.
  void Cancel();
  [[nodiscard]] bool cancelled() const;

  /// Registers `callback` and returns a handle for Remove. If Cancel was already called, runs
  /// `callback` immediately and returns 0.
  std::uint64_t AddCallback(std::function<void()> callback);
  /// Unregisters a callback. Unknown handles, such as 0, are ignored. A callback that Cancel has
  /// taken over on another thread may run after this function returns.
  void Remove(std::uint64_t handle);

 private:
  mutable std::mutex mutex_;
  bool cancelled_ = false;
  std::uint64_t next_handle_ = 1;
  std::map<std::uint64_t, std::function<void()>> callbacks_;
};

/// Registers a callback of a cancellation, which may be null, for the lifetime of this object.
class scoped_callback {
 public:
  scoped_callback(cancellation* source, std::function<void()> callback) : source_(source) {
    if (source_ != nullptr) handle_ = source_->AddCallback(std::move(callback));
  }
  ~scoped_callback() {
    if (source_ != nullptr) source_->Remove(handle_);
  }
  scoped_callback(const scoped_callback&) = delete;
  scoped_callback& operator=(const scoped_callback&) = delete;

 private:
  cancellation* source_;
  std::uint64_t handle_ = 0;
};

}  // namespace siskinrack::net

#endif  // SISKINRACK_NET_CANCELLATION_H_
