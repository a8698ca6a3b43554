#include "../../lib/net/response_reader.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>

#include "../property/mutator.h"
#include "answer_samples.h"

namespace siskinrack::net::detail {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
using test::answer_sample;
using test::stream_ending;

/// Response as the reader received it.
struct read_result {
  /// Text of the failure; empty if the response is whole.
  std::string error;
  unsigned status = 0;
  std::string body;

  bool operator==(const read_result&) const = default;
};

/// Passes `bytes` and their end to a reader, in parts whose sizes `draw_size` returns, and returns
/// the first response that is not an interim one.
template <typename DrawSize>
read_result ReadAll(std::string_view bytes, bool in_order, DrawSize draw_size) {
  beast::flat_buffer buffer;
  while (true) {
    response_reader reader(/*answers_head=*/false);
    reader.Read(buffer);
    while (!reader.done() && reader.error().empty()) {
      if (bytes.empty()) {
        reader.ReadEnd(in_order);
        break;
      }
      const std::size_t size = std::clamp<std::size_t>(draw_size(), 1, bytes.size());
      buffer.commit(asio::buffer_copy(buffer.prepare(size), asio::buffer(bytes.data(), size)));
      bytes.remove_prefix(size);
      reader.Read(buffer);
    }
    if (!reader.error().empty()) return {std::string(reader.error())};
    if (reader.is_interim()) continue;
    const http_response response = reader.Release();
    return {{}, response.status, response.body};
  }
}

/// Reads a sample in one part, byte by byte and in parts of random sizes, and expects the same
/// result each time.
read_result ReadSample(const answer_sample& sample) {
  std::mt19937 random(7);
  // The connection of a sample that is kept open ends in order at some time.
  const stream_ending ending = sample.answer.ending;
  const bool in_order = ending == stream_ending::kKeepOpen || ending == stream_ending::kInOrder;
  const std::string& bytes = sample.answer.bytes;
  read_result result = ReadAll(bytes, in_order, [&] { return bytes.size(); });
  const auto expect_same = [&](const read_result& other) {
    EXPECT_EQ(result.error.empty(), other.error.empty())
        << sample.name << ": " << result.error << " or " << other.error;
    EXPECT_EQ(result.status, other.status) << sample.name;
    EXPECT_EQ(result.body, other.body) << sample.name;
  };
  expect_same(ReadAll(bytes, in_order, [] { return 1; }));
  for (int i = 0; i < 20; ++i) {
    expect_same(ReadAll(bytes, in_order, [&] { return 1 + random() % 40; }));
  }
  return result;
}

// Guards against a verdict that depends on how the network divides the bytes.
TEST(ResponseReaderTest, BrokenAnswersFailInAnyParts) {
  for (const auto& samples : {test::MakeTruncatedAnswers(), test::MakeForbiddenStatuses(),
                              test::MakeMalformedFields(), test::MakeMalformedFramings()}) {
    for (const answer_sample& sample : samples) {
      const read_result result = ReadSample(sample);
      EXPECT_FALSE(result.error.empty()) << sample.name << ": " << result.status << result.body;
    }
  }
}

// Guards against checks that reject a valid response because of how the network divides its bytes.
TEST(ResponseReaderTest, ValidAnswersAreReadInAnyParts) {
  for (const answer_sample& sample : test::MakeValidAnswers()) {
    const read_result result = ReadSample(sample);
    EXPECT_EQ(result.error, "") << sample.name;
    EXPECT_EQ(result.body, result.status == 200 ? test::kSampleBody : "") << sample.name;
  }
}

// Guards against a part of a body that counts as whole after a failure, with or without a length.
TEST(ResponseReaderTest, FailedConnectionCompletesNoResponse) {
  for (const std::string fields : {"", "Connection: close\r\n", "Content-Length: 4\r\n"}) {
    const std::string bytes = "HTTP/1.1 200 OK\r\n" + fields + "\r\nabc";
    EXPECT_NE(ReadAll(bytes, /*in_order=*/false, [] { return 8; }).error, "") << fields;
  }
}

// Guards against crashes, undefined behaviour and statuses outside the range of HTTP for any bytes.
TEST(ResponseReaderTest, MutatedAnswersHaveAStatusOrAnError) {
  test::mutator input_mutator(3, {"\r\n", "\r\n\r\n", "0\r\n", "HTTP/1.1 ", "000", " ", ":",
                                  "Content-Length: 1\r\n", "Transfer-Encoding: chunked\r\n"});
  std::vector<answer_sample> samples = test::MakeValidAnswers();
  for (const auto& broken : {test::MakeMalformedFields(), test::MakeMalformedFramings()}) {
    samples.insert(samples.end(), broken.begin(), broken.end());
  }
  int whole = 0;
  constexpr int kMutations = 20'000;
  for (int i = 0; i < kMutations; ++i) {
    const answer_sample& sample = samples[input_mutator.RandomBelow(samples.size())];
    const bool in_order = input_mutator.RandomBelow(2) == 0;
    const read_result result = ReadAll(input_mutator.Mutate(sample.answer.bytes), in_order,
                                       [&] { return 1 + input_mutator.RandomBelow(200); });
    if (!result.error.empty()) continue;
    ++whole;
    EXPECT_GE(result.status, 200U);
    EXPECT_LE(result.status, 599U);
  }
  // Otherwise the test would show little about responses that are accepted.
  EXPECT_GT(whole, kMutations / 100);
}

}  // namespace
}  // namespace siskinrack::net::detail
