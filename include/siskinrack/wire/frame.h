#ifndef SISKINRACK_WIRE_FRAME_H_
#define SISKINRACK_WIRE_FRAME_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>

#include "siskinrack/wire/siskinrack_generated.h"

namespace siskinrack::wire {

/// Size of the little-endian length prefix of a frame, in bytes.
inline constexpr std::size_t kLengthPrefixBytes = 4;
/// Limit of a frame without its length prefix, in bytes. Fits a full configuration of 1 MB and the
/// largest body that a node accepts.
inline constexpr std::size_t kMaxFrameBytes = 24U << 20U;

/// Encodes an envelope with its length prefix. The encoded envelope must not exceed kMaxFrameBytes.
std::string EncodeFrame(const envelope_t& message);

/// Decodes a length prefix. Returns std::nullopt if the length is 0 or exceeds kMaxFrameBytes.
std::optional<std::size_t> DecodeLength(std::span<const std::uint8_t, kLengthPrefixBytes> bytes);

/// Verifies and decodes the bytes after the length prefix. Returns null if they are not a valid
/// envelope.
std::unique_ptr<envelope_t> DecodeEnvelope(std::span<const std::uint8_t> bytes);

/// Returns the rest of a remaining time, in milliseconds, after a wait; 0 if nothing is left.
std::uint32_t DeductWait(std::uint32_t remaining_ms, std::chrono::nanoseconds waited);

/// Deducts time that a call has waited in this process from its remaining times. Messages of other
/// types stay unchanged.
void DeductWait(envelope_t& message, std::chrono::nanoseconds waited);

/// Returns an envelope that contains `body`; the other fields have their defaults.
template <typename Message>
envelope_t MakeEnvelope(Message body) {
  envelope_t result;
  result.message.Set(std::move(body));
  return result;
}

}  // namespace siskinrack::wire

#endif  // SISKINRACK_WIRE_FRAME_H_
