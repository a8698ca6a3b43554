#ifndef SISKINRACK_NET_LINK_PACER_H_
#define SISKINRACK_NET_LINK_PACER_H_

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>

namespace siskinrack::net {

/// Tracks when the network link of a VM is expected to be free of the bytes that its node has sent.
/// Deterministic: the time is an argument.
///
/// Load pattern: a node sends large answers faster than its link carries them. They fill the queue
/// of the link, in which small urgent answers, calls to the store and probes wait behind them. With
/// the schedule, large frames wait in the node, and the queue of the link stays short.
class link_schedule {
 public:
  using time_point = std::chrono::steady_clock::time_point;

  explicit link_schedule(double bytes_per_second) : bytes_per_second_(bytes_per_second) {}

  /// Records bytes that are passed to the link.
  void OnSent(std::size_t bytes, time_point now) {
    free_at_ = std::max(free_at_, now) + ComputeDuration(bytes);
  }
  /// Returns the time from which the next part of a large frame may be passed to the link.
  [[nodiscard]] time_point NextStart() const { return free_at_ - kLead; }
  /// Returns the time until the link is free, if `waiting` further bytes are sent before.
  [[nodiscard]] std::chrono::nanoseconds EstimateWait(std::size_t waiting, time_point now) const {
    return std::max(std::chrono::nanoseconds(0), std::chrono::nanoseconds(free_at_ - now)) +
           ComputeDuration(waiting);
  }
  [[nodiscard]] std::chrono::nanoseconds ComputeDuration(std::size_t bytes) const {
    return std::chrono::nanoseconds(
        static_cast<std::int64_t>(static_cast<double>(bytes) / bytes_per_second_ * 1e9));
  }

 private:
  /// Bytes for this time are passed to the link ahead, so that it doesn't become idle while the
  /// node waits for processor time.
  static constexpr std::chrono::milliseconds kLead{8};

  double bytes_per_second_;
  time_point free_at_{};
};

/// Lets the large frames of all links of a node share its network link with the other traffic.
/// Large frames are sent one after the other, in parts between which small frames of other links
/// pass. A frame whose peer doesn't read keeps no other one waiting. Used on one runtime thread.
class link_pacer {
 public:
  /// `bytes_per_second` is the capacity of the network link of the VM.
  explicit link_pacer(double bytes_per_second) : schedule_(bytes_per_second * kUsableFraction) {}

  /// Frames above this size are sent in parts.
  static constexpr std::size_t kLargeFrameBytes = 16U << 10U;
  /// Size of a part: less than 10 ms on a link of 10 Mbit/s.
  static constexpr std::size_t kPartBytes = 8U << 10U;

  /// Records a frame that was sent without waiting.
  void OnSent(std::size_t bytes);
  /// Records that a large frame was queued, or that one was dropped with `bytes` unsent.
  void AddWaiting(std::size_t bytes) { waiting_bytes_ += bytes; }
  void DropWaiting(std::size_t bytes) { waiting_bytes_ -= bytes; }
  /// Calls `send` when a part of a large frame may be sent, which may be at once. `continues` is
  /// true if an earlier part of the frame was sent.
  void SendPart(std::size_t bytes, bool continues, std::function<void()> send);

  /// Returns the time until a large frame that is queued now is sent.
  [[nodiscard]] std::chrono::milliseconds EstimateWait() const;
  /// Returns the time for which `bytes` occupy the link.
  [[nodiscard]] std::chrono::milliseconds EstimateTransfer(std::size_t bytes) const;

 private:
  struct waiting_part {
    std::size_t bytes = 0;
    std::function<void()> send;
  };

  /// The rest is for framing below the frames, retransmissions, and traffic that isn't recorded
  /// here, such as calls to the platform's store.
  static constexpr double kUsableFraction = 0.85;

  void StartNext();

  link_schedule schedule_;
  std::deque<waiting_part> parts_;
  std::size_t waiting_bytes_ = 0;
  bool timer_active_ = false;
};

}  // namespace siskinrack::net

#endif  // SISKINRACK_NET_LINK_PACER_H_
