#ifndef SISKINRACK_LIB_NODE_REQUEST_HEADERS_H_
#define SISKINRACK_LIB_NODE_REQUEST_HEADERS_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "siskinrack/net/http.h"

namespace siskinrack::node {

/// Largest remaining time of a request; longer ones are cut to it.
inline constexpr std::uint32_t kMaxDeadlineMs = 30'000;
/// Longest rank, caller or key that a caller may send.
inline constexpr std::size_t kMaxHeaderValueBytes = 128;

/// What a caller says in the fields of section 7.1 of the design page. The views point into the
/// request.
struct request_headers {
  std::string_view rank;
  std::string_view caller;
  std::string_view request_id;
  std::string_view idempotency_key;
  std::optional<std::uint32_t> deadline_ms;
  std::uint8_t attempt = 0;
  /// The caller states with attempt 0 that it sends this request for the first time.
  bool first_copy = false;
};

/// Reads the fields; a malformed one sets `problem` to a text for the caller.
request_headers ReadRequestHeaders(const net::http_request& request, std::string& problem);

/// Pause that a response asks for in Retry-After, as seconds or as a date; zero if there is none.
std::uint32_t RetryAfterMs(const net::http_response& response,
                           std::chrono::system_clock::time_point now);

}  // namespace siskinrack::node

#endif  // SISKINRACK_LIB_NODE_REQUEST_HEADERS_H_
