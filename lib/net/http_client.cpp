#include "siskinrack/net/http_client.h"

#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <map>
#include <vector>

#include "await.h"
#include "http_fields.h"
#include "listener.h"
#include "response_reader.h"

namespace siskinrack::net {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using detail::Await;
using detail::response_reader;

/// Time before the announced close of an idle connection at which the client stops reusing it. A
/// request sent later could arrive after the server has closed the connection.
constexpr std::chrono::milliseconds kCloseMargin{500};

/// Largest number of received bytes that wait to be parsed. The parser needs a whole header
/// section, chunk header or trailer section at once and sets no limit to the latter two.
constexpr std::size_t kMaxBufferedBytes = 4 * kMaxHeaderBytes;
/// Most bytes of a response that are read at once.
constexpr std::size_t kMaxReadBytes = 64U << 10U;
/// Bytes of a response body that a read may add; an ordinary response has no more.
constexpr std::size_t kReadAheadBytes = 4U << 10U;
/// Wait for memory for a response body. Callers that don't read their responses hold theirs for
/// longer; those of the others are written in this time.
constexpr std::chrono::milliseconds kMemoryWait{1'000};
constexpr std::chrono::milliseconds kMemoryPollInterval{20};
/// Limit of the interim responses and the responses to other requests that precede a response.
constexpr int kMaxSkippedResponses = 16;

/// Maximum number of identified requests that are sent on one connection. Bounds the memory for
/// their ids.
constexpr std::size_t kMaxIdentifiedRequests = 256;

/// Counts the bytes of one response body in the total of its client.
class body_share {
 public:
  body_share(std::size_t& total, std::size_t budget) : total_(total), budget_(budget) {}
  ~body_share() { total_ -= own_; }
  body_share(const body_share&) = delete;
  body_share& operator=(const body_share&) = delete;

  /// Sets the number of bytes; returns false if the budget is exceeded.
  [[nodiscard]] bool Set(std::size_t bytes) {
    total_ += bytes - own_;
    own_ = bytes;
    return total_ <= budget_;
  }

 private:
  std::size_t& total_;
  std::size_t budget_;
  std::size_t own_ = 0;
};

/// Connection to a server, used on one thread only.
struct connection {
  explicit connection(asio::io_context& io) : stream(io) {}
  beast::tcp_stream stream;
  beast::flat_buffer buffer{kMaxBufferedBytes};
  steady_time idle_since{};
  /// Time after which the connection isn't reused because the server is about to close it,
  /// according to its Keep-Alive field.
  steady_time closes_at = steady_time::max();
  /// Hashes of the ids of the requests that were sent on the connection.
  std::vector<std::size_t> request_ids;

  [[nodiscard]] bool AcceptsRequest(std::string_view id) const {
    if (id.empty()) return true;
    return request_ids.size() < kMaxIdentifiedRequests &&
           std::find(request_ids.begin(), request_ids.end(), std::hash<std::string_view>{}(id)) ==
               request_ids.end();
  }
};
using connection_ptr = std::shared_ptr<connection>;

/// Returns true if an idle connection is reusable: the server has neither closed it nor sent data.
bool IsReusable(connection& conn) {
  char byte = 0;
  const auto size = recv(conn.stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

/// Closes a connection on cancellation, which may come from any thread.
class cancel_guard : scoped_callback {
 public:
  cancel_guard(cancellation* cancel, const connection_ptr& conn)
      : scoped_callback(cancel, [weak = std::weak_ptr(conn), &io = detail::GetCurrentContext()] {
          asio::post(io, [weak] {
            if (const auto conn = weak.lock()) detail::CloseQuietly(conn->stream.socket());
          });
        }) {}
};

http_result MakeFailure(exchange_stage stage, const boost::system::error_code& error) {
  return {stage, {}, error.message(), error == beast::error::timeout};
}

}  // namespace

class http_client::impl {
 public:
  impl(fiber_runtime& runtime, std::size_t max_idle, std::size_t body_budget, memory_budget* memory)
      : max_idle_(max_idle),
        body_budget_(body_budget / runtime.thread_count()),
        memory_(memory),
        idle_(runtime.thread_count()),
        body_bytes_(runtime.thread_count()) {}

  http_result Send(const support::socket_address& address, http_request request,
                   steady_time deadline, cancellation* cancel, const exchange_options& options) {
    if (cancel != nullptr && cancel->cancelled()) return {{}, {}, "cancelled", false};
    if (auto problem = FindRequestProblem(request)) {
      return {exchange_stage::kNotSent, {}, "request can't be sent: " + *problem, false};
    }
    const connection_ptr idle = TakeIdle(address, options.max_idle, options.request_id);
    const steady_time reuse_end = std::chrono::steady_clock::now() + options.reuse_timeout;
    if (idle != nullptr && options.reuse_timeout.count() > 0 && reuse_end < deadline) {
      http_result result = SendOnce(idle, true, address, request, reuse_end, cancel, options);
      const bool cancelled = cancel != nullptr && cancel->cancelled();
      if (!result.timed_out || cancelled) return result;
      idle_[fiber_runtime::GetCurrentThreadIndex()].erase(address);
    } else if (idle != nullptr) {
      return SendOnce(idle, true, address, request, deadline, cancel, options);
    }
    return SendOnce(std::make_shared<connection>(detail::GetCurrentContext()), false, address,
                    request, deadline, cancel, options);
  }

  connect_result TryConnect(const support::socket_address& address,
                            std::chrono::milliseconds timeout) {
    connection_ptr conn = TakeIdle(address, exchange_options{}.max_idle, {});
    if (conn == nullptr) {
      conn = std::make_shared<connection>(detail::GetCurrentContext());
      conn->stream.expires_after(timeout);
      const auto error = Connect(*conn, address);
      if (error == asio::error::connection_refused) return connect_result::kRefused;
      if (error) return connect_result::kFailed;
    }
    PutIdle(address, conn);
    return connect_result::kConnected;
  }

  void CloseIdle() { idle_[fiber_runtime::GetCurrentThreadIndex()].clear(); }

 private:
  using pool = std::map<support::socket_address, std::vector<connection_ptr>>;

  /// Sends the request on `conn` and returns the connection to the pool or closes it.
  http_result SendOnce(const connection_ptr& conn, bool reused,
                       const support::socket_address& address, const http_request& request,
                       steady_time deadline, cancellation* cancel,
                       const exchange_options& options) {
    if (!options.request_id.empty()) {
      conn->request_ids.push_back(std::hash<std::string_view>{}(options.request_id));
    }
    bool keep_alive = false;
    http_result result =
        SendOn(conn, reused, address, request, deadline, cancel, options, keep_alive);
    // A cancellation that came with the response closes the connection later, when it could be in
    // use again.
    if (cancel != nullptr && cancel->cancelled()) keep_alive = false;
    if (keep_alive) {
      PutIdle(address, conn);
    } else {
      detail::CloseQuietly(conn->stream.socket());
    }
    return result;
  }

  /// Sends the request on `conn` after connecting it, unless it is reused. Sets `keep_alive` to
  /// true if the connection can be reused afterwards.
  http_result SendOn(const connection_ptr& conn, bool reused,
                     const support::socket_address& address, const http_request& request,
                     steady_time deadline, cancellation* cancel, const exchange_options& options,
                     bool& keep_alive) {
    const cancel_guard guard(cancel, conn);
    if (!reused) {
      conn->stream.expires_at(
          std::min(deadline, std::chrono::steady_clock::now() + options.connect_timeout));
      const auto error = Connect(*conn, address);
      if (error) return MakeFailure(exchange_stage::kNotSent, error);
    }
    conn->stream.expires_at(deadline);
    return Exchange(conn, detail::ToBeastRequest(request, address.ToText()), deadline, options,
                    keep_alive);
  }

  static boost::system::error_code Connect(connection& conn,
                                           const support::socket_address& address) {
    boost::system::error_code error;
    const tcp::endpoint endpoint(asio::ip::make_address(address.ip, error), address.port);
    if (error) return error;
    error = detail::AwaitDone(
        [&](auto handler) { conn.stream.async_connect(endpoint, std::move(handler)); });
    boost::system::error_code ignored;
    if (!error) conn.stream.socket().set_option(tcp::no_delay(true), ignored);
    if (!error) detail::EnableKeepAlive(conn.stream.socket());
    return error;
  }

  /// Represents a request that is written while its response is read, because a server may respond
  /// before it has read the whole body. The body is owned by the caller of Send, which closes the
  /// connection, and with it an unfinished write, before it returns.
  struct pending_write {
    explicit pending_write(detail::beast_request request) : message(std::move(request)) {}
    detail::beast_request message;
    bool done = false;
    bool any_byte_sent = false;
    boost::system::error_code error;
    /// Called at the end of the write unless it is empty.
    std::function<void()> on_done;
  };

  static std::shared_ptr<pending_write> StartWrite(const connection_ptr& conn,
                                                   detail::beast_request message) {
    auto pending = std::make_shared<pending_write>(std::move(message));
    http::async_write(conn->stream, pending->message,
                      [conn, pending](boost::system::error_code error, std::size_t bytes) {
                        pending->done = true;
                        pending->any_byte_sent = bytes > 0;
                        pending->error = error;
                        if (pending->on_done) pending->on_done();
                      });
    return pending;
  }

  static void AwaitEnd(pending_write& write) {
    if (write.done) return;
    detail::AwaitDone([&write](auto handler) {
      write.on_done = [handler]() mutable { handler(boost::system::error_code()); };
    });
  }

  /// Returns true if the server has ended the stream, and false if the connection has failed.
  /// Called when a read has reached the end of the stream. That alone doesn't tell: a socket
  /// reports its failure once, and a read that follows a failed write finds the end of the stream.
  static bool EndedInOrder(connection& conn, pending_write& write) {
    // Reports a connection that is closed in both directions, on which a write fails at once. If
    // only the server's side is closed, the write may go on.
    pollfd state{conn.stream.socket().native_handle(), /*events=*/0, 0};
    if (poll(&state, 1, /*timeout=*/0) > 0) AwaitEnd(write);
    // A reset that follows the end of the stream is reported as a broken pipe.
    return !write.error || write.error == asio::error::broken_pipe;
  }

  /// Sends a request and reads its response. Sets `keep_alive` to true if the connection can be
  /// reused; otherwise leaves it unchanged.
  http_result Exchange(const connection_ptr& conn, detail::beast_request message,
                       steady_time deadline, const exchange_options& options, bool& keep_alive) {
    const bool is_head = message.method() == http::verb::head;
    const auto pending = StartWrite(conn, std::move(message));
    bool response_skipped = false;
    for (int skipped = 0; skipped <= kMaxSkippedResponses; ++skipped) {
      response_reader reader(is_head);
      const auto error = ReadResponse(*conn, *pending, reader, deadline, options);
      if (error || !reader.error().empty()) {
        const bool nothing_sent = pending->done && pending->error && !pending->any_byte_sent;
        http_result failure =
            MakeFailure(nothing_sent ? exchange_stage::kNotSent : exchange_stage::kSent, error);
        if (!error) failure.error = reader.error();
        return failure;
      }
      ApplyKeepAlive(*conn, reader.keep_alive_field());
      if (reader.is_interim()) continue;
      const bool reusable = reader.keep_alive();
      http_response response = reader.Release();
      const response_match match = MatchResponse(response, options);
      if (match == response_match::kOther) {
        if (!reusable) return MakeFailure(exchange_stage::kSent, http::error::end_of_stream);
        response_skipped = true;
        continue;
      }
      // Surplus bytes after the response belong to no request, and the server would read the rest
      // of an incompletely sent body as the next request.
      keep_alive = reusable && match == response_match::kOwn && !response_skipped &&
                   pending->done && !pending->error && conn->buffer.size() == 0;
      return {exchange_stage::kAnswered, std::move(response), {}, false};
    }
    return {
        exchange_stage::kSent, {}, "too many responses that don't belong to the request", false};
  }

  /// Reads from the connection until `reader` has a whole response or has failed. Returns an error
  /// if the response can't be received.
  boost::system::error_code ReadResponse(connection& conn, pending_write& write,
                                         response_reader& reader, steady_time deadline,
                                         const exchange_options& options) {
    const steady_time latest_end = deadline + options.progress_extension;
    body_share share(body_bytes_[fiber_runtime::GetCurrentThreadIndex()], body_budget_);
    memory_charge charge(memory_, memory_use::kResponseBody);
    while (true) {
      reader.Read(conn.buffer);
      if (!share.Set(reader.body_bytes())) return http::error::body_limit;
      if (reader.done() || !reader.error().empty()) return {};
      if (!AwaitMemory(charge, reader.body_bytes() + kReadAheadBytes, deadline)) {
        return http::error::body_limit;
      }
      const std::size_t size = beast::read_size(conn.buffer, kMaxReadBytes);
      if (size == 0) return http::error::buffer_overflow;
      const auto read = Await<std::size_t>(
          [&](auto handler) { conn.stream.async_read_some(conn.buffer.prepare(size), handler); });
      conn.buffer.commit(read.value);
      if (read.error == asio::error::eof) {
        reader.ReadEnd(EndedInOrder(conn, write));
        return {};
      }
      if (read.error) return read.error;
      if (latest_end > deadline) {
        const auto next = std::chrono::steady_clock::now() + exchange_options::kProgressInterval;
        conn.stream.expires_at(std::min(std::max(deadline, next), latest_end));
      }
    }
  }

  /// Resizes a charge. Waits for memory, because the request of the response may have run. Returns
  /// false if there is none.
  static bool AwaitMemory(memory_charge& charge, std::size_t bytes, steady_time deadline) {
    const auto end = std::min(deadline, std::chrono::steady_clock::now() + kMemoryWait);
    while (!charge.Resize(bytes)) {
      if (std::chrono::steady_clock::now() >= end) return false;
      SleepFor(kMemoryPollInterval);
    }
    return true;
  }

  /// Sets `closes_at` from the value of a Keep-Alive field (timeout=N, in whole seconds).
  static void ApplyKeepAlive(connection& conn, std::string_view text) {
    constexpr std::string_view kParameter = "timeout=";
    const std::size_t begin = text.find(kParameter);
    if (begin == std::string_view::npos) return;
    unsigned seconds = 0;
    const auto [end, error] = std::from_chars(text.data() + begin + kParameter.size(),
                                              text.data() + text.size(), seconds);
    if (error != std::errc{}) return;
    conn.closes_at =
        std::chrono::steady_clock::now() + std::chrono::seconds(seconds) - kCloseMargin;
  }

  /// Takes a reusable connection for a request out of the pool of the calling thread. Returns null
  /// if there is none.
  connection_ptr TakeIdle(const support::socket_address& address,
                          std::chrono::milliseconds max_idle, std::string_view request_id) {
    auto& connections = idle_[fiber_runtime::GetCurrentThreadIndex()][address];
    const auto now = std::chrono::steady_clock::now();
    while (!connections.empty()) {
      connection_ptr conn = std::move(connections.back());
      connections.pop_back();
      if (now - conn->idle_since <= max_idle && now < conn->closes_at &&
          conn->AcceptsRequest(request_id) && IsReusable(*conn)) {
        return conn;
      }
    }
    return nullptr;
  }

  /// Returns a connection to the pool of the calling thread; drops it if the pool is full.
  void PutIdle(const support::socket_address& address, const connection_ptr& conn) {
    auto& connections = idle_[fiber_runtime::GetCurrentThreadIndex()][address];
    conn->stream.expires_never();
    conn->idle_since = std::chrono::steady_clock::now();
    if (connections.size() < max_idle_) connections.push_back(conn);
  }

  std::size_t max_idle_;
  /// Limit of the bytes that one thread receives at a time.
  std::size_t body_budget_;
  memory_budget* memory_;
  /// Idle connections by thread; each pool is used on its thread only.
  std::vector<pool> idle_;
  /// Bytes of the bodies that are being received, by thread.
  std::vector<std::size_t> body_bytes_;
};

response_match MatchResponse(const http_response& response, const exchange_options& options) {
  if (options.is_matching_response && !options.is_matching_response(response)) {
    return response_match::kOther;
  }
  if (options.id_field.empty()) return response_match::kOwn;
  const std::string_view id = FindField(response.fields, options.id_field);
  if (!id.empty()) return id == options.request_id ? response_match::kOwn : response_match::kOther;
  // A response to a request without an id can't have one.
  return options.id_required && !options.request_id.empty() ? response_match::kOther
                                                            : response_match::kUnidentified;
}

http_client::http_client(fiber_runtime& runtime, std::size_t max_idle_per_thread,
                         std::size_t body_budget, memory_budget* memory)
    : impl_(std::make_unique<impl>(runtime, max_idle_per_thread, body_budget, memory)) {}

http_client::~http_client() = default;

http_result http_client::Send(const support::socket_address& address, http_request request,
                              steady_time deadline, cancellation* cancel,
                              const exchange_options& options) {
  return impl_->Send(address, std::move(request), deadline, cancel, options);
}

connect_result http_client::TryConnect(const support::socket_address& address,
                                       std::chrono::milliseconds timeout) {
  return impl_->TryConnect(address, timeout);
}

void http_client::CloseIdle() { impl_->CloseIdle(); }

}  // namespace siskinrack::net
