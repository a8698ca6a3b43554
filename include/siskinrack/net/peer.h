#ifndef SISKINRACK_NET_PEER_H_
#define SISKINRACK_NET_PEER_H_

#include <atomic>
#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "siskinrack/net/cancellation.h"
#include "siskinrack/net/fiber_runtime.h"
#include "siskinrack/net/http_client.h"
#include "siskinrack/net/traffic.h"
#include "siskinrack/support/hybrid_clock.h"
#include "siskinrack/support/socket_address.h"
#include "siskinrack/wire/frame.h"

namespace siskinrack::net {

/// What every link of a process shares.
struct peer_context {
  std::string node_id;
  support::hybrid_clock* clock = nullptr;
  traffic_counters* traffic = nullptr;
  /// Source IP number of outgoing links; empty lets the kernel choose.
  std::string source_ip;
  /// Answers to calls that are queued or being written. A shutdown waits for them.
  std::atomic<std::size_t> unwritten_answers = 0;
};

/// Result of a request to a peer. `kSent` without a reply means that the peer may have acted on it.
struct peer_result {
  exchange_stage stage = exchange_stage::kNotSent;
  std::unique_ptr<wire::envelope_t> reply;
  std::string error;
  bool timed_out = false;
};

/// Handles a request of a peer in a fiber of its own and returns the reply, or nothing if the
/// message needs none. `cancel` fires when the peer cancels or its link breaks.
using peer_handler = std::function<std::optional<wire::envelope_t>(const wire::envelope_t& request,
                                                                   cancellation& cancel)>;

struct peer_pool_options {
  /// Links without a frame for this long are closed. Longer than the longest deadline of a request.
  std::chrono::milliseconds idle_timeout{60'000};
  /// Time for a connection to be established.
  std::chrono::milliseconds dial_timeout{1'000};
  /// Longest wait before a failed address is dialled again.
  std::chrono::milliseconds backoff_max{10'000};
};

/// Outgoing links, at most one per address and thread, dialled on first use and closed
/// when idle, so that a node of a large mesh keeps the links in use only. Failed addresses
/// are dialled again after a full-jitter backoff. Use it from fibers of the runtime.
class peer_pool {
 public:
  peer_pool(fiber_runtime& runtime, peer_context& context, peer_pool_options options = {});
  ~peer_pool();

  /// Sends `message` and waits for the reply.
  peer_result Request(const support::socket_address& address, wire::envelope_t message,
                      steady_time deadline, cancellation* cancel = nullptr);
  /// `listener` runs in a fiber of the link's thread when an established link to the address
  /// breaks, other than by being idle. To be set before the first use of the pool.
  void OnLinkBroken(std::function<void(const support::socket_address& address)> listener);
  /// Sends `message` without waiting for a reply; dials in the background if there's no link.
  void Send(const support::socket_address& address, wire::envelope_t message);

  /// Closes all links. Not for use inside a fiber.
  void Stop();

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

struct peer_server_options {
  support::socket_address address;
  /// Bounds the work of a reconnect storm: new links a second, split evenly over the threads.
  double accepts_per_second = 50;
};

/// Accepts links and passes their requests to a handler.
class peer_server {
 public:
  peer_server(fiber_runtime& runtime, peer_context& context, peer_server_options options,
              peer_handler handler);
  ~peer_server();

  /// Returns an error text, empty on success. Not for use inside a fiber.
  std::string Start();
  [[nodiscard]] std::uint16_t port() const;
  /// Closes all links and waits for their fibers. Not for use inside a fiber.
  void Stop();

 private:
  class impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace siskinrack::net

#endif  // SISKINRACK_NET_PEER_H_
