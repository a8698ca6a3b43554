#ifndef SISKINRACK_ADMISSION_CALLER_QUEUE_H_
#define SISKINRACK_ADMISSION_CALLER_QUEUE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <optional>
#include <string>
#include <string_view>

namespace siskinrack::admission {

using time_point = std::chrono::steady_clock::time_point;

/// Represents a call that waits for a slot.
struct queued_call {
  std::uint64_t ticket = 0;
  std::string caller;
  /// Time by which the call must end: its deadline or its rank's target, whichever is earlier.
  time_point latest_end;
  /// True if `latest_end` is the rank's target.
  bool limited_by_target = false;
};

/// Queues the waiting calls of one rank and serves the callers round robin. Not thread-safe.
class caller_queue {
 public:
  /// Appends a call after the earlier calls of its caller.
  void Push(queued_call call);
  /// Removes and returns the next call; the queue must not be empty.
  queued_call Pop();
  /// Removes and returns the newest call of the caller with the most waiting calls; the queue must
  /// not be empty.
  queued_call PopFromLongest();
  /// Removes the call with this ticket; returns false if it is not in the queue.
  bool Erase(std::uint64_t ticket);
  /// Removes the calls for which `predicate` returns true and passes each of them to `removed`.
  void EraseIf(const std::function<bool(const queued_call&)>& predicate,
               const std::function<void(const queued_call&)>& removed);

  [[nodiscard]] std::size_t size() const { return size_; }
  [[nodiscard]] bool empty() const { return size_ == 0; }
  /// Returns an upper bound of the number of queued calls that are served before a new call of
  /// `caller`; at most one call per other caller too high.
  [[nodiscard]] std::size_t CallsAhead(std::string_view caller) const;

 private:
  using lane = std::deque<queued_call>;

  /// One non-empty lane per caller; the front lane is served next.
  std::list<lane> lanes_;
  std::size_t size_ = 0;
};

}  // namespace siskinrack::admission

#endif  // SISKINRACK_ADMISSION_CALLER_QUEUE_H_
