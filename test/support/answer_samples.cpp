#include "answer_samples.h"

namespace siskinrack::test {
namespace {

const std::string kEnd = "\r\n";
const std::string kBody(kSampleBody);
const std::string kLength = "Content-Length: 10\r\n";
const std::string kChunked = "Transfer-Encoding: chunked\r\n";
const std::string kChunkedBody = "4\r\n0123\r\n6\r\n456789\r\n0\r\n";
const std::string kInterim = "HTTP/1.1 103 Early Hints\r\nLink: a\r\n";

/// Returns an answer with further fields, the end of the head and `body`.
std::string MakeAnswer(const std::string& fields, const std::string& body = kBody) {
  return MakeAnswerHead() + fields + kEnd + body;
}

answer_sample InOrder(std::string name, std::string bytes) {
  return {std::move(name), {std::move(bytes), stream_ending::kInOrder}};
}

/// Returns exchanges in which an answer without a length is sent during a long upload, with each of
/// `endings` and different pauses.
std::vector<exchange_sample> MakeUploads(const std::vector<stream_ending>& endings) {
  constexpr std::size_t kUploads[] = {700'000, kLongUpload};
  constexpr int kPausesMs[] = {0, 5, 60};
  std::vector<exchange_sample> exchanges;
  for (const std::size_t bytes : kUploads) {
    for (const int pause_ms : kPausesMs) {
      for (const stream_ending ending : endings) {
        for (const bool reuse : {false, true}) {
          exchanges.push_back(
              {std::to_string(bytes) + " bytes, " + std::to_string(pause_ms) + " ms, ending " +
                   std::to_string(static_cast<int>(ending)) + (reuse ? ", used" : ", new"),
               {MakeAnswer({}), ending, std::chrono::milliseconds(pause_ms), /*early=*/true},
               reuse,
               bytes});
        }
      }
    }
  }
  return exchanges;
}

}  // namespace

std::vector<exchange_sample> MakeExchanges(const std::vector<answer_sample>& samples) {
  constexpr std::size_t kUploads[] = {0, 30, kLongUpload};
  std::vector<exchange_sample> exchanges;
  for (const answer_sample& sample : samples) {
    for (const bool reuse : {false, true}) {
      for (const std::size_t bytes : kUploads) {
        exchanges.push_back(
            {sample.name + (reuse ? ", used, " : ", new, ") + std::to_string(bytes) + " bytes",
             sample.answer, reuse, bytes});
        exchanges.back().answer.early = bytes == kLongUpload;
      }
    }
  }
  return exchanges;
}

std::vector<exchange_sample> MakeResetsDuringUploads() {
  return MakeUploads({stream_ending::kClose, stream_ending::kReset});
}

std::vector<exchange_sample> MakeEndsDuringUploads() {
  return MakeUploads({stream_ending::kInOrder, stream_ending::kInOrderThenReset});
}

std::vector<answer_sample> MakeTruncatedAnswers() {
  std::vector<answer_sample> samples;
  const std::string head = MakeAnswer({}, {});
  for (const auto& [name, ending] : {std::pair("in_order", stream_ending::kInOrder),
                                     std::pair("reset", stream_ending::kReset)}) {
    const auto add = [&, end = ending, suffix = std::string("_") + name](const std::string& base,
                                                                         std::string bytes) {
      samples.push_back({base + suffix, {std::move(bytes), end}});
    };
    add("nothing", {});
    add("status_line", "HTTP/1.1 200 O");
    add("head", MakeAnswerHead());
    add("interim_only", kInterim + kEnd);
    add("interim_head", kInterim);
    add("length", MakeAnswer(kLength, "012"));
    add("chunk", MakeAnswer(kChunked, "a\r\n012"));
    add("last_chunk", MakeAnswer(kChunked, "a\r\n0123456789\r\n"));
    add("last_line", MakeAnswer(kChunked, kChunkedBody));
    add("trailer", MakeAnswer(kChunked, kChunkedBody + "A: b\r\n"));
  }
  samples.push_back({"no_length_reset", {head + "012", stream_ending::kReset}});
  samples.push_back({"no_length_no_body_reset", {head, stream_ending::kReset}});
  samples.push_back({"no_length_http_1_0_reset",
                     {MakeAnswerHead("HTTP/1.0 200 OK") + kEnd + "012", stream_ending::kReset}});
  return samples;
}

std::vector<answer_sample> MakeForbiddenStatuses() {
  std::vector<answer_sample> samples;
  const std::string rest = kLength + kEnd + kBody;
  for (const char* status :
       {"000", "001", "099", "101", "600", "999", "0200", "20", "2000", "2x0", "-20", ""}) {
    const std::string line = std::string("HTTP/1.1 ") + status + " Status";
    samples.push_back({std::string("status_") + status, {MakeAnswerHead(line) + rest}});
  }
  samples.push_back(
      {"status_000_before_an_answer", {"HTTP/1.1 000 Status\r\n\r\n" + MakeAnswer(kLength)}});
  samples.push_back(
      {"status_000_without_length",
       {MakeAnswerHead("HTTP/1.1 000 Status") + kEnd + kBody, stream_ending::kInOrder}});
  samples.push_back(
      {"status_101_before_an_answer",
       {"HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: other\r\n\r\n" +
        MakeAnswer(kLength)}});
  return samples;
}

std::vector<answer_sample> MakeMalformedFields() {
  struct line_sample {
    const char* name;
    std::string line;
  };
  const std::vector<line_sample> lines = {
      {"blank_in_name", "A b: c"},
      {"tab_in_name", "A\tb: c"},
      {"blank_before_colon", "A : c"},
      {"blank_before_length", "Content-Length : 3"},
      {"blank_before_name", " A: c"},
      {"tab_before_name", "\tA: c"},
      {"blank_before_coding", " Transfer-Encoding: chunked"},
      {"control_01", "A\x01: c"},
      {"control_00", std::string("A\0b: c", 6)},
      {"control_1f", "A\x1f: c"},
      {"control_7f", "A\x7f: c"},
      {"byte_80", "A\x80: c"},
      {"byte_ff", "A\xff: c"},
      {"separator_in_name", "A(b): c"},
      {"empty_name", ": c"},
      {"no_colon", "A"},
      {"control_in_value", "A: b\x01"},
      {"zero_byte_in_value", std::string("A: b\0c", 6)},
      {"bare_lf", "A: b\nB: c"},
      {"bare_cr", "A: b\rB: c"},
  };
  std::vector<answer_sample> samples;
  for (const auto& [name, line] : lines) {
    const std::string text = line + kEnd;
    const std::string base = name;
    samples.push_back({base, {MakeAnswer(text + kLength)}});
    samples.push_back({base + "_behind_length", {MakeAnswer(kLength + text)}});
    samples.push_back(
        {base + "_first",
         {"HTTP/1.1 200 OK\r\n" + text + std::string(kIdentityFields) + kLength + kEnd + kBody}});
    samples.push_back({base + "_interim", {kInterim + text + kEnd + MakeAnswer(kLength)}});
    // Trailers are dropped, so a folded line may be joined to the one before it.
    if (line[0] == ' ' || line[0] == '\t') continue;
    samples.push_back(
        {base + "_trailer", {MakeAnswer(kChunked, kChunkedBody + "A: b\r\n" + text + kEnd)}});
  }
  samples.push_back(InOrder("blank_before_coding_only",
                            MakeAnswer(" Transfer-Encoding: chunked\r\n", kChunkedBody + kEnd)));
  return samples;
}

std::vector<answer_sample> MakeMalformedFramings() {
  const std::string chunks = kChunkedBody + kEnd;
  const std::string different = "Content-Length: 10\r\nContent-Length: 4\r\n";
  const std::string chunked_1_0 = MakeAnswerHead("HTTP/1.0 200 OK") + kChunked + kEnd + chunks;
  const std::string no_content = MakeAnswerHead("HTTP/1.1 204 No Content");
  return {
      InOrder("coding", MakeAnswer("Transfer-Encoding: gzip\r\n")),
      InOrder("coding_and_chunked", MakeAnswer("Transfer-Encoding: gzip, chunked\r\n", chunks)),
      InOrder("coding_and_chunked_fields",
              MakeAnswer("Transfer-Encoding: gzip\r\n" + kChunked, chunks)),
      InOrder("chunked_twice", MakeAnswer("Transfer-Encoding: chunked, chunked\r\n", chunks)),
      InOrder("chunked_not_last", MakeAnswer("Transfer-Encoding: chunked, gzip\r\n", chunks)),
      InOrder("empty_coding", MakeAnswer("Transfer-Encoding: \r\n")),
      InOrder("chunked_http_1_0", chunked_1_0),
      InOrder("coding_and_length", MakeAnswer("Transfer-Encoding: gzip\r\n" + kLength)),
      InOrder("chunked_and_length", MakeAnswer(kChunked + kLength, chunks)),
      InOrder("length_and_chunked", MakeAnswer(kLength + kChunked, chunks)),
      InOrder("different_lengths", MakeAnswer(different)),
      InOrder("different_length_list", MakeAnswer("Content-Length: 10, 4\r\n")),
      InOrder("signed_length", MakeAnswer("Content-Length: +10\r\n")),
      InOrder("hexadecimal_length", MakeAnswer("Content-Length: 0xa\r\n")),
      InOrder("empty_length", MakeAnswer("Content-Length:\r\n")),
      InOrder("overflowing_length", MakeAnswer("Content-Length: 18446744073709551626\r\n")),
      InOrder("chunk_size", MakeAnswer(kChunked, "x\r\n0123456789\r\n0\r\n\r\n")),
      InOrder("chunk_end", MakeAnswer(kChunked, "4\r\n0123456789\r\n0\r\n\r\n")),
      InOrder("no_content_with_length", no_content + kLength + kEnd + kBody),
      InOrder("no_content_with_chunks", no_content + kChunked + kEnd + chunks),
      InOrder("interim_with_length", kInterim + kLength + kEnd + kBody + MakeAnswer(kLength)),
      InOrder("interim_with_chunks", kInterim + kChunked + kEnd + MakeAnswer(kLength)),
      InOrder("version", MakeAnswerHead("HTTP/2.0 200 OK") + kLength + kEnd + kBody),
      InOrder("no_http", "0123456789\r\n\r\n"),
  };
}

std::vector<answer_sample> MakeValidAnswers() {
  std::vector<answer_sample> samples = {
      {"length", {MakeAnswer(kLength)}},
      // Equal lengths leave no doubt (RFC 9112, 6.3).
      {"repeated_length", {MakeAnswer(kLength + kLength)}},
      {"length_list", {MakeAnswer("Content-Length: 10, 10\r\n")}},
      {"no_content_without_length", {MakeAnswerHead("HTTP/1.1 204 No Content") + kEnd}},
      {"not_modified_with_length", {MakeAnswerHead("HTTP/1.1 304 Not Modified") + kLength + kEnd}},
      {"chunks", {MakeAnswer(kChunked, kChunkedBody + kEnd)}},
      {"trailer", {MakeAnswer(kChunked, kChunkedBody + "A: b\r\n" + kEnd)}},
      {"chunk_extension", {MakeAnswer(kChunked, "a;b=c\r\n0123456789\r\n0\r\n\r\n")}},
      {"interim", {"HTTP/1.1 100 Continue\r\n\r\n" + kInterim + kEnd + MakeAnswer(kLength)}},
      {"value_bytes", {MakeAnswer("A: \t\x80\xff b\t\r\n" + kLength)}},
      {"coding_case", {MakeAnswer("transfer-encoding: Chunked\r\n", kChunkedBody + kEnd)}},
      {"no_length", {MakeAnswer({}), stream_ending::kInOrder}},
      {"no_length_http_1_0",
       {MakeAnswerHead("HTTP/1.0 200 OK") + kEnd + kBody, stream_ending::kInOrder}},
      {"length_then_reset",
       {MakeAnswer("Connection: close\r\n" + kLength), stream_ending::kReset,
        std::chrono::milliseconds(20)}},
  };
  for (const char* status : {"204", "404", "500", "599"}) {
    const std::string line = std::string("HTTP/1.1 ") + status + " Status";
    samples.push_back(
        {std::string("status_") + status, {MakeAnswerHead(line) + "Content-Length: 0\r\n\r\n"}});
  }
  return samples;
}

}  // namespace siskinrack::test
