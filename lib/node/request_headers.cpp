#include "request_headers.h"

#include <algorithm>
#include <boost/beast/core/string.hpp>
#include <charconv>
#include <ctime>
#include <limits>

#include "outcome.h"

namespace siskinrack::node {
namespace {

using std::chrono::milliseconds;

/// Reads a whole decimal number; nothing for other text or a number out of range.
template <typename Number>
std::optional<Number> ParseNumber(std::string_view text) {
  Number value{};
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc{} || end != text.data() + text.size()) return std::nullopt;
  return value;
}

bool IsVisibleText(std::string_view text) {
  return !text.empty() && text.size() <= kMaxHeaderValueBytes &&
         std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c < '\x7f'; });
}

/// Reads the fields of one request and keeps the first problem.
class header_reader {
 public:
  header_reader(const net::http_request& request, std::string& problem)
      : request_(request), problem_(problem) {}

  std::string_view Text(std::string_view name) {
    const auto value = Only(name);
    if (!value) return {};
    if (!IsVisibleText(*value)) Malformed(name);
    return *value;
  }

  template <typename Number>
  std::optional<Number> Value(std::string_view name) {
    const auto text = Only(name);
    if (!text) return std::nullopt;
    const auto value = ParseNumber<Number>(*text);
    if (!value) Malformed(name);
    return value;
  }

 private:
  /// The value of a field that may stand once; nothing if it's absent.
  std::optional<std::string_view> Only(std::string_view name) {
    std::optional<std::string_view> value;
    for (const net::http_field& field : request_.fields) {
      if (field.name.size() != name.size() || !boost::beast::iequals(field.name, name)) continue;
      if (value) Malformed(name);
      value = field.value;
    }
    return value;
  }

  void Malformed(std::string_view name) {
    if (problem_.empty()) problem_ = "malformed header " + std::string(name);
  }

  const net::http_request& request_;
  std::string& problem_;
};

}  // namespace

request_headers ReadRequestHeaders(const net::http_request& request, std::string& problem) {
  header_reader reader(request, problem);
  request_headers headers;
  headers.rank = reader.Text(kRankField);
  headers.caller = reader.Text(kCallerField);
  headers.deadline_ms = reader.Value<std::uint32_t>(kDeadlineField);
  const auto attempt = reader.Value<std::uint8_t>(kAttemptField);
  headers.attempt = attempt.value_or(0);
  headers.first_copy = attempt == 0;
  headers.request_id = net::FindField(request.fields, kRequestIdField);
  headers.idempotency_key = reader.Text(kIdempotencyKeyField);
  return headers;
}

std::uint32_t RetryAfterMs(const net::http_response& response,
                           std::chrono::system_clock::time_point now) {
  constexpr std::uint64_t kMaxMs = std::numeric_limits<std::uint32_t>::max();
  constexpr std::uint64_t kMsPerSecond = 1000;
  const std::string text(net::FindField(response.fields, kRetryAfterField));
  if (text.empty()) return 0;
  if (const auto seconds = ParseNumber<std::uint32_t>(text)) {
    return static_cast<std::uint32_t>(std::min(kMaxMs, *seconds * kMsPerSecond));
  }
  std::tm date{};
  // RFC 9110, 5.6.7: the preferred form of a date.
  if (strptime(text.c_str(), "%a, %d %b %Y %H:%M:%S GMT", &date) == nullptr) return 0;
  const auto pause = std::chrono::system_clock::from_time_t(timegm(&date)) - now;
  const auto pause_ms = std::chrono::ceil<milliseconds>(pause).count();
  return static_cast<std::uint32_t>(
      std::clamp<std::int64_t>(pause_ms, 0, static_cast<std::int64_t>(kMaxMs)));
}

}  // namespace siskinrack::node
