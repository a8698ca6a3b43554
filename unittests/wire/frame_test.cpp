#include "siskinrack/wire/frame.h"

#include <gtest/gtest.h>

#include <random>

namespace siskinrack::wire {
namespace {

std::span<const std::uint8_t> ViewBytes(const std::string& frame) {
  return {reinterpret_cast<const std::uint8_t*>(frame.data()), frame.size()};
}

std::string EncodeCallFrame() {
  call_request_t call;
  call.service = "counter";
  call.body = {1, 2, 3};
  call.headers.push_back(std::make_unique<header_field_t>());
  call.headers.back()->name = "x-request-id";
  return EncodeFrame(MakeEnvelope(std::move(call)));
}

TEST(Frame, DecodingRestoresEncodedEnvelope) {
  const std::string frame = EncodeCallFrame();
  const auto length = DecodeLength(ViewBytes(frame).first<kLengthPrefixBytes>());
  ASSERT_EQ(length, frame.size() - kLengthPrefixBytes);
  const auto message = DecodeEnvelope(ViewBytes(frame).subspan(kLengthPrefixBytes));
  ASSERT_NE(message, nullptr);
  EXPECT_EQ(message->message.Ascall_request()->service, "counter");
}

// Guards against a length prefix that makes the receiver allocate an unbounded amount of memory.
TEST(Frame, LengthOutsideTheLimitsIsRejected) {
  const std::array<std::uint8_t, kLengthPrefixBytes> too_large = {0xff, 0xff, 0xff, 0xff};
  const std::array<std::uint8_t, kLengthPrefixBytes> zero = {};
  EXPECT_FALSE(DecodeLength(too_large).has_value());
  EXPECT_FALSE(DecodeLength(zero).has_value());
}

// Guards against out-of-bounds reads when a peer sends a corrupted frame. The seed is fixed, so
// that all runs have the same result.
TEST(Frame, CorruptedFramesNeverCrash) {
  const std::string frame = EncodeCallFrame();
  std::mt19937 random(20261204);
  for (int round = 0; round < 20'000; ++round) {
    std::string corrupted = frame.substr(kLengthPrefixBytes);
    const std::size_t changed_bytes = 1 + random() % 4;
    for (std::size_t i = 0; i < changed_bytes; ++i) {
      corrupted[random() % corrupted.size()] = static_cast<char>(random());
    }
    corrupted.resize(1 + random() % corrupted.size());
    const auto message = DecodeEnvelope(ViewBytes(corrupted));
    if (message != nullptr && message->message.Ascall_request() != nullptr) {
      EXPECT_LE(message->message.Ascall_request()->service.size(), frame.size());
    }
  }
}

}  // namespace
}  // namespace siskinrack::wire
