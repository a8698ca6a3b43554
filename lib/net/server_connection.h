#ifndef SISKINRACK_LIB_NET_SERVER_CONNECTION_H_
#define SISKINRACK_LIB_NET_SERVER_CONNECTION_H_

#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>
#include <chrono>
#include <cstddef>
#include <memory>
#include <set>
#include <utility>

#include "listener.h"
#include "response_order.h"
#include "siskinrack/net/cancellation.h"
#include "siskinrack/net/memory_budget.h"
#include "siskinrack/support/in_flight_guard.h"

namespace siskinrack::net::detail {

/// Time without a byte after which a connection with an incomplete request makes room for another.
inline constexpr std::chrono::milliseconds kStallTime{1'000};

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
struct server_connection {
  server_connection(boost::asio::ip::tcp::socket socket, memory_charge own_charge,
                    std::set<server_connection*>& all, std::atomic<std::size_t>& open)
      : stream(std::move(socket)), charge(std::move(own_charge)), registry(all), count(open) {
    registry.insert(this);
  }
  ~server_connection() {
    registry.erase(this);
    CloseQuietly(stream.socket());
  }
  server_connection(const server_connection&) = delete;
  server_connection& operator=(const server_connection&) = delete;

  /// Cancels all requests without a response.
  void CancelOpenRequests() {
    for (cancellation* request : open_requests) request->Cancel();
  }

  /// Returns true if the connection may be closed to make room for another.
  [[nodiscard]] bool IsEvictable(std::chrono::steady_clock::time_point now) const {
    if (evicted || order.open() > 0) return false;
    return idle || lingering || IsStalled(now);
  }
  /// Returns true if a request is being read and no byte has arrived for a while.
  [[nodiscard]] bool IsStalled(std::chrono::steady_clock::time_point now) const {
    return reading && now - last_progress >= kStallTime;
  }

  boost::beast::tcp_stream stream;
  boost::beast::flat_buffer buffer;
  memory_charge charge;
  /// True while the server waits for the first byte of a request.
  bool idle = false;
  /// True while the server waits for further bytes of a request.
  bool reading = false;
  /// True while the server discards what the client sends after the last response.
  bool lingering = false;
  /// Time at which the connection became idle or the server began to read the request or, in a
  /// body, at which the last bytes arrived.
  std::chrono::steady_clock::time_point last_progress = std::chrono::steady_clock::now();
  /// Time at which the last bytes arrived in the process. The fiber that waited for them may run
  /// later if the thread is busy.
  std::chrono::steady_clock::time_point received_at = last_progress;
  /// True if the request is refused because its body makes no progress.
  bool interrupted = false;
  /// True if the connection was closed to make room for another.
  bool evicted = false;
  response_order order;
  std::set<cancellation*> open_requests;
  /// Watch of a fiber that can't hand over the reading, because as many requests are open as may
  /// overlap; null if there is none.
  std::shared_ptr<readable_watch> waiting_watch;
  boost::fibers::mutex turn_mutex;
  boost::fibers::condition_variable_any turn_changed;
  std::set<server_connection*>& registry;
  support::in_flight_guard count;
};

/// Represents one request that was read from a connection.
struct open_request {
  open_request(server_connection& owner, std::atomic<std::size_t>& in_flight,
               std::chrono::steady_clock::time_point first_received_at)
      : conn(owner), count(in_flight), position(owner.order.Add()), received_at(first_received_at) {
    conn.open_requests.insert(&cancel);
  }
  ~open_request() { conn.open_requests.erase(&cancel); }
  open_request(const open_request&) = delete;
  open_request& operator=(const open_request&) = delete;

  server_connection& conn;
  support::in_flight_guard count;
  response_order::position position;
  /// Time at which the first bytes of the request arrived.
  std::chrono::steady_clock::time_point received_at;
  cancellation cancel;
  std::shared_ptr<readable_watch> watch = std::make_shared<readable_watch>();
};

}  // namespace siskinrack::net::detail

#endif  // SISKINRACK_LIB_NET_SERVER_CONNECTION_H_
