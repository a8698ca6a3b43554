#include "request_headers.h"

#include <algorithm>
#include <atomic>
#include <boost/beast/core/string.hpp>
#include <charconv>
#include <ctime>
#include <limits>

#include "outcome.h"

namespace siskinrack::node {
namespace {

using std::chrono::milliseconds;

/// Parses all of `text` as a decimal number. Returns std::nullopt for other text or a number
/// out of range.
template <typename Number>
std::optional<Number> ParseNumber(std::string_view text) {
  Number value{};
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc{} || end != text.data() + text.size()) return std::nullopt;
  return value;
}

/// Returns true if `text` is not empty, not too long and consists of visible ASCII characters.
bool IsValidHeaderValue(std::string_view text) {
  return !text.empty() && text.size() <= kMaxHeaderValueBytes &&
         std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c < '\x7f'; });
}

/// Parses header fields of one request and stores the first problem found.
class header_parser {
 public:
  header_parser(const net::http_request& request, std::string& problem)
      : request_(request), problem_(problem) {}

  /// Returns the value of a text field, empty if the field is missing.
  std::string_view ReadText(std::string_view name) {
    const auto value = FindSingleValue(name);
    if (!value) return {};
    if (!IsValidHeaderValue(*value)) ReportMalformed(name);
    return *value;
  }

  /// Returns the value of a field of any form, empty if the field is missing.
  std::string_view ReadSingle(std::string_view name) { return FindSingleValue(name).value_or(""); }

  /// Returns the value of a numeric field, std::nullopt if the field is missing.
  template <typename Number>
  std::optional<Number> ReadNumber(std::string_view name) {
    const auto text = FindSingleValue(name);
    if (!text) return std::nullopt;
    const auto value = ParseNumber<Number>(*text);
    if (!value) ReportMalformed(name);
    return value;
  }

 private:
  /// Returns the value of a field, std::nullopt if it is missing. A repeated field is malformed.
  std::optional<std::string_view> FindSingleValue(std::string_view name) {
    std::optional<std::string_view> value;
    for (const net::http_field& field : request_.fields) {
      if (field.name.size() != name.size() || !boost::beast::iequals(field.name, name)) continue;
      if (value) ReportMalformed(name);
      value = field.value;
    }
    return value;
  }

  void ReportMalformed(std::string_view name) {
    if (problem_.empty()) problem_ = "malformed header " + std::string(name);
  }

  const net::http_request& request_;
  std::string& problem_;
};

}  // namespace

request_headers ParseRequestHeaders(const net::http_request& request, std::string& problem) {
  header_parser parser(request, problem);
  request_headers headers;
  headers.rank = parser.ReadText(kRankField);
  headers.caller = parser.ReadText(kCallerField);
  headers.deadline_ms = parser.ReadNumber<std::uint32_t>(kDeadlineField);
  const auto attempt = parser.ReadNumber<std::uint8_t>(kAttemptField);
  headers.attempt = attempt.value_or(0);
  headers.is_first_attempt = attempt == 0;
  headers.request_id = parser.ReadSingle(kRequestIdField);
  headers.idempotency_key = parser.ReadText(kIdempotencyKeyField);
  return headers;
}

std::string MakeRequestId() {
  static std::atomic<std::uint64_t> next = 0;
  return "node-" + std::to_string(++next);
}

net::exchange_options MakeExchangeOptions(std::string_view request_id) {
  return {.request_id = request_id, .id_field = kRequestIdField};
}

bool ReportsNotRun(const net::http_response& response) {
  return response.status >= kStatusBadRequest &&
         net::FindField(response.fields, kOutcomeField) == kNotRunOutcome;
}

std::uint32_t ParseRetryAfterMs(const net::http_response& response,
                                std::chrono::system_clock::time_point now) {
  constexpr std::uint64_t kMaxMs = std::numeric_limits<std::uint32_t>::max();
  constexpr std::uint64_t kMsPerSecond = 1000;
  const std::string text(net::FindField(response.fields, kRetryAfterField));
  if (text.empty()) return 0;
  if (const auto seconds = ParseNumber<std::uint32_t>(text)) {
    return static_cast<std::uint32_t>(std::min(kMaxMs, *seconds * kMsPerSecond));
  }
  std::tm date{};
  // IMF-fixdate, the preferred date format of RFC 9110, section 5.6.7.
  if (strptime(text.c_str(), "%a, %d %b %Y %H:%M:%S GMT", &date) == nullptr) return 0;
  const auto delay = std::chrono::system_clock::from_time_t(timegm(&date)) - now;
  const auto delay_ms = std::chrono::ceil<milliseconds>(delay).count();
  return static_cast<std::uint32_t>(
      std::clamp<std::int64_t>(delay_ms, 0, static_cast<std::int64_t>(kMaxMs)));
}

}  // namespace siskinrack::node
