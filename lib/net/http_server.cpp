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
        limits_(std::make_shared<const http_limits>(options_.limits)),
        listener_(runtime, [this](tcp::socket socket) { Serve(std::move(socket)); }),
        open_(runtime.thread_count()) {}

  std::string Start() { return listener_.Start(options_.address); }
  std::uint16_t port() const { return listener_.port(); }
  std::size_t in_flight() const { return in_flight_; }

  void Drain() { draining_ = true; }

  void SetLimits(const http_limits& limits) {
    limits_ = std::make_shared<const http_limits>(limits);
  }

  void CloseIdle() {
    ForEachConnection([](connection& item) {
      if (item.idle) detail::CloseQuietly(item.stream.socket());
    });
  }

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
    beast::flat_buffer buffer;
    /// Waits for the first byte of a request.
    bool idle = false;
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
    const std::shared_ptr<const http_limits> limits = limits_.load();
    request_parser parser;
    parser.header_limit(static_cast<std::uint32_t>(limits->header_bytes));
    parser.body_limit(limits->body_bytes);
    std::string_view problem;
    boost::system::error_code error = ReadRequest(item, parser, *limits, problem);
    if (!problem.empty()) return WriteError(item, kStatusBadRequest, std::string(problem));
    if (error && IsClientError(error)) {
      return WriteError(item, StatusForReadError(error), error.message());
    }
    if (error) return false;
    ++in_flight_;
    const bool keep_alive = parser.get().keep_alive();
    const unsigned version = parser.get().version();
    http_response response = Handle(item, detail::FromBeastRequest(parser.release()));
    const bool stay_open = keep_alive && !draining_;
    error = WriteResponse(item, std::move(response), version, stay_open);
    --in_flight_;
    return !error && stay_open;
  }

  boost::system::error_code ReadRequest(connection& item, request_parser& parser,
                                        const http_limits& limits, std::string_view& problem) {
    if (item.buffer.size() == 0) {
      item.stream.expires_after(limits.idle_timeout);
      item.idle = true;
      const auto first = ReadSome(item);
      item.idle = false;
      // Nothing was sent, so neither an idle close nor an idle timeout gets an answer.
      if (first) return http::error::end_of_stream;
    }
    item.stream.expires_after(limits.header_timeout);
    if (const auto error = ReadHeader(item, parser, limits, problem); error || !problem.empty()) {
      return error;
    }
    if (beast::iequals(parser.get()[http::field::expect], "100-continue")) {
      http::response<http::empty_body> proceed{http::status::continue_, parser.get().version()};
      Await<std::size_t>([&](auto handler) { http::async_write(item.stream, proceed, handler); });
    }
    item.stream.expires_after(limits.body_timeout);
    const auto read = Await<std::size_t>(
        [&](auto handler) { http::async_read(item.stream, item.buffer, parser, handler); });
    item.stream.expires_never();
    return read.error;
  }

  /// Reads the header section as a whole, so that its bytes can be checked before they are parsed.
  static boost::system::error_code ReadHeader(connection& item, request_parser& parser,
                                              const http_limits& limits,
                                              std::string_view& problem) {
    constexpr std::string_view kHeaderEnd = "\r\n\r\n";
    std::size_t end = std::string_view::npos;
    while ((end = Bytes(item.buffer).find(kHeaderEnd)) == std::string_view::npos) {
      if (item.buffer.size() > limits.header_bytes) return http::error::header_limit;
      if (const auto error = ReadSome(item)) return error;
    }
    const std::size_t size = end + kHeaderEnd.size();
    boost::system::error_code error;
    parser.put(asio::buffer(item.buffer.cdata().data(), size), error);
    if (error == http::error::need_more) error = {};
    if (error) return error;
    problem = detail::FramingProblem(Bytes(item.buffer).substr(0, size), parser.get().base());
    item.buffer.consume(size);
    return {};
  }

  static std::string_view Bytes(const beast::flat_buffer& buffer) {
    return {static_cast<const char*>(buffer.cdata().data()), buffer.size()};
  }

  static boost::system::error_code ReadSome(connection& item) {
    const auto read = Await<std::size_t>([&](auto handler) {
      item.stream.async_read_some(item.buffer.prepare(kReadChunkBytes), handler);
    });
    if (!read.error) item.buffer.commit(read.value);
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

  /// Answers a request that can't be read; the connection ends.
  bool WriteError(connection& item, unsigned status, const std::string& text) {
    WriteResponse(item, {status, {options_.not_run_field}, text + '\n'}, kHttp11, false);
    return false;
  }

  static constexpr unsigned kHttp11 = 11;
  static constexpr unsigned kStatusBadRequest = 400;
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
  std::vector<std::set<connection*>> open_;
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
