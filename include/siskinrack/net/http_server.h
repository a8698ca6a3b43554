#ifndef SISKINRACK_NET_HTTP_SERVER_H_
#define SISKINRACK_NET_HTTP_SERVER_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "siskinrack/net/cancellation.h"
#include "siskinrack/net/fiber_runtime.h"
#include "siskinrack/net/http.h"
#include "siskinrack/support/socket_address.h"

namespace siskinrack::net {

/// Answers one request; runs in a fiber and may suspend. `cancel` fires when the caller hangs up.
using http_handler = std::function<http_response(http_request request, cancellation& cancel)>;

struct http_server_options {
  support::socket_address address;
  http_limits limits = {};
  /// Open connections over all threads; further ones are closed at once.
  std::size_t max_connections = 4096;
  std::chrono::milliseconds write_timeout{10'000};
  /// Field that tells a client that an error of its own request was found before it ran.
  http_field not_run_field = {"x-siskinrack-outcome", "not-run"};
};

/// HTTP/1.1 server. Requests of a connection are answered in order, so pipelining is safe.
class http_server {
 public:
  http_server(fiber_runtime& runtime, http_server_options options, http_handler handler);
  ~http_server();
  http_server(const http_server&) = delete;
  http_server& operator=(const http_server&) = delete;

  /// Listens on all threads. Returns an error text, empty on success. Not for use inside a fiber.
  std::string Start();
  /// Port in use; the kernel's choice if the options said 0.
  [[nodiscard]] std::uint16_t port() const;
  /// Requests whose response isn't written yet.
  [[nodiscard]] std::size_t in_flight() const;

  /// Limits of the requests that are read from now on. Safe on every thread.
  void SetLimits(const http_limits& limits);
  /// Closes the connections on which no request was begun.
  void CloseIdle();
  /// Closes every connection after its next response. Connections are still accepted, so that a
  /// request on its way gets an answer; the handler decides which one.
  void Drain();
  /// Takes no new connections; open ones stay.
  void StopAccepting();
  /// Closes everything and waits for the end of all fibers. Not for use inside a fiber.
  void Stop();

 private:
  class impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace siskinrack::net

#endif  // SISKINRACK_NET_HTTP_SERVER_H_
