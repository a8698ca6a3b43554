#ifndef SISKINRACK_TEST_SCENARIO_RUNNER_LINK_RELAY_H_
#define SISKINRACK_TEST_SCENARIO_RUNNER_LINK_RELAY_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

namespace siskinrack::test {

/// Represents the delay and loss of the links between failure domains.
struct link_quality {
  std::chrono::milliseconds delay{0};
  /// Upper bound of the random delay that is added to `delay`.
  std::chrono::milliseconds jitter{0};
  /// Fraction of chunks, 0 to 1, that are delayed by a retransmission timeout of 200 ms in
  /// addition.
  double loss = 0;
};

/// Forwards the TCP connections between nodes on a thread of its own: each node advertises a port
/// of the relay. Links between failure domains have a delay and can be cut. The domain of the
/// connecting node is taken from its source address, 127.0.<domain>.1. If one side closes a
/// connection, the other side is closed too. Methods may be called from any other thread.
class link_relay {
 public:
  explicit link_relay(link_quality quality);
  ~link_relay();

  /// Opens a port on 127.0.0.1 for a node in `domain` (1 and up) and returns it. Connections to the
  /// port are closed until it has a target. Throws boost::system::system_error on failure.
  std::uint16_t Open(unsigned domain);
  /// Sets the port of the node to which new connections to the relay's `port` are forwarded. Throws
  /// std::out_of_range if `Open` didn't return `port`.
  void SetTarget(std::uint16_t port, std::uint16_t node_port);
  /// Holds back all bytes between two domains, also on connections that are opened later; 0 stands
  /// for every other domain.
  void Cut(unsigned a, unsigned b);
  /// Ends all cuts and closes the connections over the links that were cut; the bytes held back are
  /// lost.
  void Heal();

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace siskinrack::test

#endif  // SISKINRACK_TEST_SCENARIO_RUNNER_LINK_RELAY_H_
