#ifndef SISKINRACK_TEST_SCENARIO_RUNNER_LINK_RELAY_H_
#define SISKINRACK_TEST_SCENARIO_RUNNER_LINK_RELAY_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

namespace siskinrack::test {

struct link_quality {
  std::chrono::milliseconds delay{0};
  std::chrono::milliseconds jitter{0};
  /// Share of chunks that arrive late by a retransmission time.
  double loss = 0;
};

/// Stands between the nodes: each node advertises a port of the relay. Links between failure
/// domains get a delay and can be cut; the domain of the dialling node is known by its source IP
/// number 127.0.<domain>.1.
class link_relay {
 public:
  explicit link_relay(link_quality quality);
  ~link_relay();

  /// Opens a port for a node in `domain` (1 and up) and returns it.
  std::uint16_t Open(unsigned domain);
  /// Says where the node behind the relay's port `port` listens.
  void SetTarget(std::uint16_t port, std::uint16_t node_port);
  /// Stops all bytes between two domains; 0 stands for every other domain.
  void Cut(unsigned a, unsigned b);
  /// Ends all cuts; connections that were cut break.
  void Heal();

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace siskinrack::test

#endif  // SISKINRACK_TEST_SCENARIO_RUNNER_LINK_RELAY_H_
