#ifndef SISKINRACK_WIRE_FRAME_H_
#define SISKINRACK_WIRE_FRAME_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>

#include "siskinrack/wire/siskinrack_generated.h"

namespace siskinrack::wire {

/// Bytes of the little-endian length in front of each frame.
inline constexpr std::size_t kLengthPrefixBytes = 4;
/// Largest frame; holds a full configuration of 1 MB and the largest body that a node takes.
inline constexpr std::size_t kMaxFrameBytes = 24U << 20U;

/// Encodes length and envelope. The envelope must fit into kMaxFrameBytes.
std::string EncodeFrame(const envelope_t& message);

/// Reads the length of a frame; nothing if it is zero or larger than kMaxFrameBytes.
std::optional<std::size_t> DecodeLength(std::span<const std::uint8_t, kLengthPrefixBytes> bytes);

/// Verifies and decodes the bytes behind the length; null if they are not a valid envelope.
std::unique_ptr<envelope_t> DecodeEnvelope(std::span<const std::uint8_t> bytes);

/// Puts `body` into an envelope.
template <typename Message>
envelope_t MakeEnvelope(Message body) {
  envelope_t result;
  result.message.Set(std::move(body));
  return result;
}

}  // namespace siskinrack::wire

#endif  // SISKINRACK_WIRE_FRAME_H_
