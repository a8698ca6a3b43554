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

/// Accepts connections on every thread of a runtime through one port (SO_REUSEPORT).
class listener {
 public:
  using connection_handler = std::function<void(boost::asio::ip::tcp::socket)>;

  /// `handler` runs in a new fiber of the accepting thread.
  listener(fiber_runtime& runtime, connection_handler handler);

  /// At most this many connections a second on each thread; 0 means no limit.
  void LimitAcceptRate(double per_second) { accepts_per_second_ = per_second; }

  /// Returns an error text, empty on success. Not for use inside a fiber.
  std::string Start(const support::socket_address& address);
  [[nodiscard]] std::uint16_t port() const { return port_; }
  /// Takes no new connections; those that are open already, also in the kernel's queue, are served.
  void StopAccepting();
  /// Closes the listening sockets.
  void Close();
  /// Waits until every fiber started by the listener has ended. Not for use inside a fiber.
  void WaitIdle() const;
  [[nodiscard]] std::size_t connections() const { return *connections_; }

 private:
  struct accept_state;

  void AcceptLoop(const std::shared_ptr<accept_state>& state);

  fiber_runtime& runtime_;
  connection_handler handler_;
  double accepts_per_second_ = 0;
  std::uint16_t port_ = 0;
  std::vector<std::shared_ptr<accept_state>> acceptors_;
  std::shared_ptr<std::atomic<std::size_t>> connections_ =
      std::make_shared<std::atomic<std::size_t>>(0);
};

/// Closes a socket without waiting; errors don't matter because the peer may be gone.
void CloseQuietly(boost::asio::ip::tcp::socket& socket);

/// Lets the kernel find out that the other end is gone although nothing is sent. Failures don't
/// matter: every exchange has a timeout of its own.
void EnableKeepAlive(boost::asio::ip::tcp::socket& socket);

}  // namespace siskinrack::net::detail

#endif  // SISKINRACK_LIB_NET_LISTENER_H_
