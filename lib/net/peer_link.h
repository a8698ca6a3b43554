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
#include <vector>

#include "await.h"
#include "siskinrack/net/peer.h"

namespace siskinrack::net::detail {

/// TCP connection that carries frames in both directions. Not thread-safe: all members must be used
/// on the thread of the socket.
class peer_link : public std::enable_shared_from_this<peer_link> {
 public:
  using frame_handler =
      std::function<void(const std::shared_ptr<peer_link>&, std::unique_ptr<wire::envelope_t>,
                         memory_charge, steady_time received_at)>;

  /// `on_request` receives every frame that is neither a reply nor a ping or pong, with the charge
  /// for its message and the time at which it arrived in the process.
  peer_link(boost::asio::ip::tcp::socket socket, peer_context& context, frame_handler on_request);

  /// Reads and dispatches frames until the link is closed. Must run in a fiber of its own.
  void ReadLoop();
  /// Queues a message for sending. Dropped if the link is closed; closes the link if the queue is
  /// full.
  void Send(wire::envelope_t message);
  /// Sends a request and suspends the fiber until the reply, the deadline, a cancellation or the
  /// end of the connection. See peer_pool::Request for `recall`.
  peer_result Request(wire::envelope_t message, steady_time deadline, cancellation* cancel,
                      cancellation* recall = nullptr,
                      silence_policy silence = silence_policy::kGiveUp);
  /// Closes the connection and resumes the fibers that wait for replies.
  void Close();
  /// Closes the link once no frame was sent or received for `timeout`. While a request waits for
  /// its reply or a write is in progress, the check is repeated after another `timeout`.
  void CloseWhenIdle(std::chrono::milliseconds timeout);
  [[nodiscard]] bool closed_as_idle() const { return closed_as_idle_; }
  [[nodiscard]] bool closed() const { return closed_; }
  /// Returns false if the link is closed, or if it is open only for requests that wait on although
  /// the peer shows no sign of life.
  [[nodiscard]] bool usable() const { return !closed_ && !silent_; }
  [[nodiscard]] steady_time last_activity() const { return last_activity_; }

 private:
  /// Request that waits for its reply. Cancelling the timer resumes its fiber.
  struct pending_request {
    explicit pending_request(boost::asio::io_context& io) : timer(io) {}
    boost::asio::steady_timer timer;
    std::unique_ptr<wire::envelope_t> reply;
    bool recalled = false;
    /// True once the frame that carries the request was passed to the socket. Other frames with the
    /// same correlation id, such as its cancellation, say nothing about that.
    bool sent = false;
    silence_policy silence = silence_policy::kGiveUp;
  };
  struct queued_frame {
    std::string bytes;
    /// Request that the frame carries; null if it isn't a request that expects a reply.
    std::shared_ptr<pending_request> request;
    bool is_answer;
    memory_charge charge;
  };

  void Send(wire::envelope_t message, std::shared_ptr<pending_request> request);

  void Enqueue(queued_frame frame);
  void StartWrite();
  /// Returns true if the frame is sent in parts when the network link has room for them.
  [[nodiscard]] bool IsPaced(const queued_frame& frame) const;
  /// Moves the frames that aren't paced from `queue_` to `writing_`.
  void TakeSmallFrames();
  /// Writes the paced frame in `writing_` from `offset` on.
  void WritePart(std::size_t offset);
  void AddWaiting(std::size_t bytes);
  void DropWaiting(std::size_t bytes);
  void OnWritten(const boost::system::error_code& error);
  /// Grows the buffer for the next read of a frame of `frame_bytes` bytes, of which `buffered` are
  /// received. Waits for memory; returns false if there is none.
  bool GrowBuffer(std::vector<std::uint8_t>& buffer, std::size_t buffered, std::size_t frame_bytes);
  /// Reads into the free space of `buffer` without suspending the fiber. Returns 0 if there are no
  /// bytes, and on an error, which the next ReadSome reports.
  std::size_t ReadAvailable(std::vector<std::uint8_t>& buffer, std::size_t buffered);
  /// Reads once into the free space of `buffer`. Fails if a frame has been received in part and no
  /// further byte arrives for a while.
  io_result<std::size_t> ReadSome(std::vector<std::uint8_t>& buffer, std::size_t buffered);
  /// Handles one encoded envelope. Returns false if it is malformed.
  bool Dispatch(std::span<const std::uint8_t> bytes);
  void SendCancel(std::uint64_t correlation_id);
  /// Suspends the fiber until the request is done. A recalled request whose frame was sent gets
  /// another short wait for its reply. Returns false if the wait ended by its time limit.
  bool AwaitReply(std::uint64_t correlation_id, pending_request& pending);
  /// Starts liveness checks, which run while requests wait for replies and close the link if the
  /// peer stops responding. A peer whose VM lost power or its connection state sends neither FIN
  /// nor RST, so the socket reports no error.
  void StartLivenessChecks();
  void CheckLiveness();
  /// Ends the requests that don't wait for a silent peer. Closes the link if no request waits on.
  void OnSilence();
  /// Removes a request that ended. Closes a silent link after its last one.
  void Forget(std::uint64_t correlation_id);

  boost::asio::ip::tcp::socket socket_;
  peer_context& context_;
  frame_handler on_request_;
  bool closed_ = false;
  bool closed_as_idle_ = false;
  /// Time of the last frame that was queued, or received and neither a ping nor a pong.
  steady_time last_activity_;
  /// Time at which the last bytes were received or liveness checks were started.
  steady_time last_received_;
  /// Time at which the bytes that are being dispatched arrived in the process.
  steady_time bytes_received_at_;
  boost::asio::steady_timer idle_timer_;
  boost::asio::steady_timer liveness_timer_;
  /// Closes the link if a frame stops short.
  boost::asio::steady_timer stall_timer_;
  /// Charge for the buffer of received bytes.
  memory_charge buffer_charge_;
  bool checking_liveness_ = false;
  /// True if a ping was sent and no byte has been received since.
  bool ping_pending_ = false;
  /// True if the peer has not replied to a ping in time. Not reset: the pool uses another link from
  /// then on.
  bool silent_ = false;
  /// True if a request that was sent has ended without its reply since the last byte was received.
  bool gave_up_ = false;
  std::uint64_t next_correlation_id_ = 1;
  std::unordered_map<std::uint64_t, std::shared_ptr<pending_request>> pending_requests_;
  std::deque<queued_frame> queue_;
  /// Frames that are being written.
  std::deque<queued_frame> writing_;
  bool write_active_ = false;
  /// Bytes of paced frames that have not been passed to the pacer.
  std::size_t waiting_bytes_ = 0;
  /// Numbers of call answers in `writing_` and in `queue_`, included in the context's
  /// unwritten_answers.
  std::size_t writing_answers_ = 0;
  std::size_t queued_answers_ = 0;
};

}  // namespace siskinrack::net::detail

#endif  // SISKINRACK_LIB_NET_PEER_LINK_H_
