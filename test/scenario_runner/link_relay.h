#ifndef SISKINRACK_TEST_SCENARIO_RUNNER_LINK_RELAY_H_
#define SISKINRACK_TEST_SCENARIO_RUNNER_LINK_RELAY_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

namespace siskinrack::test {

/// Delay and loss of the links between failure domains.
struct link_quality {
  std::chrono::milliseconds delay{0};
  /// Upper bound of the random delay that is added to `delay`.
  std::chrono::milliseconds jitter{0};
  /// Fraction of chunks, 0 to 1, that are delayed by a retransmission timeout.
  double loss = 0;
};

/// Forwards the TCP connections between nodes: each node advertises a port of the relay. Links
/// between failure domains have a delay and can be cut. The domain of the connecting node is taken
/// from its source address, 127.0.<domain>.1. Methods may be called from any thread but the
/// relay's.
class link_relay {
 public:
  explicit link_relay(link_quality quality);
  ~link_relay();

  /// Opens a port on 127.0.0.1 for a node in `domain` (1 and up) and returns it.
  std::uint16_t Open(unsigned domain);
  /// Sets the port of the node to which connections to the relay's `port` are forwarded.
  void SetTarget(std::uint16_t port, std::uint16_t node_port);
  /// Holds back all bytes between two domains; 0 stands for every other domain.
  void Cut(unsigned a, unsigned b);
  /// Ends all cuts and closes the connections over the links that were cut.
  void Heal();

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace siskinrack::test

#endif  // SISKINRACK_TEST_SCENARIO_RUNNER_LINK_RELAY_H_
