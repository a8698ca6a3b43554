#include "siskinrack/net/http_server.h"

#include <sys/socket.h>

#include <algorithm>
#include <atomic>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <map>
#include <mutex>
#include <set>

#include "await.h"
#include "handler_failure.h"
#include "http_fields.h"
#include "http_framing.h"
#include "listener.h"

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
  struct connection {
    explicit connection(tcp::socket socket) : stream(std::move(socket)) {}
    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    /// True while the server waits for the first byte of a request.
    bool idle = false;
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
    if (stopped_ || listener_.fiber_count() > options_.max_connections) return;
    connection conn(std::move(socket));
    auto& connections = connections_[fiber_runtime::GetCurrentThreadIndex()];
    connections.insert(&conn);
    while (ServeRequest(conn) && !stopped_) {
    }
    connections.erase(&conn);
    detail::CloseQuietly(conn.stream.socket());
  }

  /// Serves one request and returns true if the connection can be used for another.
  bool ServeRequest(connection& conn) {
    const std::shared_ptr<const http_limits> limits = limits_.load();
    request_parser parser;
    parser.header_limit(static_cast<std::uint32_t>(limits->header_bytes));
    parser.body_limit(limits->body_bytes);
    std::string_view problem;
    boost::system::error_code error = ReadRequest(conn, parser, *limits, problem);
    if (!problem.empty()) return WriteError(conn, kStatusBadRequest, std::string(problem));
    if (error && IsClientError(error)) {
      return WriteError(conn, ToHttpStatus(error), error.message());
    }
    if (error) return false;
    ++in_flight_;
    const bool keep_alive = parser.get().keep_alive();
    const unsigned version = parser.get().version();
    http_response response = RunHandler(conn, detail::FromBeastRequest(parser.release()));
    const bool keep_open = keep_alive && !draining_;
    error = WriteResponse(conn, std::move(response), version, keep_open);
    --in_flight_;
    return !error && keep_open;
  }

  /// Reads one request into `parser`. If its framing is invalid, sets `problem` to an error
  /// message.
  boost::system::error_code ReadRequest(connection& conn, request_parser& parser,
                                        const http_limits& limits, std::string_view& problem) {
    if (conn.buffer.size() == 0) {
      conn.stream.expires_after(limits.idle_timeout);
      conn.idle = true;
      const auto read_error = ReadSome(conn);
      conn.idle = false;
      // No request was started, so a close or timeout gets no error response.
      if (read_error) return http::error::end_of_stream;
    }
    conn.stream.expires_after(limits.header_timeout);
    if (const auto error = ReadHeader(conn, parser, limits, problem); error || !problem.empty()) {
      return error;
    }
    if (beast::iequals(parser.get()[http::field::expect], "100-continue")) {
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
    while ((end = ViewBytes(conn.buffer).find(kHeaderEnd)) == std::string_view::npos) {
      if (conn.buffer.size() > limits.header_bytes) return http::error::header_limit;
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

  /// Runs the handler, which may throw, and cancels it if the client disconnects.
  http_response RunHandler(connection& conn, http_request request) {
    auto cancel = std::make_shared<cancellation>();
    tcp::socket& socket = conn.stream.socket();
    auto finished = std::make_shared<bool>(false);
    socket.async_wait(tcp::socket::wait_read,
                      [cancel, finished, &socket](boost::system::error_code error) {
                        if (!error && !*finished && IsClosedByPeer(socket)) cancel->Cancel();
                      });
    http_response response{kStatusInternalError, {}, "internal error\n"};
    try {
      response = handler_(std::move(request), *cancel);
    } catch (const std::exception& failure) {
      detail::LogHandlerFailure("http", failure);
    }
    *finished = true;
    boost::system::error_code ignored;
    socket.cancel(ignored);
    return response;
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

  /// Rejects a request that can't be read. Returns false because the connection must be closed.
  bool WriteError(connection& conn, unsigned status, const std::string& error) {
    WriteResponse(conn, {status, {options_.not_run_field}, error + '\n'}, kHttp11, false);
    return false;
  }

  static constexpr unsigned kHttp11 = 11;
  static constexpr unsigned kStatusBadRequest = 400;
  static constexpr unsigned kStatusInternalError = 500;
  static constexpr std::size_t kReadChunkBytes = 4096;

  http_server_options options_;
  http_handler handler_;
  fiber_runtime& runtime_;
  std::atomic<std::shared_ptr<const http_limits>> limits_;
  detail::listener listener_;
  std::atomic<bool> draining_ = false;
  std::atomic<bool> stopped_ = false;
  std::atomic<std::size_t> in_flight_ = 0;
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
