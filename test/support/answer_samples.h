#ifndef SISKINRACK_TEST_SUPPORT_ANSWER_SAMPLES_H_
#define SISKINRACK_TEST_SUPPORT_ANSWER_SAMPLES_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "scripted_upstream.h"

namespace siskinrack::test {

/// Pairs an answer with a name for test output.
struct answer_sample {
  std::string name;
  scripted_answer answer;
};

/// Answers that break off before they are whole, framed in every way, on connections that are
/// closed or reset.
std::vector<answer_sample> MakeTruncatedAnswers();
/// Answers whose status HTTP does not allow, or does not allow for a request like those of a node.
std::vector<answer_sample> MakeForbiddenStatuses();
/// Answers with a malformed line in the head, in the head of an interim answer or among the
/// trailers.
std::vector<answer_sample> MakeMalformedFields();
/// Answers whose length is stated in a way that HTTP does not allow or that nodes can't read.
std::vector<answer_sample> MakeMalformedFramings();
/// Answers with status 200 and the body kSampleBody, or with another status between 200 and 599 and
/// no body.
std::vector<answer_sample> MakeValidAnswers();

inline constexpr std::string_view kSampleBody = "0123456789";

/// Describes one exchange in which an upstream sends a sample.
struct exchange_sample {
  /// Text for test output.
  std::string description;
  scripted_answer answer;
  /// True if the connection to the upstream has been used for another request before.
  bool reuse = false;
  std::size_t upload_bytes = 0;
};

/// Longer than what the sockets of both sides take of an upload that isn't read.
inline constexpr std::size_t kLongUpload = 4U << 20U;

/// Returns each sample on a new and on a used connection, in response to a request without a body,
/// to one with a short body and, before the body is read, to one with a body of kLongUpload bytes.
std::vector<exchange_sample> MakeExchanges(const std::vector<answer_sample>& samples);

/// Exchanges in which the upstream sends a part of an answer without a length and then, after
/// different times, resets the connection while it receives a long body.
std::vector<exchange_sample> MakeResetsDuringUploads();
/// Exchanges in which the upstream sends an answer without a length and ends it in order while it
/// receives a long body. The body of the answer is kSampleBody.
std::vector<exchange_sample> MakeEndsDuringUploads();

}  // namespace siskinrack::test

#endif  // SISKINRACK_TEST_SUPPORT_ANSWER_SAMPLES_H_
