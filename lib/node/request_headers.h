#ifndef SISKINRACK_LIB_NODE_REQUEST_HEADERS_H_
#define SISKINRACK_LIB_NODE_REQUEST_HEADERS_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "siskinrack/net/http.h"
#include "siskinrack/net/http_client.h"

namespace siskinrack::node {

/// Maximum deadline of a request; a larger one is reduced to it.
inline constexpr std::uint32_t kMaxDeadlineMs = 30'000;
/// Maximum length of the rank, caller and idempotency key headers.
inline constexpr std::size_t kMaxHeaderValueBytes = 128;

/// Represents the request headers that callers set (docs/design.md, section 7.1). The views refer
/// to the parsed request, which must outlive them.
struct request_headers {
  std::string_view rank;
  std::string_view caller;
  std::string_view request_id;
  std::string_view idempotency_key;
  std::optional<std::uint32_t> deadline_ms;
  std::uint8_t attempt = 0;
  /// True if the caller sent attempt 0 explicitly, which asserts that no earlier copy of this
  /// request was sent.
  bool is_first_attempt = false;
};

/// Parses the request headers. If any is malformed, sets `problem` to an error text for the caller
/// that names the first one; the result must not be used then.
request_headers ParseRequestHeaders(const net::http_request& request, std::string& problem);

/// Returns an id for a request that has none, unique in this process.
std::string MakeRequestId();

/// Returns options for an exchange with the upstream, which may repeat the id of the request in its
/// response. If it does, another response is not taken for the response to this request; if it does
/// not, every request gets its own connection. `request_id` must be valid during the exchange.
net::exchange_options MakeExchangeOptions(std::string_view request_id);

/// Returns true if the upstream refused the request and reports in the outcome field that it did
/// not run it.
bool ReportsNotRun(const net::http_response& response);

/// Returns the delay in milliseconds that the Retry-After header of a response specifies, in
/// seconds or as a date. Returns zero if the header is missing or malformed, or if the date is
/// past.
std::uint32_t ParseRetryAfterMs(const net::http_response& response,
                                std::chrono::system_clock::time_point now);

}  // namespace siskinrack::node

#endif  // SISKINRACK_LIB_NODE_REQUEST_HEADERS_H_
