#include "peer_link.h"

#include <sys/socket.h>

#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <string_view>
#include <utility>
#include <vector>

#include "await.h"
#include "listener.h"
#include "siskinrack/net/link_pacer.h"
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
/// Time without a byte after which a link with an incomplete frame is closed. Longer than the
/// suspension of a VM that other limits tolerate.
constexpr std::chrono::milliseconds kFrameStallTime{5'000};
/// Wait for memory for a frame, shorter than the time after which the peer takes the link for
/// broken.
constexpr std::chrono::milliseconds kMemoryWait{500};
constexpr std::chrono::milliseconds kMemoryPollInterval{20};
/// Limit of the bytes that are read from a link before other fibers run.
constexpr std::size_t kMaxReadAtOnce = 64U << 10U;
/// A buffer that has grown beyond this size for a large frame is released after it.
constexpr std::size_t kMaxKeptBufferBytes = 16 * kReadChunkBytes;

}  // namespace

peer_link::peer_link(asio::ip::tcp::socket socket, peer_context& context, frame_handler on_request)
    : socket_(std::move(socket)),
      context_(context),
      on_request_(std::move(on_request)),
      last_activity_(std::chrono::steady_clock::now()),
      last_received_(last_activity_),
      bytes_received_at_(last_activity_),
      idle_timer_(GetCurrentContext()),
      liveness_timer_(GetCurrentContext()),
      stall_timer_(GetCurrentContext()),
      buffer_charge_(context.memory, memory_use::kFrame) {}

bool peer_link::GrowBuffer(std::vector<std::uint8_t>& buffer, std::size_t buffered,
                           std::size_t frame_bytes) {
  // Grows with the received bytes, because a peer can announce a frame that it doesn't send.
  const std::size_t wanted = std::min(std::max(frame_bytes, buffered + kReadChunkBytes),
                                      std::max(2 * buffered, buffered + kReadChunkBytes));
  if (wanted <= buffer.size()) return true;
  // A link can't do without this much.
  if (wanted <= kReadChunkBytes) buffer_charge_.ForceResize(wanted);
  const auto end = std::chrono::steady_clock::now() + kMemoryWait;
  while (!buffer_charge_.Resize(wanted)) {
    if (closed_ || std::chrono::steady_clock::now() >= end) return false;
    SleepFor(kMemoryPollInterval);
  }
  buffer.reserve(wanted);
  buffer.resize(wanted);
  return true;
}

io_result<std::size_t> peer_link::ReadSome(std::vector<std::uint8_t>& buffer,
                                           std::size_t buffered) {
  if (buffered > 0) {
    stall_timer_.expires_after(kFrameStallTime);
    stall_timer_.async_wait([self = shared_from_this()](const boost::system::error_code& error) {
      if (!error) self->Close();
    });
  }
  const auto read = Await<std::size_t>([&](auto handler) {
    socket_.async_read_some(
        asio::buffer(buffer.data() + buffered, buffer.size() - buffered),
        [this, handler](const boost::system::error_code& error, std::size_t size) mutable {
          bytes_received_at_ = std::chrono::steady_clock::now();
          handler(error, size);
        });
  });
  if (buffered > 0) stall_timer_.cancel();
  return read;
}

std::size_t peer_link::ReadAvailable(std::vector<std::uint8_t>& buffer, std::size_t buffered) {
  const auto size = recv(socket_.native_handle(), buffer.data() + buffered,
                         buffer.size() - buffered, MSG_DONTWAIT);
  if (size <= 0) return 0;
  bytes_received_at_ = std::chrono::steady_clock::now();
  return static_cast<std::size_t>(size);
}

void peer_link::ReadLoop() {
  const auto self = shared_from_this();
  std::vector<std::uint8_t> buffer;
  std::size_t buffered = 0;
  std::size_t frame_bytes = 0;
  std::size_t read_at_once = 0;
  while (!closed_) {
    if (!GrowBuffer(buffer, buffered, frame_bytes)) break;
    // Requests start when this fiber suspends. A cancellation that has arrived behind them is read
    // first, so that they don't start.
    const bool may_have_more = read_at_once > 0 && read_at_once < kMaxReadAtOnce;
    io_result<std::size_t> read;
    if (may_have_more) read.value = ReadAvailable(buffer, buffered);
    if (read.value == 0) {
      read_at_once = 0;
      read = ReadSome(buffer, buffered);
    }
    if (read.error) break;
    // A read that doesn't fill the buffer has left nothing.
    const bool filled = buffered + read.value == buffer.size();
    read_at_once = filled ? read_at_once + read.value : 0;
    last_received_ = std::chrono::steady_clock::now();
    ping_pending_ = false;
    gave_up_ = false;
    buffered += read.value;
    std::size_t consumed = 0;
    frame_bytes = 0;
    while (buffered - consumed >= wire::kLengthPrefixBytes) {
      const std::span<const std::uint8_t> remaining(buffer.data() + consumed, buffered - consumed);
      const auto length = wire::DecodeLength(remaining.first<wire::kLengthPrefixBytes>());
      if (!length) return Close();
      frame_bytes = wire::kLengthPrefixBytes + *length;
      if (remaining.size() < frame_bytes) break;
      if (!Dispatch(remaining.subspan(wire::kLengthPrefixBytes, *length))) return Close();
      consumed += std::exchange(frame_bytes, 0);
    }
    if (consumed == 0) continue;
    buffer.erase(buffer.begin(), buffer.begin() + static_cast<std::ptrdiff_t>(consumed));
    buffered -= consumed;
    if (buffer.capacity() > kMaxKeptBufferBytes && buffered <= kMaxKeptBufferBytes) {
      buffer.resize(buffered);
      buffer.shrink_to_fit();
    }
    buffer_charge_.ForceResize(buffer.capacity());
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
    memory_charge charge(context_.memory, memory_use::kFrame);
    charge.ForceResize(bytes.size());
    on_request_(shared_from_this(), std::move(message), std::move(charge), bytes_received_at_);
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
  memory_charge charge(context_.memory, memory_use::kFrame);
  charge.ForceResize(frame.size());
  Enqueue({std::move(frame), std::move(request), is_answer, std::move(charge)});
}

void peer_link::Enqueue(queued_frame frame) {
  if (closed_) return;
  last_activity_ = std::chrono::steady_clock::now();
  if (queue_.size() >= kMaxQueuedFrames) return Close();
  if (frame.is_answer) {
    ++queued_answers_;
    ++context_.unwritten_answers;
  }
  if (IsPaced(frame)) AddWaiting(frame.bytes.size());
  queue_.push_back(std::move(frame));
  if (!write_active_) StartWrite();
}

void peer_link::StartWrite() {
  write_active_ = true;
  if (context_.pacer == nullptr) {
    writing_ = std::exchange(queue_, {});
  } else {
    TakeSmallFrames();
    if (writing_.empty()) {
      writing_.push_back(std::move(queue_.front()));
      queue_.pop_front();
    }
  }
  std::vector<asio::const_buffer> buffers;
  buffers.reserve(writing_.size());
  std::size_t bytes = 0;
  for (const queued_frame& frame : writing_) {
    if (frame.request != nullptr) frame.request->sent = true;
    if (frame.is_answer) ++writing_answers_;
    buffers.push_back(asio::buffer(frame.bytes));
    bytes += frame.bytes.size();
  }
  queued_answers_ -= writing_answers_;
  if (IsPaced(writing_.front())) return WritePart(0);
  if (context_.pacer != nullptr) context_.pacer->OnSent(bytes);
  asio::async_write(socket_, buffers,
                    [self = shared_from_this()](const boost::system::error_code& error,
                                                std::size_t) { self->OnWritten(error); });
}

void peer_link::AddWaiting(std::size_t bytes) {
  waiting_bytes_ += bytes;
  context_.pacer->AddWaiting(bytes);
}

void peer_link::DropWaiting(std::size_t bytes) {
  waiting_bytes_ -= bytes;
  context_.pacer->DropWaiting(bytes);
}

bool peer_link::IsPaced(const queued_frame& frame) const {
  return context_.pacer != nullptr && frame.bytes.size() > link_pacer::kLargeFrameBytes;
}

void peer_link::TakeSmallFrames() {
  std::deque<queued_frame> large;
  for (queued_frame& frame : queue_) {
    (IsPaced(frame) ? large : writing_).push_back(std::move(frame));
  }
  queue_ = std::move(large);
}

void peer_link::WritePart(std::size_t offset) {
  const std::size_t size = std::min(link_pacer::kPartBytes, writing_.front().bytes.size() - offset);
  waiting_bytes_ -= size;
  context_.pacer->SendPart(
      size, /*continues=*/offset > 0, [self = shared_from_this(), offset, size] {
        if (self->closed_) return self->OnWritten(asio::error::operation_aborted);
        asio::async_write(
            self->socket_, asio::buffer(self->writing_.front().bytes.data() + offset, size),
            [self, offset, size](const boost::system::error_code& error, std::size_t) {
              const bool is_last = offset + size == self->writing_.front().bytes.size();
              if (error || is_last || self->closed_) return self->OnWritten(error);
              self->WritePart(offset + size);
            });
      });
}

void peer_link::OnWritten(const boost::system::error_code& error) {
  write_active_ = false;
  writing_.clear();
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
    std::erase_if(queue_, [&](const queued_frame& frame) {
      const bool matches = frame.request == pending;
      if (matches && !closed_ && IsPaced(frame)) DropWaiting(frame.bytes.size());
      return matches;
    });
    return {exchange_stage::kNotSent, nullptr,
            "request was not sent before the deadline, a cancellation or the end of the link",
            timed_out};
  }
  gave_up_ = true;
  SendCancel(id);
  std::string_view reason = "no reply before the deadline or a cancellation";
  if (closed_) reason = "link was closed before the reply";
  if (!closed_ && silent_ && !timed_out) reason = "peer showed no sign of life";
  return {exchange_stage::kSent, nullptr, std::string(reason), timed_out};
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
  if (waiting_bytes_ > 0) DropWaiting(waiting_bytes_);
  idle_timer_.cancel();
  liveness_timer_.cancel();
  stall_timer_.cancel();
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
