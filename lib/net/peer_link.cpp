#include "peer_link.h"

#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <utility>
#include <vector>

#include "await.h"
#include "listener.h"
#include "siskinrack/support/scope_exit.h"

namespace siskinrack::net::detail {
namespace {

namespace asio = boost::asio;

/// Limit of queued frames for a slow peer. The link is closed beyond it, to bound memory use.
constexpr std::size_t kMaxQueuedFrames = 4096;
/// Minimum free buffer space for a read. This is the buffer cost per link, and a node may have a
/// link to every other node.
constexpr std::size_t kReadChunkBytes = 4U << 10U;
/// Time without received data after which a link is pinged, and time after the ping after which the
/// link is closed. Allows for several round trips between failure domains and for the delays of a
/// node that is short of CPU time.
constexpr std::chrono::milliseconds kLivenessInterval{600};
/// Wait for the reply to a recalled request: a round trip between failure domains and the time that
/// a busy node needs to withdraw it.
constexpr std::chrono::milliseconds kRecallReplyTime{150};

}  // namespace

peer_link::peer_link(asio::ip::tcp::socket socket, peer_context& context, frame_handler on_request)
    : socket_(std::move(socket)),
      context_(context),
      on_request_(std::move(on_request)),
      last_activity_(std::chrono::steady_clock::now()),
      last_received_(last_activity_),
      idle_timer_(GetCurrentContext()),
      liveness_timer_(GetCurrentContext()) {}

void peer_link::ReadLoop() {
  const auto self = shared_from_this();
  std::vector<std::uint8_t> buffer;
  std::size_t buffered = 0;
  while (!closed_) {
    buffer.resize(std::max(buffer.size(), buffered + kReadChunkBytes));
    const auto read = Await<std::size_t>([&](auto handler) {
      socket_.async_read_some(asio::buffer(buffer.data() + buffered, buffer.size() - buffered),
                              handler);
    });
    if (read.error) break;
    last_received_ = std::chrono::steady_clock::now();
    ping_pending_ = false;
    gave_up_ = false;
    buffered += read.value;
    std::size_t consumed = 0;
    while (buffered - consumed >= wire::kLengthPrefixBytes) {
      const std::span<const std::uint8_t> remaining(buffer.data() + consumed, buffered - consumed);
      const auto length = wire::DecodeLength(remaining.first<wire::kLengthPrefixBytes>());
      if (!length) return Close();
      if (remaining.size() < wire::kLengthPrefixBytes + *length) break;
      if (!Dispatch(remaining.subspan(wire::kLengthPrefixBytes, *length))) return Close();
      consumed += wire::kLengthPrefixBytes + *length;
    }
    buffer.erase(buffer.begin(), buffer.begin() + static_cast<std::ptrdiff_t>(consumed));
    buffered -= consumed;
  }
  Close();
}

bool peer_link::Dispatch(std::span<const std::uint8_t> bytes) {
  auto message = wire::DecodeEnvelope(bytes);
  if (message == nullptr) return false;
  context_.clock->Observe({message->hlc_wall_us, message->hlc_logical});
  context_.traffic->CountReceived(message->message.type, bytes.size() + wire::kLengthPrefixBytes);
  if (message->message.type == wire::message::link_pong) return true;
  if (message->message.type == wire::message::link_ping) {
    Send(wire::MakeEnvelope(wire::link_pong_t{}));
    return true;
  }
  last_activity_ = std::chrono::steady_clock::now();
  if (!message->is_reply) {
    on_request_(shared_from_this(), std::move(message));
    return true;
  }
  const auto found = pending_requests_.find(message->correlation_id);
  // A reply without a pending request is late: the request timed out or was cancelled.
  if (found == pending_requests_.end()) return true;
  found->second->reply = std::move(message);
  found->second->timer.cancel();
  pending_requests_.erase(found);
  return true;
}

void peer_link::Send(wire::envelope_t message) { Send(std::move(message), nullptr); }

void peer_link::Send(wire::envelope_t message, std::shared_ptr<pending_request> request) {
  const support::hybrid_time now = context_.clock->Tick();
  message.sender = context_.node_id;
  message.hlc_wall_us = now.wall_us;
  message.hlc_logical = now.logical;
  std::string frame = wire::EncodeFrame(message);
  context_.traffic->CountSent(message.message.type, frame.size());
  const bool is_answer = message.is_reply && message.message.type == wire::message::call_answer;
  Enqueue({std::move(frame), std::move(request), is_answer});
}

void peer_link::Enqueue(queued_frame frame) {
  if (closed_) return;
  last_activity_ = std::chrono::steady_clock::now();
  if (queue_.size() >= kMaxQueuedFrames) return Close();
  if (frame.is_answer) {
    ++queued_answers_;
    ++context_.unwritten_answers;
  }
  queue_.push_back(std::move(frame));
  if (!write_active_) StartWrite();
}

void peer_link::StartWrite() {
  write_active_ = true;
  write_buffer_.clear();
  for (queued_frame& frame : queue_) {
    write_buffer_ += frame.bytes;
    if (frame.request != nullptr) frame.request->sent = true;
  }
  queue_.clear();
  writing_answers_ = std::exchange(queued_answers_, 0);
  asio::async_write(socket_, asio::buffer(write_buffer_),
                    [self = shared_from_this()](const boost::system::error_code& error,
                                                std::size_t) { self->OnWritten(error); });
}

void peer_link::OnWritten(const boost::system::error_code& error) {
  write_active_ = false;
  context_.unwritten_answers -= std::exchange(writing_answers_, 0);
  if (error) return Close();
  if (!queue_.empty() && !closed_) StartWrite();
}

bool peer_link::AwaitReply(std::uint64_t correlation_id, pending_request& pending) {
  while (true) {
    const auto wait_error =
        AwaitDone([&](auto handler) { pending.timer.async_wait(std::move(handler)); });
    if (pending.reply != nullptr || closed_ || !pending.recalled) return bool(wait_error);
    pending.recalled = false;
    if (!pending.sent) return true;
    SendCancel(correlation_id);
    pending.timer.expires_after(kRecallReplyTime);
  }
}

peer_result peer_link::Request(wire::envelope_t message, steady_time deadline, cancellation* cancel,
                               cancellation* recall, silence_policy silence) {
  if (closed_) return {exchange_stage::kNotSent, nullptr, "link is closed", false};
  const auto self = shared_from_this();
  auto pending = std::make_shared<pending_request>(GetCurrentContext());
  pending->timer.expires_at(deadline);
  pending->silence = silence;
  const std::uint64_t id = next_correlation_id_++;
  pending_requests_.emplace(id, pending);
  const support::scope_exit forget([this, id] { Forget(id); });
  message.correlation_id = id;
  message.is_reply = false;
  Send(std::move(message), pending);
  if (closed_) return {exchange_stage::kNotSent, nullptr, "link is closed", false};
  StartLivenessChecks();

  asio::io_context& io = GetCurrentContext();
  const scoped_callback on_cancel(
      cancel, [pending, &io] { asio::post(io, [pending] { pending->timer.cancel(); }); });
  const scoped_callback on_recall(recall, [pending, &io] {
    asio::post(io, [pending] {
      pending->recalled = true;
      pending->timer.cancel();
    });
  });
  const bool timed_out = !AwaitReply(id, *pending);
  if (pending->reply != nullptr) {
    return {exchange_stage::kAnswered, std::move(pending->reply), {}, false};
  }
  if (!pending->sent) {
    std::erase_if(queue_, [&](const queued_frame& frame) { return frame.request == pending; });
    return {exchange_stage::kNotSent, nullptr,
            "request was not sent before the deadline, a cancellation or the end of the link",
            timed_out};
  }
  gave_up_ = true;
  SendCancel(id);
  return {exchange_stage::kSent, nullptr,
          closed_ ? "link was closed before the reply"
                  : "no reply before the deadline or a cancellation",
          timed_out};
}

void peer_link::StartLivenessChecks() {
  if (checking_liveness_) return;
  checking_liveness_ = true;
  // Data received before the first pending request doesn't show that the peer is alive now.
  last_received_ = std::chrono::steady_clock::now();
  CheckLiveness();
}

void peer_link::CheckLiveness() {
  if (closed_ || pending_requests_.empty()) {
    checking_liveness_ = false;
    return;
  }
  const auto now = std::chrono::steady_clock::now();
  if (now - last_received_ >= kLivenessInterval) {
    if (ping_pending_) {
      checking_liveness_ = false;
      return OnSilence();
    }
    ping_pending_ = true;
    Send(wire::MakeEnvelope(wire::link_ping_t{}));
  }
  liveness_timer_.expires_at(now + kLivenessInterval);
  liveness_timer_.async_wait([self = shared_from_this()](const boost::system::error_code& error) {
    if (!error) self->CheckLiveness();
  });
}

void peer_link::OnSilence() {
  const bool any_waits =
      std::any_of(pending_requests_.begin(), pending_requests_.end(), [](const auto& entry) {
        return entry.second->sent && entry.second->silence == silence_policy::kAwaitReply;
      });
  if (!any_waits) return Close();
  silent_ = true;
  for (auto& [id, pending] : pending_requests_) {
    if (!pending->sent || pending->silence == silence_policy::kGiveUp) pending->timer.cancel();
  }
}

void peer_link::Forget(std::uint64_t correlation_id) {
  pending_requests_.erase(correlation_id);
  if (silent_ && pending_requests_.empty()) Close();
}

void peer_link::SendCancel(std::uint64_t correlation_id) {
  if (closed_) return;
  auto message = wire::MakeEnvelope(wire::call_cancel_t{});
  message.correlation_id = correlation_id;
  Send(std::move(message));
}

void peer_link::CloseWhenIdle(std::chrono::milliseconds timeout) {
  const auto now = std::chrono::steady_clock::now();
  const bool busy = write_active_ || !pending_requests_.empty();
  if (!busy && now >= last_activity_ + timeout) {
    closed_as_idle_ = true;
    return Close();
  }
  idle_timer_.expires_at(busy ? now + timeout : last_activity_ + timeout);
  idle_timer_.async_wait(
      [self = shared_from_this(), timeout](const boost::system::error_code& error) {
        if (!error && !self->closed_) self->CloseWhenIdle(timeout);
      });
}

void peer_link::Close() {
  if (closed_) return;
  closed_ = true;
  context_.unwritten_answers -= std::exchange(queued_answers_, 0);
  idle_timer_.cancel();
  liveness_timer_.cancel();
  const bool reply_missing = std::any_of(pending_requests_.begin(), pending_requests_.end(),
                                         [](const auto& entry) { return entry.second->sent; });
  // An orderly close would deliver bytes that are held up on the way.
  if (gave_up_ || reply_missing) {
    ResetQuietly(socket_);
  } else {
    CloseQuietly(socket_);
  }
  for (auto& [id, pending] : pending_requests_) pending->timer.cancel();
}

}  // namespace siskinrack::net::detail
