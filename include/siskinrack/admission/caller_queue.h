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

/// A call that waits for a slot.
struct queued_call {
  std::uint64_t ticket = 0;
  std::string caller;
  /// Latest end of the call: its deadline or its rank's target, whichever is earlier.
  time_point end_by;
  /// Whether `end_by` is the rank's target.
  bool by_target = false;
};

/// Waiting calls of one rank, served round robin over the callers.
class caller_queue {
 public:
  void Push(queued_call call);
  /// Next call in turn; the queue must not be empty.
  queued_call Pop();
  /// Newest call of the caller with the most waiting calls; the queue must not be empty.
  queued_call PopFromLongest();
  /// Removes a call; false if it isn't here.
  bool Erase(std::uint64_t ticket);
  /// Removes the calls that `predicate` selects and passes them to `removed`.
  void EraseIf(const std::function<bool(const queued_call&)>& predicate,
               const std::function<void(const queued_call&)>& removed);

  [[nodiscard]] std::size_t size() const { return size_; }
  [[nodiscard]] bool empty() const { return size_ == 0; }
  /// Calls that would be served before another one of `caller`.
  [[nodiscard]] std::size_t CallsAhead(std::string_view caller) const;

 private:
  using lane = std::deque<queued_call>;

  /// One lane per caller, none of them empty; the front lane is next in turn.
  std::list<lane> lanes_;
  std::size_t size_ = 0;
};

}  // namespace siskinrack::admission

#endif  // SISKINRACK_ADMISSION_CALLER_QUEUE_H_
