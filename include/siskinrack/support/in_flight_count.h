#ifndef SISKINRACK_SUPPORT_IN_FLIGHT_COUNT_H_
#define SISKINRACK_SUPPORT_IN_FLIGHT_COUNT_H_

#include <atomic>
#include <cstddef>

namespace siskinrack::support {

/// Counts a piece of work while it exists.
class in_flight_count {
 public:
  explicit in_flight_count(std::atomic<std::size_t>& counter) : counter_(counter) { ++counter_; }
  ~in_flight_count() { --counter_; }
  in_flight_count(const in_flight_count&) = delete;
  in_flight_count& operator=(const in_flight_count&) = delete;

 private:
  std::atomic<std::size_t>& counter_;
};

}  // namespace siskinrack::support

#endif  // SISKINRACK_SUPPORT_IN_FLIGHT_COUNT_H_
