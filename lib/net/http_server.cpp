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
#include "http_fields.h"
#include "listener.h"

namespace siskinrack::net {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using detail::Await;

using request_parser = http::request_parser<http::string_body>;

/// True if the peer has closed its side; data that waits to be read isn't a close.
bool PeerClosed(tcp::socket& socket) {
  char byte = 0;
  const auto size = recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return size == 0 || (size < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

unsigned StatusForReadError(const boost::system::error_code& error) {
  if (error == http::error::body_limit) return 413;
  if (error == http::error::header_limit) return 431;
  if (error == beast::error::timeout) return 408;
  return 400;
}

/// True if the error is in what the client sent, so that it deserves an answer.
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
        listener_(runtime, [this](tcp::socket socket) { Serve(std::move(socket)); }),
        open_(runtime.thread_count()) {}

  std::string Start() { return listener_.Start(options_.address); }
  std::uint16_t port() const { return listener_.port(); }
  std::size_t in_flight() const { return in_flight_; }

  void Drain() { draining_ = true; }

  void StopAccepting() { listener_.StopAccepting(); }

  void Stop() {
    draining_ = true;
    stopped_ = true;
    listener_.Close();
    ForEachConnection([](connection& item) { detail::CloseQuietly(item.stream.socket()); });
    listener_.WaitIdle();
  }

 private:
  struct connection {
    explicit connection(tcp::socket socket) : stream(std::move(socket)) {}
    beast::tcp_stream stream;
    beast::flat_buffer buffer{kMaxHeaderBytes + kMaxBodyBytes};
  };

  template <typename Visit>
  void ForEachConnection(Visit visit) {
    for (std::size_t i = 0; i < open_.size(); ++i) {
      runtime_.Post(i, [self = shared_from_this(), i, visit] {
        for (connection* item : self->open_[i]) visit(*item);
      });
    }
  }

  void Serve(tcp::socket socket) {
    if (stopped_ || listener_.connections() > options_.max_connections) return;
    connection item(std::move(socket));
    auto& open = open_[fiber_runtime::CurrentThread()];
    open.insert(&item);
    while (ServeOne(item) && !stopped_) {
    }
    open.erase(&item);
    detail::CloseQuietly(item.stream.socket());
  }

  /// Returns whether the connection can take another request.
  bool ServeOne(connection& item) {
    request_parser parser;
    parser.header_limit(kMaxHeaderBytes);
    parser.body_limit(options_.max_body_bytes);
    boost::system::error_code error = ReadRequest(item, parser);
    if (error) {
      if (IsClientError(error)) WriteError(item, StatusForReadError(error), error.message());
      return false;
    }
    ++in_flight_;
    const bool keep_alive = parser.get().keep_alive();
    const unsigned version = parser.get().version();
    http_response response = Handle(item, detail::FromBeastRequest(parser.release()));
    const bool stay_open = keep_alive && !draining_;
    error = WriteResponse(item, std::move(response), version, stay_open);
    --in_flight_;
    return !error && stay_open;
  }

  boost::system::error_code ReadRequest(connection& item, request_parser& parser) {
    if (item.buffer.size() == 0) {
      item.stream.expires_after(options_.idle_timeout);
      const auto first = Await<std::size_t>([&](auto handler) {
        item.stream.async_read_some(item.buffer.prepare(kReadChunkBytes), handler);
      });
      // Nothing was sent, so neither an idle close nor an idle timeout gets an answer.
      if (first.error) return http::error::end_of_stream;
      item.buffer.commit(first.value);
    }
    item.stream.expires_after(options_.read_timeout);
    auto read = Await<std::size_t>(
        [&](auto handler) { http::async_read_header(item.stream, item.buffer, parser, handler); });
    if (read.error) return read.error;
    if (beast::iequals(parser.get()[http::field::expect], "100-continue")) {
      http::response<http::empty_body> proceed{http::status::continue_, parser.get().version()};
      Await<std::size_t>([&](auto handler) { http::async_write(item.stream, proceed, handler); });
    }
    item.stream.expires_after(options_.read_timeout);
    read = Await<std::size_t>(
        [&](auto handler) { http::async_read(item.stream, item.buffer, parser, handler); });
    item.stream.expires_never();
    return read.error;
  }

  http_response Handle(connection& item, http_request request) {
    auto cancel = std::make_shared<cancellation>();
    tcp::socket& socket = item.stream.socket();
    auto finished = std::make_shared<bool>(false);
    socket.async_wait(tcp::socket::wait_read,
                      [cancel, finished, &socket](boost::system::error_code error) {
                        if (!error && !*finished && PeerClosed(socket)) cancel->Cancel();
                      });
    http_response response = handler_(std::move(request), *cancel);
    *finished = true;
    boost::system::error_code ignored;
    socket.cancel(ignored);
    return response;
  }

  boost::system::error_code WriteResponse(connection& item, http_response response,
                                          unsigned version, bool keep_alive) {
    auto message = detail::ToBeastResponse(std::move(response), version);
    message.keep_alive(keep_alive);
    item.stream.expires_after(options_.write_timeout);
    return Await<std::size_t>(
               [&](auto handler) { http::async_write(item.stream, message, handler); })
        .error;
  }

  void WriteError(connection& item, unsigned status, const std::string& text) {
    WriteResponse(item, {status, {{"x-siskinrack-outcome", "not-run"}}, text + '\n'}, kHttp11,
                  false);
  }

  static constexpr unsigned kHttp11 = 11;
  static constexpr std::size_t kReadChunkBytes = 4096;

  http_server_options options_;
  http_handler handler_;
  fiber_runtime& runtime_;
  detail::listener listener_;
  std::atomic<bool> draining_ = false;
  std::atomic<bool> stopped_ = false;
  std::atomic<std::size_t> in_flight_ = 0;
  /// Open connections by thread; each set is used on its thread only.
  std::vector<std::set<connection*>> open_;
};

http_server::http_server(fiber_runtime& runtime, http_server_options options, http_handler handler)
    : impl_(std::make_shared<impl>(runtime, std::move(options), std::move(handler))) {}

http_server::~http_server() = default;

std::string http_server::Start() { return impl_->Start(); }
std::uint16_t http_server::port() const { return impl_->port(); }
std::size_t http_server::in_flight() const { return impl_->in_flight(); }
void http_server::Drain() { impl_->Drain(); }
void http_server::StopAccepting() { impl_->StopAccepting(); }
void http_server::Stop() { impl_->Stop(); }

}  // namespace siskinrack::net
