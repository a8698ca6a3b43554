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

/// State that all links of a process share. A link is a TCP connection between two nodes that
/// carries frames (wire/frame.h). `clock` and `traffic` must not be null.
struct peer_context {
  std::string node_id;
  support::hybrid_clock* clock = nullptr;
  traffic_counters* traffic = nullptr;
  /// Source IP address of outgoing links; if empty, the kernel selects one.
  std::string source_ip;
  /// Number of call answers that are queued or being written. A shutdown waits until it is 0.
  std::atomic<std::size_t> unwritten_answers = 0;
};

/// Result of a request to a peer. `reply` is null unless `stage` is kAnswered. If `stage` is kSent,
/// the peer may have processed the request.
struct peer_result {
  exchange_stage stage = exchange_stage::kNotSent;
  std::unique_ptr<wire::envelope_t> reply;
  /// Reason for a missing reply.
  std::string error;
  /// True if the deadline passed after the link was established.
  bool timed_out = false;
};

/// Handles a request from a peer in a new fiber. Returns the reply, or std::nullopt if the message
/// requires none. `cancel` is cancelled when the peer cancels the request or the link is closed,
/// but never for a message that expects no reply.
using peer_handler = std::function<std::optional<wire::envelope_t>(const wire::envelope_t& request,
                                                                   cancellation& cancel)>;

/// Specifies what becomes of a request whose peer shows no sign of life for some time.
enum class silence_policy {
  /// The request fails with kSent, so that it can be sent to another peer.
  kGiveUp,
  /// The request waits on, until its deadline: a late reply is worth more than none to a request
  /// that must not be sent again.
  kAwaitReply,
};

/// Options of a peer_pool.
struct peer_pool_options {
  /// Time without a frame after which a link without pending requests is closed, and time without
  /// use after which the state of an address is discarded. Must exceed the longest request
  /// deadline, since requests refer to the state while they wait for a link.
  std::chrono::milliseconds idle_timeout{60'000};
  /// Time limit for connecting.
  std::chrono::milliseconds dial_timeout{1'000};
  /// Upper bound of the backoff before a failed address is dialled again.
  std::chrono::milliseconds backoff_max{10'000};
};

/// Manages outgoing links, at most one per address and thread. Links are dialled on first use and
/// closed when idle, so that a node of a large mesh only holds the links that it uses. Failed
/// addresses are dialled again after an exponential backoff with full jitter. Thread-safe, but must
/// be called from fibers of the runtime unless stated otherwise.
class peer_pool {
 public:
  peer_pool(fiber_runtime& runtime, peer_context& context, peer_pool_options options = {});
  ~peer_pool();

  /// Sends `message` and waits for the reply, `deadline` or a cancellation. Fails with kNotSent if
  /// dialling fails or a backoff is in progress. A cancellation of `recall` withdraws the request
  /// at the peer like one of `cancel`, but the reply, which may tell that the request did not run,
  /// is awaited for another moment. A link that is closed with requests whose replies are missing
  /// is reset, so that bytes of them that are held up on the way don't reach the peer later.
  peer_result Request(const support::socket_address& address, wire::envelope_t message,
                      steady_time deadline, cancellation* cancel = nullptr,
                      cancellation* recall = nullptr,
                      silence_policy silence = silence_policy::kGiveUp);
  /// Sets the callback for established links that are closed for any reason other than idleness and
  /// Stop. It runs in a fiber on the thread of the link. Must be called before the first use of the
  /// pool.
  void OnLinkBroken(std::function<void(const support::socket_address& address)> callback);
  /// Sends `message` without waiting for a reply. If there is no link, dials in the background; the
  /// message is dropped if that fails or a backoff is in progress.
  void Send(const support::socket_address& address, wire::envelope_t message);

  /// Closes all links. Must not be called from a fiber.
  void Stop();

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

/// Options of a peer_server.
struct peer_server_options {
  support::socket_address address;
  /// Limit of new links per second, divided evenly among the threads; 0 means no limit. After a
  /// pause, the links of up to one second are accepted at once. Bounds the load of a reconnect
  /// storm.
  double accepts_per_second = 50;
};

/// Accepts links from peers and passes their requests to a handler. A started server must be
/// stopped before it is destroyed.
class peer_server {
 public:
  peer_server(fiber_runtime& runtime, peer_context& context, peer_server_options options,
              peer_handler handler);
  ~peer_server();

  /// Starts listening on all threads. Returns an error message, or an empty string on success. Must
  /// not be called from a fiber.
  std::string Start();
  /// Returns the listening port; the kernel selects it if the options specify 0.
  [[nodiscard]] std::uint16_t port() const;
  /// Closes all links and blocks until their fibers have ended. Must not be called from a fiber.
  void Stop();

 private:
  class impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace siskinrack::net

#endif  // SISKINRACK_NET_PEER_H_
