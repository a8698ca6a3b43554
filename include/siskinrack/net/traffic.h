#ifndef SISKINRACK_NET_TRAFFIC_H_
#define SISKINRACK_NET_TRAFFIC_H_

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>

#include "siskinrack/wire/siskinrack_generated.h"

namespace siskinrack::net {

/// Returns true for message types that are sent for a caller's request: calls and execution claims.
/// All other types are control traffic.
inline bool IsRequestTraffic(wire::message type) {
  return type == wire::message::call_request || type == wire::message::call_answer ||
         type == wire::message::call_cancel || type == wire::message::claim_request ||
         type == wire::message::claim_reply || type == wire::message::claim_result;
}

/// Counts the bytes of sent and received frames by message type, including the length prefix.
/// Thread-safe.
class traffic_counters {
 public:
  void CountSent(wire::message type, std::size_t bytes) { Add(sent_, type, bytes); }
  void CountReceived(wire::message type, std::size_t bytes) { Add(received_, type, bytes); }

  [[nodiscard]] std::uint64_t bytes_sent(wire::message type) const {
    return sent_.at(ToIndex(type));
  }
  [[nodiscard]] std::uint64_t bytes_received(wire::message type) const {
    return received_.at(ToIndex(type));
  }
  /// Returns the total of all control message types.
  [[nodiscard]] std::uint64_t control_bytes_sent() const { return SumControlBytes(sent_); }
  [[nodiscard]] std::uint64_t control_bytes_received() const { return SumControlBytes(received_); }

 private:
  static constexpr std::size_t kTypeCount = static_cast<std::size_t>(wire::message::MAX) + 1;
  using counters = std::array<std::atomic<std::uint64_t>, kTypeCount>;

  static std::size_t ToIndex(wire::message type) { return static_cast<std::size_t>(type); }
  static void Add(counters& counts, wire::message type, std::size_t bytes) {
    counts.at(ToIndex(type)).fetch_add(bytes, std::memory_order_relaxed);
  }

  static std::uint64_t SumControlBytes(const counters& counts) {
    std::uint64_t total = 0;
    for (std::size_t type = 1; type < kTypeCount; ++type) {
      if (!IsRequestTraffic(static_cast<wire::message>(type))) total += counts.at(type);
    }
    return total;
  }

  counters sent_{};
  counters received_{};
};

}  // namespace siskinrack::net

#endif  // SISKINRACK_NET_TRAFFIC_H_
