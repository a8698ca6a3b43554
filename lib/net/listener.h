#ifndef SISKINRACK_LIB_NET_LISTENER_H_
#define SISKINRACK_LIB_NET_LISTENER_H_

#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "siskinrack/net/fiber_runtime.h"
#include "siskinrack/support/socket_address.h"

namespace siskinrack::net::detail {

/// Accepts connections on every thread of a runtime. The listening sockets of all threads share one
/// port (SO_REUSEPORT).
class listener {
 public:
  using connection_handler = std::function<void(boost::asio::ip::tcp::socket)>;

  /// `handler` runs in a new fiber on the thread that accepted the connection.
  listener(fiber_runtime& runtime, connection_handler handler);

  /// Limits the connections that each thread accepts per second; 0 means no limit. After a pause,
  /// the connections of up to one second are accepted at once. Must be called before Start.
  void LimitAcceptRate(double per_second) { accepts_per_second_ = per_second; }

  /// Starts listening on all threads. Returns an error message, or an empty string on success. Must
  /// not be called from a fiber.
  std::string Start(const support::socket_address& address);
  [[nodiscard]] std::uint16_t port() const { return port_; }
  /// Stops accepting new connections. Established ones are served, including those that still wait
  /// in the kernel's accept queue.
  void StopAccepting();
  /// Closes the listening sockets.
  void Close();
  /// Starts a fiber on the calling thread that WaitForFibers waits for.
  void SpawnCounted(std::function<void()> body) const;
  /// Blocks until every fiber that the listener started has ended. Must not be called from a fiber.
  void WaitForFibers() const;
  /// Returns the number of running fibers: one per open connection, one accept loop per thread and
  /// those that SpawnCounted started.
  [[nodiscard]] std::size_t fiber_count() const { return *fiber_count_; }

 private:
  struct accept_state;

  void AcceptLoop(const std::shared_ptr<accept_state>& state);

  fiber_runtime& runtime_;
  connection_handler handler_;
  double accepts_per_second_ = 0;
  std::uint16_t port_ = 0;
  std::vector<std::shared_ptr<accept_state>> acceptors_;
  std::shared_ptr<std::atomic<std::size_t>> fiber_count_ =
      std::make_shared<std::atomic<std::size_t>>(0);
};

/// Shuts down and closes a socket without blocking. Errors are ignored, because the peer may have
/// closed the connection already.
void CloseQuietly(boost::asio::ip::tcp::socket& socket);

/// Closes a socket with a reset, which discards the bytes that the peer has not received. Errors
/// are ignored like those of CloseQuietly.
void ResetQuietly(boost::asio::ip::tcp::socket& socket);

/// Enables TCP keep-alive and limits the time for which sent data may stay unacknowledged, so that
/// the connection fails within a few seconds after the peer becomes unreachable. Errors are
/// ignored, because every exchange has its own timeout.
void EnableKeepAlive(boost::asio::ip::tcp::socket& socket);

}  // namespace siskinrack::net::detail

#endif  // SISKINRACK_LIB_NET_LISTENER_H_
