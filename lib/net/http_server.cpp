#include "siskinrack/net/http_server.h"

#include <sys/socket.h>

#include <algorithm>
#include <atomic>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>
#include <map>
#include <mutex>
#include <set>
#include <utility>

#include "await.h"
#include "handler_failure.h"
#include "http_fields.h"
#include "http_framing.h"
#include "listener.h"
#include "response_order.h"
#include "siskinrack/support/in_flight_guard.h"

namespace siskinrack::net {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using detail::Await;

using request_parser = http::request_parser<http::string_body>;

/// Returns true if the peer has closed its side of the connection or the connection has failed, and
/// false if it is open, even if data is waiting to be read.
bool IsClosedByPeer(tcp::socket& socket) {
  char byte = 0;
  const auto size = recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return size == 0 || (size < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

/// Returns the status of the response to a request that can't be read.
unsigned ToHttpStatus(const boost::system::error_code& error) {
  if (error == http::error::body_limit) return 413;
  if (error == http::error::header_limit) return 431;
  if (error == beast::error::timeout) return 408;
  return 400;
}

/// Returns true if the client caused the error, by malformed data or a timeout, and must receive an
/// error response.
bool IsClientError(const boost::system::error_code& error) {
  return error == beast::error::timeout ||
         (error.category() == http::make_error_code(http::error::bad_method).category() &&
          error != http::error::end_of_stream);
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
  /// Notifies the fiber that runs the last request on a connection of what happens to the
  /// connection meanwhile.
  struct readable_watch {
    /// False once the fiber no longer waits for the handler and its turn.
    bool active = true;
    /// Another fiber has started to read the next request.
    bool handed_over = false;
  };

  /// State of one connection. One fiber at a time reads from it. When a further request arrives
  /// while the last one runs, a new fiber takes over the reading, so that a connection without
  /// overlapping requests needs one fiber only.
  struct connection {
    connection(tcp::socket socket, std::set<connection*>& all, std::atomic<std::size_t>& open)
        : stream(std::move(socket)), registry(all), count(open) {
      registry.insert(this);
    }
    ~connection() {
      registry.erase(this);
      detail::CloseQuietly(stream.socket());
    }
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    /// Cancels all requests without a response.
    void CancelOpenRequests() {
      for (cancellation* request : open_requests) request->Cancel();
    }

    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    /// True while the server waits for the first byte of a request.
    bool idle = false;
    detail::response_order order;
    std::set<cancellation*> open_requests;
    /// Watch of a fiber that can't hand over the reading, because as many requests are open as may
    /// overlap; null if there is none.
    std::shared_ptr<readable_watch> waiting_watch;
    boost::fibers::mutex turn_mutex;
    boost::fibers::condition_variable_any turn_changed;
    std::set<connection*>& registry;
    support::in_flight_guard count;
  };
  using connection_ptr = std::shared_ptr<connection>;

  /// Represents one request that was read from a connection.
  struct open_request {
    open_request(connection& owner, std::atomic<std::size_t>& in_flight)
        : conn(owner), count(in_flight), position(owner.order.Add()) {
      conn.open_requests.insert(&cancel);
    }
    ~open_request() { conn.open_requests.erase(&cancel); }
    open_request(const open_request&) = delete;
    open_request& operator=(const open_request&) = delete;

    connection& conn;
    support::in_flight_guard count;
    detail::response_order::position position;
    cancellation cancel;
    std::shared_ptr<readable_watch> watch = std::make_shared<readable_watch>();
  };

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
    if (stopped_ || open_connections_ >= options_.max_connections) return;
    ReadRequests(std::make_shared<connection>(std::move(socket),
                                              connections_[fiber_runtime::GetCurrentThreadIndex()],
                                              open_connections_));
  }

  /// Reads and serves requests until the connection ends or another fiber takes over the reading.
  void ReadRequests(const connection_ptr& conn) {
    while (ServeNextRequest(conn) && !stopped_) {
    }
  }

  /// Reads one request and serves it. Returns true if the calling fiber has to read the next one.
  bool ServeNextRequest(const connection_ptr& conn) {
    const std::shared_ptr<const http_limits> limits = limits_.load();
    request_parser parser;
    parser.header_limit(static_cast<std::uint32_t>(limits->header_bytes));
    parser.body_limit(limits->body_bytes);
    std::string_view problem;
    const boost::system::error_code error = ReadRequest(*conn, parser, *limits, problem);
    // The request counts as not read, because it was sent behind a response that closes.
    if (conn->order.closed()) return false;
    if (!problem.empty()) return RefuseUnreadable(*conn, kStatusBadRequest, std::string(problem));
    if (error && IsClientError(error)) {
      return RefuseUnreadable(*conn, ToHttpStatus(error), error.message());
    }
    if (error) {
      conn->CancelOpenRequests();
      return false;
    }
    open_request open(*conn, in_flight_);
    const bool keep_alive = parser.get().keep_alive();
    const unsigned version = parser.get().version();
    return ServeRequest(conn, open, detail::FromBeastRequest(parser.release()), version,
                        keep_alive);
  }

  /// Runs the handler and writes its response when all earlier ones are written. Returns true if
  /// the calling fiber has to read the next request.
  bool ServeRequest(const connection_ptr& conn, open_request& open, http_request request,
                    unsigned version, bool keep_alive) {
    WatchConnection(conn, open.watch);
    const bool may_overlap = options_.may_overlap && options_.may_overlap(request);
    if (!may_overlap && !AwaitTurn(*conn, open.position)) return false;
    http_response response = RunHandler(std::move(request), open.cancel);
    if (!AwaitTurn(*conn, open.position)) return false;
    // No other fiber writes now, and none reads unless the reading was handed over.
    open.watch->active = false;
    boost::system::error_code ignored;
    if (!open.watch->handed_over) conn->stream.socket().cancel(ignored);
    // Requests that were read before the drain are answered on the connection.
    const bool keep_open = keep_alive && !(draining_ && conn->order.IsLast(open.position));
    const auto error = WriteResponse(*conn, std::move(response), version, keep_open);
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
    conn.stream.expires_after(kLingerTime);
    for (std::size_t bytes = 0; bytes < kMaxLingerBytes; bytes += conn.buffer.size()) {
      conn.buffer.consume(conn.buffer.size());
      if (ReadSome(conn)) return;
    }
  }

  /// Reads one request into `parser`. If its framing is invalid, sets `problem` to an error
  /// message.
  boost::system::error_code ReadRequest(connection& conn, request_parser& parser,
                                        const http_limits& limits, std::string_view& problem) {
    if (conn.buffer.size() == 0) {
      conn.stream.expires_after(limits.idle_timeout);
      conn.idle = conn.order.open() == 0;
      const auto read_error = ReadSome(conn);
      conn.idle = false;
      // No request was started, so a close or timeout gets no error response.
      if (read_error) return http::error::end_of_stream;
    }
    if (const auto error = ReadHeader(conn, parser, limits, problem); error || !problem.empty()) {
      return error;
    }
    if (beast::iequals(parser.get()[http::field::expect], "100-continue")) {
      // An interim response before the responses to earlier requests would be taken for theirs.
      AwaitAllAnswered(conn);
      http::response<http::empty_body> continue_response{http::status::continue_,
                                                         parser.get().version()};
      Await<std::size_t>(
          [&](auto handler) { http::async_write(conn.stream, continue_response, handler); });
    }
    conn.stream.expires_after(limits.body_timeout);
    const auto read = Await<std::size_t>(
        [&](auto handler) { http::async_read(conn.stream, conn.buffer, parser, handler); });
    conn.stream.expires_never();
    return read.error;
  }

  /// Reads the whole header section before parsing it, so that its bytes can be checked as well.
  static boost::system::error_code ReadHeader(connection& conn, request_parser& parser,
                                              const http_limits& limits,
                                              std::string_view& problem) {
    constexpr std::string_view kHeaderEnd = "\r\n\r\n";
    std::size_t end = std::string_view::npos;
    const auto deadline = std::chrono::steady_clock::now() + limits.header_timeout;
    while ((end = ViewBytes(conn.buffer).find(kHeaderEnd)) == std::string_view::npos) {
      if (conn.buffer.size() > limits.header_bytes) return http::error::header_limit;
      // Set for each read, because writing a response to an earlier request sets another time.
      conn.stream.expires_at(deadline);
      if (const auto error = ReadSome(conn)) return error;
    }
    const std::size_t size = end + kHeaderEnd.size();
    boost::system::error_code error;
    parser.put(asio::buffer(conn.buffer.cdata().data(), size), error);
    if (error == http::error::need_more) error = {};
    if (error) return error;
    problem = detail::CheckFraming(ViewBytes(conn.buffer).substr(0, size), parser.get().base());
    conn.buffer.consume(size);
    return {};
  }

  static std::string_view ViewBytes(const beast::flat_buffer& buffer) {
    return {static_cast<const char*>(buffer.cdata().data()), buffer.size()};
  }

  static boost::system::error_code ReadSome(connection& conn) {
    const auto read = Await<std::size_t>([&](auto handler) {
      conn.stream.async_read_some(conn.buffer.prepare(kReadChunkBytes), handler);
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
    const auto write_error =
        WriteResponse(conn, {status, {options_.not_run_field}, error + '\n'}, kHttp11, false);
    conn.order.Answer(/*keep_open=*/false);
    if (!write_error) CloseAfterResponse(conn, /*has_reader=*/false);
    return false;
  }

  static constexpr unsigned kHttp11 = 11;
  static constexpr unsigned kStatusBadRequest = 400;
  static constexpr unsigned kStatusInternalError = 500;
  static constexpr std::size_t kReadChunkBytes = 4096;
  /// Longest time and most bytes for which a connection is read after its last response: a round
  /// trip to a distant client, which closes the connection when it has the response.
  static constexpr std::chrono::milliseconds kLingerTime{1'000};
  static constexpr std::size_t kMaxLingerBytes = 256U << 10U;

  http_server_options options_;
  http_handler handler_;
  fiber_runtime& runtime_;
  std::atomic<std::shared_ptr<const http_limits>> limits_;
  detail::listener listener_;
  std::atomic<bool> draining_ = false;
  std::atomic<bool> stopped_ = false;
  std::atomic<std::size_t> in_flight_ = 0;
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
void http_server::SetLimits(const http_limits& limits) { impl_->SetLimits(limits); }
void http_server::CloseIdle() { impl_->CloseIdle(); }
void http_server::Drain() { impl_->Drain(); }
void http_server::StopAccepting() { impl_->StopAccepting(); }
void http_server::Stop() { impl_->Stop(); }

}  // namespace siskinrack::net
