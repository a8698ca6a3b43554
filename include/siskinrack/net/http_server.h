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
#include "siskinrack/net/limit_counters.h"
#include "siskinrack/net/memory_budget.h"
#include "siskinrack/support/socket_address.h"

namespace siskinrack::net {

/// Handles one request. Runs in a fiber and may suspend it. `cancel` is cancelled when the client
/// closes its side of the connection. This isn't detected while the client has sent data after the
/// request that the server doesn't read yet.
using http_handler = std::function<http_response(http_request request, cancellation& cancel)>;

/// Options of an http_server.
struct http_server_options {
  support::socket_address address;
  http_limits limits = {};
  /// Limit of the number of open connections. Beyond it, the connection that has been idle for the
  /// longest time is closed, or the new one if none is idle.
  std::size_t max_connections = 4096;
  /// Budget for connections, request bodies and responses; may be null.
  memory_budget* memory = nullptr;
  /// Counts the limits that act on clients; may be null.
  limit_counters* client_limits = nullptr;
  std::chrono::milliseconds write_timeout{10'000};
  /// Returns true if the request may run while earlier requests on its connection are unanswered.
  /// It may run although its client doesn't count it as read, because an earlier response closes
  /// the connection. If the function is empty, no request may.
  std::function<bool(const http_request&)> may_overlap = {};
  /// Limit of the number of requests on one connection that are read and not answered, if requests
  /// may overlap.
  std::size_t max_overlapping = 16;
  /// Field of error responses to requests that were rejected before they reached the handler.
  http_field not_run_field = {"x-siskinrack-outcome", "not-run"};
};

/// HTTP/1.1 server. Answers the requests of a connection in their order, and handles them one after
/// the other unless they may overlap. A started server must be stopped before it is destroyed.
/// Thread-safe.
class http_server {
 public:
  http_server(fiber_runtime& runtime, http_server_options options, http_handler handler);
  ~http_server();
  http_server(const http_server&) = delete;
  http_server& operator=(const http_server&) = delete;

  /// Starts listening on all threads. Returns an error message, or an empty string on success. Must
  /// not be called from a fiber.
  std::string Start();
  /// Returns the listening port; the kernel selects it if the options specify 0.
  [[nodiscard]] std::uint16_t port() const;
  /// Returns the number of completely received requests whose response has not been written yet.
  [[nodiscard]] std::size_t in_flight() const;
  /// Returns the number of received requests that were cancelled when their handler was called,
  /// because their clients had closed the connection before.
  [[nodiscard]] std::uint64_t left_early() const;

  /// Sets the limits. Each connection applies them after the request that it is reading or waiting
  /// for.
  void SetLimits(const http_limits& limits);
  /// Closes the connections that are waiting for the first byte of a request. Doesn't block.
  void CloseIdle();
  /// Closes every connection after its current or next response. New connections are still
  /// accepted, so that requests in transit reach the handler.
  void Drain();
  /// Stops accepting new connections; open connections are not affected.
  void StopAccepting();
  /// Closes all sockets and blocks until all fibers of the server have ended. Running handlers are
  /// not cancelled. Must not be called from a fiber.
  void Stop();

 private:
  class impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace siskinrack::net

#endif  // SISKINRACK_NET_HTTP_SERVER_H_
