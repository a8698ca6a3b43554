#include "http_framing.h"

#include <algorithm>
#include <boost/beast/core/string.hpp>

namespace siskinrack::net::detail {
namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr unsigned kHttp11 = 11;
/// Range of the status codes of HTTP (RFC 9110, 15).
constexpr unsigned kFirstStatus = 100;
constexpr unsigned kLastStatus = 599;
constexpr unsigned kStatusSwitchingProtocols = 101;
constexpr unsigned kStatusOk = 200;
constexpr unsigned kStatusNoContent = 204;

/// Returns true if a CR or LF is not part of a CR LF pair.
bool HasBareLineEnd(std::string_view header) {
  for (std::size_t i = 0; i < header.size(); ++i) {
    if (header[i] == '\n' && (i == 0 || header[i - 1] != '\r')) return true;
    if (header[i] == '\r' && (i + 1 == header.size() || header[i + 1] != '\n')) return true;
  }
  return false;
}

/// Returns true if a header line continues on the next one (obsolete line folding).
bool HasFoldedLine(std::string_view header) {
  return header.find("\r\n ") != std::string_view::npos ||
         header.find("\r\n\t") != std::string_view::npos;
}

bool IsDecimal(beast::string_view text) {
  return !text.empty() &&
         std::all_of(text.begin(), text.end(), [](char c) { return c >= '0' && c <= '9'; });
}

/// Checks the transfer coding, which every recipient must remove.
template <typename Header>
std::string_view CheckCoding(const Header& message) {
  const auto codings = message.count(http::field::transfer_encoding);
  if (codings > 0 && message.count(http::field::content_length) > 0) {
    return "both Content-Length and Transfer-Encoding are present";
  }
  if (codings > 1) return "multiple Transfer-Encoding fields";
  if (codings == 1 && (message.version() < kHttp11 ||
                       !beast::iequals(message[http::field::transfer_encoding], "chunked"))) {
    return "unsupported Transfer-Encoding, expected chunked with HTTP/1.1";
  }
  return {};
}

}  // namespace

std::string_view CheckLines(std::string_view lines) {
  if (HasBareLineEnd(lines)) return "header line does not end with CR LF";
  if (HasFoldedLine(lines)) return "obsolete line folding in the header section";
  return {};
}

std::string_view CheckFraming(std::string_view header, const http::request_header<>& message) {
  if (const auto problem = CheckLines(header); !problem.empty()) return problem;
  const auto hosts = message.count(http::field::host);
  if (hosts > 1 || (hosts == 0 && message.version() >= kHttp11)) return "expected one Host field";
  const auto lengths = message.count(http::field::content_length);
  if (lengths > 1) return "multiple Content-Length fields";
  if (lengths == 1 && !IsDecimal(message[http::field::content_length])) {
    return "Content-Length is not a decimal number";
  }
  return CheckCoding(message);
}

std::string_view CheckResponseHead(const http::response_header<>& message) {
  const unsigned status = message.result_int();
  if (status < kFirstStatus || status > kLastStatus) return "status is not between 100 and 599";
  // A node requests no other protocol.
  if (status == kStatusSwitchingProtocols) return "status 101 to a request without Upgrade";
  if (status < kStatusOk || status == kStatusNoContent) {
    const beast::string_view length = message[http::field::content_length];
    if (message.count(http::field::transfer_encoding) > 0 ||
        length.find_first_not_of('0') != beast::string_view::npos) {
      return "body after a status that allows none";
    }
  }
  return CheckCoding(message);
}

}  // namespace siskinrack::net::detail
