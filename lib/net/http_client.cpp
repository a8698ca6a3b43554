#include "siskinrack/net/http_client.h"

#include <sys/socket.h>

#include <boost/asio/post.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <map>
#include <vector>

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

constexpr unsigned kStatusOk = 200;
/// Time before the announced close of an idle connection in which it isn't used: a request sent
/// then could cross the close.
constexpr std::chrono::milliseconds kCloseMargin{500};

struct connection {
  explicit connection(asio::io_context& io) : stream(io) {}
  beast::tcp_stream stream;
  beast::flat_buffer buffer;
  steady_time idle_since{};
  /// When the server closes the connection if it stays idle, as far as it said so.
  steady_time closes_at = steady_time::max();
};
using connection_ptr = std::shared_ptr<connection>;

/// An idle connection is usable if the peer neither closed it nor sent anything.
bool IsUsable(connection& item) {
  char byte = 0;
  const auto size = recv(item.stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

/// Closes a connection when the cancellation fires, from whichever thread that happens.
class cancel_guard {
 public:
  cancel_guard(cancellation* cancel, const connection_ptr& item) : cancel_(cancel) {
    if (cancel_ == nullptr) return;
    handle_ = cancel_->OnCancel([weak = std::weak_ptr(item), &io = detail::CurrentContext()] {
      asio::post(io, [weak] {
        if (const auto item = weak.lock()) detail::CloseQuietly(item->stream.socket());
      });
    });
  }
  ~cancel_guard() {
    if (cancel_ != nullptr) cancel_->Remove(handle_);
  }
  cancel_guard(const cancel_guard&) = delete;
  cancel_guard& operator=(const cancel_guard&) = delete;

 private:
  cancellation* cancel_;
  std::uint64_t handle_ = 0;
};

http_result Failure(exchange_stage stage, const boost::system::error_code& error) {
  return {stage, {}, error.message(), error == beast::error::timeout};
}

}  // namespace

class http_client::impl {
 public:
  impl(fiber_runtime& runtime, std::size_t max_idle)
      : max_idle_(max_idle), idle_(runtime.thread_count()) {}

  http_result Send(const support::socket_address& address, http_request request,
                   steady_time deadline, cancellation* cancel, const exchange_options& options) {
    if (cancel != nullptr && cancel->cancelled()) return {{}, {}, "cancelled", false};
    connection_ptr item = TakeIdle(address, options.max_idle);
    const bool reused = item != nullptr;
    if (!reused) item = std::make_shared<connection>(detail::CurrentContext());
    const cancel_guard guard(cancel, item);
    if (!reused) {
      item->stream.expires_at(
          std::min(deadline, std::chrono::steady_clock::now() + options.connect_timeout));
      const auto error = Connect(*item, address);
      if (error) return Failure(exchange_stage::kNotSent, error);
    }
    item->stream.expires_at(deadline);
    bool keep_alive = false;
    http_result result = Exchange(
        item, detail::ToBeastRequest(std::move(request), address.ToText()), options, keep_alive);
    if (keep_alive) {
      PutIdle(address, item);
    } else {
      detail::CloseQuietly(item->stream.socket());
    }
    return result;
  }

  bool CanConnect(const support::socket_address& address, std::chrono::milliseconds timeout) {
    connection_ptr item = TakeIdle(address, exchange_options{}.max_idle);
    if (item == nullptr) {
      item = std::make_shared<connection>(detail::CurrentContext());
      item->stream.expires_after(timeout);
      if (Connect(*item, address)) return false;
    }
    PutIdle(address, item);
    return true;
  }

  void CloseIdle() { idle_[fiber_runtime::CurrentThread()].clear(); }

 private:
  using pool = std::map<support::socket_address, std::vector<connection_ptr>>;

  static boost::system::error_code Connect(connection& item,
                                           const support::socket_address& address) {
    boost::system::error_code error;
    const tcp::endpoint endpoint(asio::ip::make_address(address.ip, error), address.port);
    if (error) return error;
    error = detail::AwaitDone(
        [&](auto handler) { item.stream.async_connect(endpoint, std::move(handler)); });
    boost::system::error_code ignored;
    if (!error) item.stream.socket().set_option(tcp::no_delay(true), ignored);
    if (!error) detail::EnableKeepAlive(item.stream.socket());
    return error;
  }

  /// A request that is being written while its response is read: a server may answer before it
  /// has read the whole body.
  struct pending_write {
    explicit pending_write(detail::beast_request request) : message(std::move(request)) {}
    detail::beast_request message;
    bool done = false;
    bool any_byte = false;
    boost::system::error_code error;
  };

  static std::shared_ptr<pending_write> StartWrite(const connection_ptr& item,
                                                   detail::beast_request message) {
    auto write = std::make_shared<pending_write>(std::move(message));
    http::async_write(item->stream, write->message,
                      [item, write](boost::system::error_code error, std::size_t bytes) {
                        write->done = true;
                        write->any_byte = bytes > 0;
                        write->error = error;
                      });
    return write;
  }

  static http_result Exchange(const connection_ptr& item, detail::beast_request message,
                              const exchange_options& options, bool& keep_alive) {
    const bool head = message.method() == http::verb::head;
    const auto write = StartWrite(item, std::move(message));
    bool skipped = false;
    while (true) {
      http::response_parser<http::string_body> parser;
      parser.header_limit(kMaxHeaderBytes);
      parser.body_limit(kMaxResponseBytes);
      if (head) parser.skip(true);
      const auto read = Await<std::size_t>(
          [&](auto handler) { http::async_read(item->stream, item->buffer, parser, handler); });
      if (read.error) {
        const bool nothing_sent = write->done && write->error && !write->any_byte;
        return Failure(nothing_sent ? exchange_stage::kNotSent : exchange_stage::kSent, read.error);
      }
      const bool interim = parser.get().result_int() < kStatusOk;
      const bool open = parser.get().keep_alive() && !parser.get().need_eof();
      ReadKeepAlive(*item, parser.get()[http::field::keep_alive]);
      http_response response = detail::FromBeastResponse(parser.release());
      if (interim) continue;
      if (options.is_matching_response && !options.is_matching_response(response)) {
        if (!open) return Failure(exchange_stage::kSent, http::error::end_of_stream);
        skipped = true;
        continue;
      }
      // Bytes behind the response belong to no request, and a body that isn't sent to its end would
      // be taken for the next request.
      keep_alive = open && !skipped && write->done && !write->error && item->buffer.size() == 0;
      return {exchange_stage::kAnswered, std::move(response), {}, false};
    }
  }

  /// Keep-Alive: timeout=N, in whole seconds.
  static void ReadKeepAlive(connection& item, beast::string_view value) {
    constexpr std::string_view kName = "timeout=";
    const std::string_view text(value.data(), value.size());
    const std::size_t begin = text.find(kName);
    if (begin == std::string_view::npos) return;
    unsigned seconds = 0;
    const auto [end, error] =
        std::from_chars(text.data() + begin + kName.size(), text.data() + text.size(), seconds);
    if (error != std::errc{}) return;
    item.closes_at =
        std::chrono::steady_clock::now() + std::chrono::seconds(seconds) - kCloseMargin;
  }

  connection_ptr TakeIdle(const support::socket_address& address,
                          std::chrono::milliseconds max_idle) {
    auto& connections = idle_[fiber_runtime::CurrentThread()][address];
    const auto now = std::chrono::steady_clock::now();
    while (!connections.empty()) {
      connection_ptr item = std::move(connections.back());
      connections.pop_back();
      if (now - item->idle_since <= max_idle && now < item->closes_at && IsUsable(*item)) {
        return item;
      }
    }
    return nullptr;
  }

  void PutIdle(const support::socket_address& address, const connection_ptr& item) {
    auto& connections = idle_[fiber_runtime::CurrentThread()][address];
    item->stream.expires_never();
    item->idle_since = std::chrono::steady_clock::now();
    if (connections.size() < max_idle_) connections.push_back(item);
  }

  std::size_t max_idle_;
  std::vector<pool> idle_;
};

http_client::http_client(fiber_runtime& runtime, std::size_t max_idle_per_thread)
    : impl_(std::make_unique<impl>(runtime, max_idle_per_thread)) {}

http_client::~http_client() = default;

http_result http_client::Send(const support::socket_address& address, http_request request,
                              steady_time deadline, cancellation* cancel,
                              const exchange_options& options) {
  return impl_->Send(address, std::move(request), deadline, cancel, options);
}

bool http_client::CanConnect(const support::socket_address& address,
                             std::chrono::milliseconds timeout) {
  return impl_->CanConnect(address, timeout);
}

void http_client::CloseIdle() { impl_->CloseIdle(); }

}  // namespace siskinrack::net
