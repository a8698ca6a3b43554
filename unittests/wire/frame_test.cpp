#include "siskinrack/wire/frame.h"

#include <gtest/gtest.h>

#include <random>

namespace siskinrack::wire {
namespace {

std::span<const std::uint8_t> Bytes(const std::string& frame) {
  return {reinterpret_cast<const std::uint8_t*>(frame.data()), frame.size()};
}

std::string CallFrame() {
  call_request_t call;
  call.service = "counter";
  call.body = {1, 2, 3};
  call.headers.push_back(std::make_unique<header_field_t>());
  call.headers.back()->name = "x-request-id";
  return EncodeFrame(MakeEnvelope(std::move(call)));
}

TEST(Frame, SurvivesEncodingAndDecoding) {
  const std::string frame = CallFrame();
  const auto length = DecodeLength(Bytes(frame).first<kLengthPrefixBytes>());
  ASSERT_EQ(length, frame.size() - kLengthPrefixBytes);
  const auto message = DecodeEnvelope(Bytes(frame).subspan(kLengthPrefixBytes));
  ASSERT_NE(message, nullptr);
  EXPECT_EQ(message->message.Ascall_request()->service, "counter");
}

// Guards against a length that makes the receiver allocate without bound.
TEST(Frame, LengthOverTheLimitIsRefused) {
  const std::array<std::uint8_t, kLengthPrefixBytes> huge = {0xff, 0xff, 0xff, 0xff};
  const std::array<std::uint8_t, kLengthPrefixBytes> zero = {};
  EXPECT_FALSE(DecodeLength(huge).has_value());
  EXPECT_FALSE(DecodeLength(zero).has_value());
}

// Guards against reading outside the buffer when a peer sends a damaged frame. The seed is fixed so
// that every run has the same verdict.
TEST(Frame, DamagedFramesNeverCrash) {
  const std::string frame = CallFrame();
  std::mt19937 random(20261204);
  for (int round = 0; round < 20'000; ++round) {
    std::string damaged = frame.substr(kLengthPrefixBytes);
    const std::size_t flips = 1 + random() % 4;
    for (std::size_t i = 0; i < flips; ++i) {
      damaged[random() % damaged.size()] = static_cast<char>(random());
    }
    damaged.resize(1 + random() % damaged.size());
    const auto message = DecodeEnvelope(Bytes(damaged));
    if (message != nullptr && message->message.Ascall_request() != nullptr) {
      EXPECT_LE(message->message.Ascall_request()->service.size(), frame.size());
    }
  }
}

}  // namespace
}  // namespace siskinrack::wire
