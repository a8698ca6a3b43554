#include "siskinrack/wire/frame.h"

#include <algorithm>
#include <cassert>

namespace siskinrack::wire {
namespace {

constexpr unsigned kBitsPerByte = 8;
/// First size of the buffer for an encoded message, in addition to the body that it carries. The
/// buffer grows by copying, which takes a multiple of a large body.
constexpr std::size_t kInitialBytes = 1024;

/// Returns the size of the body that a message carries; 0 for other messages.
std::size_t CountBodyBytes(const envelope_t& message) {
  if (const auto* call = message.message.Ascall_request()) return call->body.size();
  if (const auto* answer = message.message.Ascall_answer()) return answer->body.size();
  return 0;
}

}  // namespace

std::string EncodeFrame(const envelope_t& message) {
  flatbuffers::FlatBufferBuilder builder(CountBodyBytes(message) + kInitialBytes);
  builder.Finish(envelope::Pack(builder, &message));
  const std::size_t size = builder.GetSize();
  assert(size <= kMaxFrameBytes && "encoded envelope exceeds kMaxFrameBytes");
  std::string frame;
  frame.reserve(kLengthPrefixBytes + size);
  for (std::size_t i = 0; i < kLengthPrefixBytes; ++i) {
    frame += static_cast<char>((size >> (kBitsPerByte * i)) & 0xffU);
  }
  frame.append(reinterpret_cast<const char*>(builder.GetBufferPointer()), size);
  return frame;
}

std::optional<std::size_t> DecodeLength(std::span<const std::uint8_t, kLengthPrefixBytes> bytes) {
  std::size_t length = 0;
  for (std::size_t i = 0; i < kLengthPrefixBytes; ++i) {
    length |= static_cast<std::size_t>(bytes[i]) << (kBitsPerByte * i);
  }
  if (length == 0 || length > kMaxFrameBytes) return std::nullopt;
  return length;
}

std::unique_ptr<envelope_t> DecodeEnvelope(std::span<const std::uint8_t> bytes) {
  flatbuffers::Verifier verifier(bytes.data(), bytes.size());
  if (!VerifyenvelopeBuffer(verifier)) return nullptr;
  const envelope* frame = Getenvelope(bytes.data());
  // The verifier accepts a message type without a body and a type of a later schema. Both would be
  // unpacked as a null message.
  if (frame->message() == nullptr || frame->message_type() == message::NONE ||
      frame->message_type() > message::MAX) {
    return nullptr;
  }
  return std::unique_ptr<envelope_t>(frame->UnPack());
}

std::uint32_t DeductWait(std::uint32_t remaining_ms, std::chrono::nanoseconds waited) {
  const std::int64_t ms = std::chrono::floor<std::chrono::milliseconds>(waited).count();
  return static_cast<std::uint32_t>(std::clamp<std::int64_t>(remaining_ms - ms, 0, remaining_ms));
}

void DeductWait(envelope_t& message, std::chrono::nanoseconds waited) {
  call_request_t* call = message.message.Ascall_request();
  if (call == nullptr) return;
  call->deadline_ms = DeductWait(call->deadline_ms, waited);
  call->in_time_ms = DeductWait(call->in_time_ms, waited);
}

}  // namespace siskinrack::wire
