#ifndef SISKINRACK_NET_HTTP_CLIENT_H_
#define SISKINRACK_NET_HTTP_CLIENT_H_

#include <chrono>
#include <cstddef>
#include <functional>
#include <limits>
#include <memory>
#include <string>
#include <string_view>

#include "siskinrack/net/cancellation.h"
#include "siskinrack/net/fiber_runtime.h"
#include "siskinrack/net/http.h"
#include "siskinrack/net/memory_budget.h"
#include "siskinrack/support/socket_address.h"

namespace siskinrack::net {

/// Progress that an exchange made. It determines whether a failed request is reported as "not run"
/// (kNotSent) or as "unknown" (kSent).
enum class exchange_stage {
  /// No byte of the request was sent.
  kNotSent,
  /// Bytes may have been sent, but no complete response was received.
  kSent,
  /// A complete response was received.
  kAnswered,
};

/// Result of one exchange. `response` is valid if `stage` is kAnswered.
struct http_result {
  exchange_stage stage = exchange_stage::kNotSent;
  http_response response;
  /// Reason for a missing response.
  std::string error;
  /// True if the deadline or the time limit for connecting passed.
  bool timed_out = false;

  /// Returns true if the request may have been sent and no complete response was received for a
  /// reason other than a timeout: the connection failed, the response was malformed or the exchange
  /// was cancelled.
  [[nodiscard]] bool broken() const { return stage == exchange_stage::kSent && !timed_out; }
};

/// Result of a connection attempt.
enum class connect_result {
  kConnected,
  /// The server's VM responded that nothing listens at the address.
  kRefused,
  /// Any other failure: no response within the time limit, or an error on this side.
  kFailed,
};

/// Options of one exchange.
struct exchange_options {
  /// Returns true if a response belongs to the request. Other responses are discarded, and the
  /// connection is then closed after the exchange. If empty, the first response is accepted.
  std::function<bool(const http_response&)> is_matching_response;
  /// Id by which the server identifies the request in its response; empty if it does not. A request
  /// that is sent again uses another connection, because a second copy of its first response could
  /// not be told from the response to the repetition.
  std::string_view request_id;
  /// Field in which the server repeats `request_id` (see MatchResponse). If it is empty, responses
  /// aren't matched: a second copy of an earlier response is then taken for the next one.
  std::string_view id_field;
  /// True if every response has an id, so that one without belongs to no request.
  bool id_required = false;
  /// Connections that were idle for longer are not reused, because the server may be closing them.
  std::chrono::milliseconds max_idle{60'000};
  /// Time limit for connecting. The kernel retransmits a lost SYN only after 1 s, so a new attempt
  /// after this limit is faster.
  std::chrono::milliseconds connect_timeout{600};
  /// Time by which the deadline is extended at most while bytes of the response keep arriving, each
  /// at most kProgressInterval after the one before. A large response on a slow link would
  /// otherwise be aborted and requested again without end.
  std::chrono::milliseconds progress_extension{0};
  static constexpr std::chrono::milliseconds kProgressInterval{1'000};
  /// Time limit for the response on a reused connection, which may have gone silent while it was
  /// idle. After it, all idle connections to the server are closed and the request is sent again on
  /// a new one, so it must be repeatable. Zero for no such limit.
  std::chrono::milliseconds reuse_timeout{0};
};

/// Relation of a response to the request that was sent last on its connection.
enum class response_match {
  /// Repeats the id of the request, or ids aren't used.
  kOwn,
  /// Has no id. It belongs to the request if all responses before it on the connection had one, so
  /// the connection must not be used for another request after it.
  kUnidentified,
  /// Belongs to another request.
  kOther,
};

/// Matches a response to a request by its id. A server may send a response twice, the second time
/// when the next response on the connection is expected.
response_match MatchResponse(const http_response& response, const exchange_options& options);

/// HTTP/1.1 client with one pool of keep-alive connections per thread. Thread-safe, but must be
/// called from fibers of the runtime.
class http_client {
 public:
  /// `body_budget` bounds the bytes of all response bodies that are being received; an exchange
  /// that exceeds it fails. A server may send a body without end. They are also charged to `memory`
  /// unless it is null.
  explicit http_client(fiber_runtime& runtime, std::size_t max_idle_per_thread = 64,
                       std::size_t body_budget = std::numeric_limits<std::size_t>::max(),
                       memory_budget* memory = nullptr);
  ~http_client();

  /// Sends a request and waits for the response, `deadline` or a cancellation. A cancelled or
  /// timed-out exchange closes its connection, so that a late response isn't matched to a later
  /// request. A response is bounded in the size of its header section, its body (kMaxResponseBytes)
  /// and its framing, and in the number of interim and other responses before it. One with a head
  /// that HTTP doesn't allow fails the exchange, and so does one without a length whose connection
  /// fails before the server ends it. A request with a problem (FindRequestProblem) fails with
  /// kNotSent.
  http_result Send(const support::socket_address& address, http_request request,
                   steady_time deadline, cancellation* cancel = nullptr,
                   const exchange_options& options = {});

  /// Connects to the server unless an idle connection to it is open. The connection is kept for the
  /// next request.
  connect_result TryConnect(const support::socket_address& address,
                            std::chrono::milliseconds timeout);

  /// Closes the idle connections in the pool of the calling thread.
  void CloseIdle();

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace siskinrack::net

#endif  // SISKINRACK_NET_HTTP_CLIENT_H_
