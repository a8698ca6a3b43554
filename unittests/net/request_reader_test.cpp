#include "../../lib/net/request_reader.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <random>
#include <sstream>

#include "../property/mutator.h"

namespace siskinrack::net::detail {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;

constexpr http_limits kLimits{.header_bytes = 1'000, .body_bytes = 20'000};
constexpr memory_limits kMemory{.total = 40'000, .reserve = 10'000, .small_charge = 2'000};
constexpr std::string_view kChunkedHead =
    "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n";

void Append(beast::flat_buffer& buffer, std::string_view bytes) {
  asio::buffer_copy(buffer.prepare(bytes.size()), asio::buffer(bytes.data(), bytes.size()));
  buffer.commit(bytes.size());
}

/// Passes `bytes` to the reader in parts whose sizes `draw_size` returns, as a connection does,
/// until it waits for no more. Returns the largest number of bytes that waited in the buffer.
template <typename DrawSize>
std::size_t Feed(request_reader& reader, beast::flat_buffer& buffer, std::string_view bytes,
                 DrawSize draw_size) {
  std::size_t largest = buffer.size();
  reader.Read(buffer);
  while (!bytes.empty() &&
         (reader.state() == read_state::kHeader || reader.state() == read_state::kBody)) {
    const std::size_t size = std::clamp<std::size_t>(
        draw_size(), 1, std::min(bytes.size(), request_reader::kReadChunkBytes));
    Append(buffer, bytes.substr(0, size));
    largest = std::max(largest, buffer.size());
    bytes.remove_prefix(size);
    reader.Read(buffer);
  }
  return largest;
}

std::size_t FeedAll(request_reader& reader, beast::flat_buffer& buffer, std::string_view bytes) {
  return Feed(reader, buffer, bytes, [] { return request_reader::kReadChunkBytes; });
}

/// Returns `bytes` as a chunked body whose chunks have up to `max_chunk` bytes.
template <typename Random>
std::string EncodeChunks(std::string_view bytes, std::size_t max_chunk, Random& random) {
  std::ostringstream text;
  while (!bytes.empty()) {
    const std::size_t size = std::min<std::size_t>(bytes.size(), 1 + random() % max_chunk);
    text << std::hex << size << (random() % 4 == 0 ? ";e=1" : "") << "\r\n"
         << bytes.substr(0, size) << "\r\n";
    bytes.remove_prefix(size);
  }
  text << "0\r\n" << (random() % 2 == 0 ? "X-Trailer: t\r\n" : "") << "\r\n";
  return text.str();
}

TEST(RequestReaderTest, ReadsOneRequestAndLeavesTheNext) {
  memory_budget memory(kMemory);
  request_reader reader(kLimits, &memory);
  beast::flat_buffer buffer;
  FeedAll(reader, buffer,
          "POST /a?b HTTP/1.1\r\nHost: shop\r\nA: 1\r\nContent-Length: 3\r\n\r\nabcGET /next");
  ASSERT_EQ(reader.state(), read_state::kDone) << reader.error();
  EXPECT_EQ(buffer.size(), 9U);
  EXPECT_TRUE(reader.keep_alive());
  EXPECT_EQ(memory.used(memory_use::kRequestBody), 3U);
  const http_request request = reader.Release();
  EXPECT_EQ(request.method, "POST");
  EXPECT_EQ(request.target, "/a?b");
  EXPECT_EQ(request.host, "shop");
  EXPECT_EQ(FindField(request.fields, "A"), "1");
  EXPECT_EQ(request.body, "abc");
  { const memory_charge charge = reader.ReleaseCharge(); }
  EXPECT_EQ(memory.used(), 0U);
}

// Guards against fields that a client sets after the checks of the header section, such as the name
// of the caller.
TEST(RequestReaderTest, TrailerFieldsAreDropped) {
  request_reader reader(kLimits, nullptr);
  beast::flat_buffer buffer;
  FeedAll(reader, buffer, std::string(kChunkedHead) + "1\r\nx\r\n0\r\nCaller: forged\r\n\r\n");
  ASSERT_EQ(reader.state(), read_state::kDone) << reader.error();
  const http_request request = reader.Release();
  EXPECT_EQ(request.body, "x");
  EXPECT_EQ(FindField(request.fields, "Caller"), "");
}

// Guards against framing that is buffered without a bound.
TEST(RequestReaderTest, FramingWithoutEndIsRefused) {
  std::string extended_chunks;
  for (int i = 0; i < 1'000; ++i) extended_chunks += "1;" + std::string(400, 'e') + "\r\nx\r\n";
  std::string trailers;
  for (int i = 0; i < 10'000; ++i) trailers += "A: b\r\n";
  for (const std::string& body : {"1;" + std::string(100'000, 'e'), extended_chunks,
                                  "0\r\n" + trailers, std::string(100'000, '0')}) {
    memory_budget memory(kMemory);
    request_reader reader(kLimits, &memory);
    beast::flat_buffer buffer;
    const std::size_t largest = FeedAll(reader, buffer, std::string(kChunkedHead) + body);
    EXPECT_EQ(reader.state(), read_state::kFailed) << body.substr(0, 20);
    EXPECT_GE(reader.status(), 400U) << body.substr(0, 20);
    EXPECT_LE(largest, reader.max_buffered_bytes()) << body.substr(0, 20);
    EXPECT_EQ(memory.used(), 0U) << body.substr(0, 20);
  }
}

// Guards against refusing the smallest chunks, which the protocol allows.
TEST(RequestReaderTest, ChunksOfOneByteAreAccepted) {
  std::string bytes(kChunkedHead);
  for (std::size_t i = 0; i < kLimits.body_bytes; ++i) bytes += "1\r\nx\r\n";
  request_reader reader(kLimits, nullptr);
  beast::flat_buffer buffer;
  FeedAll(reader, buffer, bytes + "0\r\n\r\n");
  ASSERT_EQ(reader.state(), read_state::kDone) << reader.error();
  EXPECT_EQ(reader.body_bytes(), kLimits.body_bytes);
}

TEST(RequestReaderTest, BodyOverTheLimitIsRefusedWith413) {
  for (const std::string& request :
       {std::string("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 20001\r\n\r\n"),
        std::string(kChunkedHead) + "4e21\r\n" + std::string(20'001, 'x') + "\r\n"}) {
    memory_budget memory(kMemory);
    request_reader reader(kLimits, &memory);
    beast::flat_buffer buffer;
    FeedAll(reader, buffer, request);
    EXPECT_EQ(reader.state(), read_state::kFailed);
    EXPECT_EQ(reader.status(), 413U);
    EXPECT_EQ(memory.used(), 0U);
  }
}

// Guards against an announced body that is received although it can't fit.
TEST(RequestReaderTest, AnnouncedBodyWaitsForMemory) {
  memory_budget memory(kMemory);
  memory_charge other(&memory, memory_use::kFrame);
  ASSERT_TRUE(other.Resize(20'000));
  request_reader reader(kLimits, &memory);
  beast::flat_buffer buffer;
  FeedAll(reader, buffer, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 15000\r\n\r\n");
  EXPECT_EQ(reader.state(), read_state::kMemory);
  EXPECT_FALSE(reader.is_small());
  other.Release();
  EXPECT_EQ(reader.Read(buffer), read_state::kBody);
  FeedAll(reader, buffer, std::string(15'000, 'x'));
  EXPECT_EQ(reader.state(), read_state::kDone);
}

// Guards against large bodies that take the memory for ordinary requests, and against a charge that
// outlives a refused request.
TEST(RequestReaderTest, LargeBodyIsRefusedBeforeTheReserve) {
  memory_budget memory(kMemory);
  memory_charge other(&memory, memory_use::kFrame);
  ASSERT_TRUE(other.Resize(25'000));
  request_reader large(kLimits, &memory);
  beast::flat_buffer buffer;
  FeedAll(large, buffer, std::string(kChunkedHead) + "4000\r\n" + std::string(10'000, 'x'));
  ASSERT_EQ(large.state(), read_state::kMemory);
  EXPECT_LE(memory.used(), kMemory.total - kMemory.reserve);
  request_reader small(kLimits, &memory);
  beast::flat_buffer small_buffer;
  FeedAll(small, small_buffer, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\norder");
  EXPECT_EQ(small.state(), read_state::kDone);
  large.RefuseForMemory();
  EXPECT_EQ(large.state(), read_state::kFailed);
  EXPECT_EQ(large.status(), 503U);
  EXPECT_EQ(memory.used(), 25'000U + 5U);
}

// Guards against a request that depends on how its bytes arrive, and against memory that is charged
// wrongly for any arrival, refusal or end of the connection.
TEST(RequestReaderTest, SplitsChangeNothingAndChargesAreGivenBack) {
  constexpr unsigned kSeeds = 400;
  for (unsigned seed = 1; seed <= kSeeds; ++seed) {
    std::mt19937 random(seed);
    memory_budget memory(kMemory);
    std::vector<memory_charge> charges;
    // Several requests at once, some of which end before they are complete.
    for (int i = 0; i < 4; ++i) {
      const std::string body(random() % kLimits.body_bytes, 'b');
      std::string bytes =
          random() % 2 == 0
              ? "POST /s HTTP/1.1\r\nHost: x\r\nContent-Length: " + std::to_string(body.size()) +
                    "\r\n\r\n" + body
              : std::string(kChunkedHead) + EncodeChunks(body, 1 + random() % 3'000, random);
      const bool cut = random() % 4 == 0;
      if (cut) bytes.resize(random() % bytes.size());
      request_reader reader(kLimits, &memory);
      beast::flat_buffer buffer;
      const std::size_t most = 1 + random() % 5'000;
      const std::size_t largest = Feed(reader, buffer, bytes, [&] { return 1 + random() % most; });
      ASSERT_LE(largest, reader.max_buffered_bytes()) << seed;
      ASSERT_LE(memory.used(), kMemory.total) << seed;
      if (reader.state() == read_state::kMemory) reader.RefuseForMemory();
      if (reader.state() != read_state::kDone) {
        ASSERT_TRUE(cut || reader.status() == 503U) << seed << ": " << reader.error();
        continue;
      }
      ASSERT_EQ(reader.Release().body, body) << seed;
      charges.push_back(reader.ReleaseCharge());
      ASSERT_EQ(charges.back().bytes(), body.size()) << seed;
    }
    std::size_t sum = 0;
    for (const memory_charge& charge : charges) sum += charge.bytes();
    ASSERT_EQ(memory.used(), sum) << seed;
    charges.clear();
    ASSERT_EQ(memory.used(), 0U) << seed;
  }
}

std::vector<std::string> ReadCorpus() {
  std::vector<std::string> requests;
  for (const auto& entry : std::filesystem::directory_iterator(SISKINRACK_REQUEST_CORPUS)) {
    std::ifstream in(entry.path(), std::ios::binary);
    std::ostringstream text;
    text << in.rdbuf();
    requests.push_back(text.str());
  }
  std::sort(requests.begin(), requests.end());
  return requests;
}

// Guards, with the address sanitizer, against damaged requests that are read beyond their end, and
// against ones that exceed the bounds or keep a charge.
TEST(RequestReaderTest, DamagedRequestsStayWithinTheBounds) {
  constexpr int kVariants = 3'000;
  const std::vector<std::string> corpus = ReadCorpus();
  ASSERT_GE(corpus.size(), 6U);
  test::mutator input_mutator(11, {"\r\n", "\r\n\r\n", "0\r\n", "ffffffffffffffff\r\n", ";",
                                   "Content-Length: 7\r\n", "Transfer-Encoding: chunked\r\n", ": ",
                                   std::string(1, '\0'), "Expect: 100-continue\r\n"});
  int accepted = 0;
  int refused = 0;
  for (const std::string& request : corpus) {
    for (int i = 0; i < kVariants; ++i) {
      const std::string bytes = i == 0 ? request : input_mutator.Mutate(request);
      memory_budget memory(kMemory);
      {
        request_reader reader(kLimits, &memory);
        beast::flat_buffer buffer;
        const std::size_t most = 1 + input_mutator.RandomBelow(200);
        const std::size_t largest =
            Feed(reader, buffer, bytes, [&] { return 1 + input_mutator.RandomBelow(most); });
        ASSERT_LE(largest, reader.max_buffered_bytes());
        ASSERT_LE(reader.body_bytes(), kLimits.body_bytes);
        ASSERT_LE(memory.used(), kMemory.total);
        if (reader.state() == read_state::kDone) ++accepted;
        if (reader.state() == read_state::kFailed) {
          ++refused;
          ASSERT_GE(reader.status(), 400U);
          ASSERT_FALSE(reader.error().empty());
        }
      }
      ASSERT_EQ(memory.used(), 0U);
    }
  }
  EXPECT_GT(accepted, 0);
  EXPECT_GT(refused, 0);
}

}  // namespace
}  // namespace siskinrack::net::detail
