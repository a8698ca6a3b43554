#ifndef SISKINRACK_LIB_NET_PEER_LINK_H_
#define SISKINRACK_LIB_NET_PEER_LINK_H_

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/fiber/context.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include "siskinrack/net/peer.h"

namespace siskinrack::net::detail {

/// One TCP connection that carries frames in both directions. All members are used on the thread
/// that owns the socket.
class peer_link : public std::enable_shared_from_this<peer_link> {
 public:
  using frame_handler =
      std::function<void(const std::shared_ptr<peer_link>&, std::unique_ptr<wire::envelope_t>)>;

  /// `on_request` gets every frame that isn't a reply.
  peer_link(boost::asio::ip::tcp::socket socket, peer_context& context, frame_handler on_request);

  /// Reads frames until the connection ends; called in a fiber of its own.
  void ReadLoop();
  /// Queues a frame.
  void Send(wire::envelope_t message);
  /// Sends a request and suspends until its reply, the deadline, a cancellation or the end of the
  /// connection.
  peer_result Request(wire::envelope_t message, steady_time deadline, cancellation* cancel);
  void Close();
  /// Closes the connection once no frame passed for `timeout` and no request waits for its reply.
  void CloseWhenIdle(std::chrono::milliseconds timeout);
  [[nodiscard]] bool closed_as_idle() const { return closed_as_idle_; }
  [[nodiscard]] bool closed() const { return closed_; }
  [[nodiscard]] steady_time last_used() const { return last_used_; }

 private:
  struct waiter {
    explicit waiter(boost::asio::io_context& io) : timer(io) {}
    boost::asio::steady_timer timer;
    std::unique_ptr<wire::envelope_t> reply;
  };
  struct queued_frame {
    std::string bytes;
    std::uint64_t correlation_id;
    bool is_answer;
  };

  void Enqueue(queued_frame frame);
  void StartWrite();
  void OnWritten(const boost::system::error_code& error);
  bool Dispatch(std::span<const std::uint8_t> bytes);
  void SendCancel(std::uint64_t correlation_id);
  /// Closes a link that is silent while requests wait for replies: a connection whose other end
  /// lost power or its state gives no error by itself.
  void WatchSilence();
  void OnSilenceCheck();

  boost::asio::ip::tcp::socket socket_;
  peer_context& context_;
  frame_handler on_request_;
  bool closed_ = false;
  bool closed_as_idle_ = false;
  steady_time last_used_;
  steady_time last_received_;
  boost::asio::steady_timer idle_timer_;
  boost::asio::steady_timer silence_timer_;
  bool watching_silence_ = false;
  /// A ping was sent and no byte came since.
  bool ping_pending_ = false;
  std::uint64_t next_correlation_id_ = 1;
  std::unordered_map<std::uint64_t, std::shared_ptr<waiter>> waiters_;
  std::deque<queued_frame> queue_;
  std::string writing_;
  bool write_active_ = false;
  /// Answers in `writing_` and in `queue_`; part of the context's count.
  std::size_t writing_answers_ = 0;
  std::size_t queued_answers_ = 0;
};

}  // namespace siskinrack::net::detail

#endif  // SISKINRACK_LIB_NET_PEER_LINK_H_
