#ifndef SISKINRACK_SUPPORT_IN_FLIGHT_GUARD_H_
#define SISKINRACK_SUPPORT_IN_FLIGHT_GUARD_H_

#include <atomic>
#include <cstddef>

namespace siskinrack::support {

/// Increments a counter of operations in flight for the lifetime of this object.
class in_flight_guard {
 public:
  explicit in_flight_guard(std::atomic<std::size_t>& counter) : counter_(counter) { ++counter_; }
  ~in_flight_guard() { --counter_; }
  in_flight_guard(const in_flight_guard&) = delete;
  in_flight_guard& operator=(const in_flight_guard&) = delete;

 private:
  std::atomic<std::size_t>& counter_;
};

}  // namespace siskinrack::support

#endif  // SISKINRACK_SUPPORT_IN_FLIGHT_GUARD_H_
