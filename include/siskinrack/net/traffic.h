#ifndef SISKINRACK_NET_TRAFFIC_H_
#define SISKINRACK_NET_TRAFFIC_H_

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>

#include "siskinrack/wire/siskinrack_generated.h"

namespace siskinrack::net {

/// True for the messages that carry requests; all others are control traffic.
inline bool IsRequestTraffic(wire::message type) {
  return type == wire::message::call_request || type == wire::message::call_answer ||
         type == wire::message::call_cancel || type == wire::message::claim_request ||
         type == wire::message::claim_reply || type == wire::message::claim_result;
}

/// Bytes of frames by message type, lengths included. Safe for use from several threads.
class traffic_counters {
 public:
  void CountSent(wire::message type, std::size_t bytes) { Add(sent_, type, bytes); }
  void CountReceived(wire::message type, std::size_t bytes) { Add(received_, type, bytes); }

  [[nodiscard]] std::uint64_t bytes_sent(wire::message type) const { return sent_.at(Index(type)); }
  [[nodiscard]] std::uint64_t bytes_received(wire::message type) const {
    return received_.at(Index(type));
  }
  /// Bytes of all messages that carry no requests.
  [[nodiscard]] std::uint64_t control_bytes_sent() const { return ControlTotal(sent_); }
  [[nodiscard]] std::uint64_t control_bytes_received() const { return ControlTotal(received_); }

 private:
  static constexpr std::size_t kTypes = static_cast<std::size_t>(wire::message::MAX) + 1;
  using counters = std::array<std::atomic<std::uint64_t>, kTypes>;

  static std::size_t Index(wire::message type) { return static_cast<std::size_t>(type); }
  static void Add(counters& list, wire::message type, std::size_t bytes) {
    list.at(Index(type)).fetch_add(bytes, std::memory_order_relaxed);
  }

  static std::uint64_t ControlTotal(const counters& list) {
    std::uint64_t total = 0;
    for (std::size_t type = 1; type < kTypes; ++type) {
      if (!IsRequestTraffic(static_cast<wire::message>(type))) total += list.at(type);
    }
    return total;
  }

  counters sent_{};
  counters received_{};
};

}  // namespace siskinrack::net

#endif  // SISKINRACK_NET_TRAFFIC_H_
