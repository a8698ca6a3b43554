#ifndef SISKINRACK_NET_HTTP_CLIENT_H_
#define SISKINRACK_NET_HTTP_CLIENT_H_

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include "siskinrack/net/cancellation.h"
#include "siskinrack/net/fiber_runtime.h"
#include "siskinrack/net/http.h"
#include "siskinrack/support/socket_address.h"

namespace siskinrack::net {

/// How far an exchange went. It decides between "not run" and "unknown".
enum class exchange_stage {
  /// No byte of the request left this process.
  kNotSent,
  /// Bytes were sent and no whole response came back.
  kSent,
  /// A whole response was received.
  kAnswered,
};

struct http_result {
  exchange_stage stage = exchange_stage::kNotSent;
  http_response response;
  /// Why there is no response.
  std::string error;
  bool timed_out = false;

  /// The connection ended after the request was sent and before a whole response came.
  [[nodiscard]] bool broken() const { return stage == exchange_stage::kSent && !timed_out; }
};

/// How one exchange is made.
struct exchange_options {
  /// Tells whether a response belongs to the request. Others are skipped, and the connection is
  /// closed after the exchange.
  std::function<bool(const http_response&)> is_matching_response;
  /// A connection that was idle for longer isn't used: the server may be closing it.
  std::chrono::milliseconds max_idle{60'000};
  /// Time for a connection to be established. A first packet that is lost is sent again after
  /// seconds only, so a new attempt is quicker.
  std::chrono::milliseconds connect_timeout{600};
};

/// HTTP/1.1 client with keep-alive connections, one pool per thread. Use it from fibers of the
/// runtime.
class http_client {
 public:
  explicit http_client(fiber_runtime& runtime, std::size_t max_idle_per_thread = 64);
  ~http_client();

  /// Sends a request and waits for the response until `deadline` or a cancellation. A cancelled or
  /// timed-out exchange closes its connection, so that a late response can't be taken for
  /// another's.
  http_result Send(const support::socket_address& address, http_request request,
                   steady_time deadline, cancellation* cancel = nullptr,
                   const exchange_options& options = {});

  /// Whether the server accepts a connection, which is kept for the next request. An idle
  /// connection that is open counts too.
  bool CanConnect(const support::socket_address& address, std::chrono::milliseconds timeout);

  /// Closes the idle connections of the calling thread.
  void CloseIdle();

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace siskinrack::net

#endif  // SISKINRACK_NET_HTTP_CLIENT_H_
