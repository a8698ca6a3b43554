#include "siskinrack/net/http_server.h"

#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <atomic>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <utility>

#include "await.h"
#include "handler_failure.h"
#include "http_fields.h"
#include "listener.h"
#include "request_reader.h"
#include "server_connection.h"
#include "siskinrack/support/in_flight_guard.h"

namespace siskinrack::net {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using detail::Await;
using detail::read_state;
using detail::request_reader;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

/// Memory of a connection: the used part of the stack of its fiber, its buffer and its state.
constexpr std::size_t kConnectionBytes = 24U << 10U;
/// Time without a byte of a body after which its request is refused. Longer than the suspension of
/// a VM that other limits tolerate.
constexpr milliseconds kBodyProgressTimeout{5'000};
/// Wait of a request for memory. Longer than kStallTime, so that bodies that make no
/// progress have given back theirs.
constexpr milliseconds kMemoryWait{1'500};
constexpr milliseconds kMemoryPollInterval{20};

/// Returns true if the peer has closed its side of the connection or the connection has failed, and
/// false if it is open, even if data is waiting to be read.
bool IsClosedByPeer(tcp::socket& socket) {
  char byte = 0;
  const auto size = recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (size <= 0) return size == 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
  // The close may be behind the unread data.
  pollfd state{socket.native_handle(), POLLRDHUP, 0};
  return poll(&state, 1, /*timeout=*/0) > 0;
}

}  // namespace

class http_server::impl : public std::enable_shared_from_this<impl> {
 public:
  impl(fiber_runtime& runtime, http_server_options options, http_handler handler)
      : options_(std::move(options)),
        handler_(std::move(handler)),
        runtime_(runtime),
        limits_(std::make_shared<const http_limits>(options_.limits)),
        listener_(runtime, [this](tcp::socket socket) { ServeConnection(std::move(socket)); }),
        connections_(runtime.thread_count()) {}

  std::string Start() { return listener_.Start(options_.address); }
  std::uint16_t port() const { return listener_.port(); }
  std::size_t in_flight() const { return in_flight_; }
  std::uint64_t left_early() const { return left_early_; }

  void Drain() { draining_ = true; }

  void SetLimits(const http_limits& limits) {
    limits_ = std::make_shared<const http_limits>(limits);
  }

  void CloseIdle() {
    ForEachConnection([](connection& conn) {
      if (conn.idle) detail::CloseQuietly(conn.stream.socket());
    });
  }

  void StopAccepting() { listener_.StopAccepting(); }

  void Stop() {
    draining_ = true;
    stopped_ = true;
    listener_.Close();
    ForEachConnection([](connection& conn) { detail::CloseQuietly(conn.stream.socket()); });
    listener_.WaitForFibers();
  }

 private:
  using connection = detail::server_connection;
  using connection_ptr = std::shared_ptr<connection>;
  using open_request = detail::open_request;
  using readable_watch = detail::readable_watch;

  /// Calls `visit` for each open connection, asynchronously on the thread of the connection.
  template <typename Visit>
  void ForEachConnection(Visit visit) {
    for (std::size_t i = 0; i < connections_.size(); ++i) {
      runtime_.Post(i, [self = shared_from_this(), i, visit] {
        for (connection* conn : self->connections_[i]) visit(*conn);
      });
    }
  }

  void ServeConnection(tcp::socket socket) {
    if (stopped_) return;
    auto& connections = connections_[fiber_runtime::GetCurrentThreadIndex()];
    memory_charge charge(options_.memory, memory_use::kConnection);
    if (open_connections_ >= options_.max_connections || !charge.Resize(kConnectionBytes)) {
      Count(client_limit::kConnections);
      if (!CloseLongestIdle(connections)) return;
      charge.ForceResize(kConnectionBytes);
    }
    ReadRequests(std::make_shared<connection>(std::move(socket), std::move(charge), connections,
                                              open_connections_));
  }

  void Count(client_limit limit) {
    if (options_.client_limits != nullptr) {
      options_.client_limits->Count(limit, steady_clock::now());
    }
  }

  /// Closes the connection that has made no progress for the longest time, idle ones first. Returns
  /// false if none may be closed.
  static bool CloseLongestIdle(const std::set<connection*>& connections) {
    const auto now = steady_clock::now();
    const auto rank = [](const connection& conn) {
      return std::pair(conn.reading, conn.last_progress);
    };
    connection* oldest = nullptr;
    for (connection* conn : connections) {
      if (!conn->IsEvictable(now)) continue;
      if (oldest == nullptr || rank(*conn) < rank(*oldest)) oldest = conn;
    }
    if (oldest == nullptr) return false;
    oldest->evicted = true;
    oldest->charge.Release();
    detail::CloseQuietly(oldest->stream.socket());
    return true;
  }

  /// Ends the reading of requests that make no progress, on all threads.
  void InterruptStalledReads() {
    ForEachConnection([](connection& conn) {
      // A response that is being written would be cancelled as well.
      if (conn.interrupted || conn.order.open() > 0 || !conn.IsStalled(steady_clock::now())) return;
      conn.interrupted = true;
      conn.stream.cancel();
    });
  }

  /// Reads and serves requests until the connection ends or another fiber takes over the reading.
  void ReadRequests(const connection_ptr& conn) {
    while (ServeNextRequest(conn) && !stopped_) {
    }
  }

  /// Reads one request and serves it. Returns true if the calling fiber has to read the next one.
  bool ServeNextRequest(const connection_ptr& conn) {
    const std::shared_ptr<const http_limits> limits = limits_.load();
    request_reader reader(*limits, options_.memory);
    steady_clock::time_point received_at;
    const read_result result = ReadRequest(*conn, reader, *limits, received_at);
    // The request counts as not read, because it was sent behind a response that closes.
    if (conn->order.closed()) return false;
    if (result == read_result::kRefused) {
      return RefuseUnreadable(*conn, reader.status(), std::string(reader.error()));
    }
    if (result == read_result::kEnded) {
      conn->CancelOpenRequests();
      return false;
    }
    open_request open(*conn, in_flight_, received_at);
    return ServeRequest(conn, open, reader);
  }

  /// Runs the handler and writes its response when all earlier ones are written. Returns true if
  /// the calling fiber has to read the next request.
  bool ServeRequest(const connection_ptr& conn, open_request& open, request_reader& reader) {
    WatchConnection(conn, open.watch);
    memory_charge charge = reader.ReleaseCharge();
    http_request request = reader.Release();
    request.received_at = open.received_at;
    const bool may_overlap = options_.may_overlap && options_.may_overlap(request);
    if (!may_overlap && !AwaitTurn(*conn, open.position)) return false;
    // While the thread was busy, neither a close nor the request itself was looked at. The handler
    // decides, because a client that has closed only its sending side waits for the response.
    if (open.cancel.cancelled() || IsClosedByPeer(conn->stream.socket())) {
      ++left_early_;
      conn->CancelOpenRequests();
    }
    http_response response = RunHandler(std::move(request), open.cancel);
    // The response exists already, so it is charged in any case.
    charge = memory_charge(options_.memory, memory_use::kResponseBody);
    charge.ForceResize(response.body.size());
    if (!AwaitTurn(*conn, open.position)) return false;
    // No other fiber writes now, and none reads unless the reading was handed over.
    open.watch->active = false;
    boost::system::error_code ignored;
    if (!open.watch->handed_over) conn->stream.socket().cancel(ignored);
    // Requests that were read before the drain are answered on the connection.
    const bool keep_open = reader.keep_alive() && !(draining_ && conn->order.IsLast(open.position));
    const auto error = WriteResponse(*conn, std::move(response), reader.version(), keep_open);
    FinishTurn(conn, keep_open && !error);
    if (!error && !keep_open) CloseAfterResponse(*conn, open.watch->handed_over);
    return keep_open && !error && !open.watch->handed_over;
  }

  /// Waits until the requests before `request` are answered; returns false if it will not be
  /// answered.
  static bool AwaitTurn(connection& conn, detail::response_order::position request) {
    std::unique_lock lock(conn.turn_mutex);
    conn.turn_changed.wait(lock, [&] { return conn.order.closed() || conn.order.IsNext(request); });
    return !conn.order.closed();
  }

  void FinishTurn(const connection_ptr& conn, bool keep_open) {
    conn->order.Answer(keep_open);
    conn->turn_changed.notify_all();
    if (!keep_open) return conn->CancelOpenRequests();
    if (auto watch = std::exchange(conn->waiting_watch, nullptr)) OnReadable(conn, watch);
  }

  /// Detects that the client disconnects or sends a further request while a request runs.
  void WatchConnection(const connection_ptr& conn, const std::shared_ptr<readable_watch>& watch) {
    if (conn->buffer.size() > 0) OnReadable(conn, watch);
    if (watch->handed_over) return;
    // The wait must not keep the connection alive: it ends when the connection is destroyed.
    conn->stream.socket().async_wait(tcp::socket::wait_read,
                                     [self = shared_from_this(), weak = std::weak_ptr(conn),
                                      watch](const boost::system::error_code& error) {
                                       const connection_ptr waiting = weak.lock();
                                       if (error || !watch->active || waiting == nullptr) return;
                                       if (IsClosedByPeer(waiting->stream.socket()))
                                         return waiting->CancelOpenRequests();
                                       self->OnReadable(waiting, watch);
                                     });
  }

  /// Lets another fiber read the next request if it may overlap with those that are open.
  void OnReadable(const connection_ptr& conn, const std::shared_ptr<readable_watch>& watch) {
    if (!watch->active || watch->handed_over || !options_.may_overlap) return;
    if (draining_ || conn->order.closed()) return;
    if (conn->order.open() >= options_.max_overlapping) {
      conn->waiting_watch = watch;
      return;
    }
    watch->handed_over = true;
    listener_.SpawnCounted([self = shared_from_this(), conn] { self->ReadRequests(conn); });
  }

  /// Lets the client read the last response before the connection is closed: closing it with unread
  /// bytes would reset it. `has_reader` is true if another fiber reads from the connection, whose
  /// time limit ends it.
  static void CloseAfterResponse(connection& conn, bool has_reader) {
    boost::system::error_code error;
    conn.stream.socket().shutdown(tcp::socket::shutdown_send, error);
    if (error || has_reader) return;
    conn.lingering = true;
    conn.last_progress = steady_clock::now();
    conn.stream.expires_after(kLingerTime);
    for (std::size_t bytes = 0; bytes < kMaxLingerBytes; bytes += conn.buffer.size()) {
      conn.buffer.consume(conn.buffer.size());
      if (ReadSome(conn, request_reader::kBodyChunkBytes)) return;
    }
  }

  enum class read_result {
    kRead,
    /// The reader has the status and the text of the error response.
    kRefused,
    /// The client has closed the connection or sent no request.
    kEnded,
  };

  /// Reads one request. Sets `received_at` to the time at which its first bytes arrived.
  read_result ReadRequest(connection& conn, request_reader& reader, const http_limits& limits,
                          steady_clock::time_point& received_at) {
    if (conn.buffer.size() == 0) {
      // An idle connection keeps no buffer of a large request.
      conn.buffer.shrink_to_fit();
      conn.last_progress = steady_clock::now();
      conn.stream.expires_after(limits.idle_timeout);
      conn.idle = conn.order.open() == 0;
      const auto error = ReadSome(conn, request_reader::kReadChunkBytes);
      conn.idle = false;
      // No request was started, so a close or timeout gets no error response.
      if (error) return read_result::kEnded;
    }
    received_at = conn.received_at;
    conn.interrupted = false;
    conn.last_progress = steady_clock::now();
    conn.reading = true;
    const read_result result = ReadStartedRequest(conn, reader, limits);
    conn.reading = false;
    return result;
  }

  read_result ReadStartedRequest(connection& conn, request_reader& reader,
                                 const http_limits& limits) {
    conn.buffer.max_size(std::max(conn.buffer.size(), reader.max_buffered_bytes()));
    const auto header_end = steady_clock::now() + limits.header_timeout;
    std::optional<steady_clock::time_point> body_end;
    while (reader.Read(conn.buffer) != read_state::kDone) {
      if (reader.state() == read_state::kMemory) AwaitMemory(conn, reader);
      if (reader.state() == read_state::kDone) break;
      if (reader.state() == read_state::kFailed) {
        if (reader.status() != kStatusBadRequest) {
          const bool no_memory = reader.status() == kStatusUnavailable;
          Count(no_memory ? client_limit::kMemory : client_limit::kSize);
        }
        return read_result::kRefused;
      }
      const bool in_body = reader.state() == read_state::kBody;
      if (in_body && !body_end) {
        if (reader.expects_continue()) WriteContinue(conn, reader.version());
        body_end = steady_clock::now() + limits.body_timeout;
      }
      // Set for each read, because writing a response to an earlier request sets another time.
      conn.stream.expires_at(
          in_body ? std::min(*body_end, steady_clock::now() + kBodyProgressTimeout) : header_end);
      const auto error = ReadSome(conn, reader.ComputeReadBytes());
      if (error && !conn.evicted && (error == beast::error::timeout || conn.interrupted)) {
        Count(client_limit::kStalledRequest);
        reader.RefuseAsLate();
        return read_result::kRefused;
      }
      if (error) return read_result::kEnded;
      if (in_body) conn.last_progress = steady_clock::now();
    }
    conn.stream.expires_never();
    return read_result::kRead;
  }

  /// Waits until a request has the memory that it needs, or fails it. Requests that make no
  /// progress give way. A large body that has been received in part doesn't wait: it holds memory
  /// that others wait for.
  void AwaitMemory(connection& conn, request_reader& reader) {
    const bool may_wait = reader.is_small() || reader.body_bytes() == 0;
    conn.reading = false;
    const auto end = steady_clock::now() + kMemoryWait;
    while (may_wait && !stopped_ && steady_clock::now() < end) {
      InterruptStalledReads();
      SleepFor(kMemoryPollInterval);
      if (reader.Read(conn.buffer) != read_state::kMemory) break;
    }
    if (reader.state() == read_state::kMemory) reader.RefuseForMemory();
    conn.reading = true;
    conn.last_progress = steady_clock::now();
  }

  static void WriteContinue(connection& conn, unsigned version) {
    // An interim response before the responses to earlier requests would be taken for theirs.
    AwaitAllAnswered(conn);
    http::response<http::empty_body> response{http::status::continue_, version};
    Await<std::size_t>([&](auto handler) { http::async_write(conn.stream, response, handler); });
  }

  static boost::system::error_code ReadSome(connection& conn, std::size_t bytes) {
    const auto read = Await<std::size_t>([&](auto handler) {
      conn.stream.async_read_some(
          conn.buffer.prepare(bytes),
          [&conn, handler](const boost::system::error_code& error, std::size_t size) mutable {
            conn.received_at = steady_clock::now();
            handler(error, size);
          });
    });
    if (!read.error) conn.buffer.commit(read.value);
    return read.error;
  }

  /// Runs the handler, which may throw.
  http_response RunHandler(http_request request, cancellation& cancel) {
    try {
      return handler_(std::move(request), cancel);
    } catch (const std::exception& failure) {
      detail::LogHandlerFailure("http", failure);
      return {kStatusInternalError, {}, "internal error\n"};
    }
  }

  static void AwaitAllAnswered(connection& conn) {
    std::unique_lock lock(conn.turn_mutex);
    conn.turn_changed.wait(lock, [&] { return conn.order.closed() || conn.order.open() == 0; });
  }

  boost::system::error_code WriteResponse(connection& conn, http_response response,
                                          unsigned version, bool keep_alive) {
    auto message = detail::ToBeastResponse(std::move(response), version);
    message.keep_alive(keep_alive);
    conn.stream.expires_after(options_.write_timeout);
    return Await<std::size_t>(
               [&](auto handler) { http::async_write(conn.stream, message, handler); })
        .error;
  }

  /// Rejects a request that can't be read, after the responses to earlier ones. Returns false
  /// because the connection must be closed.
  bool RefuseUnreadable(connection& conn, unsigned status, const std::string& error) {
    if (!AwaitTurn(conn, conn.order.Add())) return false;
    http_response response{status, {options_.not_run_field}, error + '\n'};
    if (status == kStatusUnavailable) response.fields.push_back({"Retry-After", "1"});
    const auto write_error = WriteResponse(conn, std::move(response), kHttp11, false);
    conn.order.Answer(/*keep_open=*/false);
    if (!write_error) CloseAfterResponse(conn, /*has_reader=*/false);
    return false;
  }

  static constexpr unsigned kHttp11 = 11;
  static constexpr unsigned kStatusBadRequest = 400;
  static constexpr unsigned kStatusInternalError = 500;
  static constexpr unsigned kStatusUnavailable = 503;
  /// Longest time and most bytes for which a connection is read after its last response: a round
  /// trip to a distant client, which closes the connection when it has the response.
  static constexpr std::chrono::milliseconds kLingerTime{1'000};
  /// Covers the rest of the largest body that a node accepts, whose client reads the response only
  /// after it has sent everything.
  static constexpr std::size_t kMaxLingerBytes = kMaxResponseBytes;

  http_server_options options_;
  http_handler handler_;
  fiber_runtime& runtime_;
  std::atomic<std::shared_ptr<const http_limits>> limits_;
  detail::listener listener_;
  std::atomic<bool> draining_ = false;
  std::atomic<bool> stopped_ = false;
  std::atomic<std::size_t> in_flight_ = 0;
  std::atomic<std::uint64_t> left_early_ = 0;
  std::atomic<std::size_t> open_connections_ = 0;
  /// Open connections by thread; each set is used on its thread only.
  std::vector<std::set<connection*>> connections_;
};

http_server::http_server(fiber_runtime& runtime, http_server_options options, http_handler handler)
    : impl_(std::make_shared<impl>(runtime, std::move(options), std::move(handler))) {}

http_server::~http_server() = default;

std::string http_server::Start() { return impl_->Start(); }
std::uint16_t http_server::port() const { return impl_->port(); }
std::size_t http_server::in_flight() const { return impl_->in_flight(); }
std::uint64_t http_server::left_early() const { return impl_->left_early(); }
void http_server::SetLimits(const http_limits& limits) { impl_->SetLimits(limits); }
void http_server::CloseIdle() { impl_->CloseIdle(); }
void http_server::Drain() { impl_->Drain(); }
void http_server::StopAccepting() { impl_->StopAccepting(); }
void http_server::Stop() { impl_->Stop(); }

}  // namespace siskinrack::net
