#include "http_framing.h"

#include <algorithm>
#include <boost/beast/core/string.hpp>

namespace siskinrack::net::detail {
namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr unsigned kHttp11 = 11;

bool HasBareLineEnd(std::string_view header) {
  for (std::size_t i = 0; i < header.size(); ++i) {
    if (header[i] == '\n' && (i == 0 || header[i - 1] != '\r')) return true;
    if (header[i] == '\r' && (i + 1 == header.size() || header[i + 1] != '\n')) return true;
  }
  return false;
}

bool HasFoldedLine(std::string_view header) {
  return header.find("\r\n ") != std::string_view::npos ||
         header.find("\r\n\t") != std::string_view::npos;
}

bool IsDecimal(beast::string_view text) {
  return !text.empty() &&
         std::all_of(text.begin(), text.end(), [](char c) { return c >= '0' && c <= '9'; });
}

}  // namespace

std::string_view FramingProblem(std::string_view header, const http::request_header<>& message) {
  if (HasBareLineEnd(header)) return "line does not end with CR LF";
  if (HasFoldedLine(header)) return "folded header line";
  const auto hosts = message.count(http::field::host);
  if (hosts > 1 || (hosts == 0 && message.version() >= kHttp11)) return "not exactly one Host";
  const auto lengths = message.count(http::field::content_length);
  const auto codings = message.count(http::field::transfer_encoding);
  if (lengths > 1) return "several Content-Length fields";
  if (lengths == 1 && !IsDecimal(message[http::field::content_length])) {
    return "malformed Content-Length";
  }
  if (codings > 0 && lengths > 0) return "Content-Length beside Transfer-Encoding";
  if (codings > 1) return "several Transfer-Encoding fields";
  if (codings == 1 && (message.version() < kHttp11 ||
                       !beast::iequals(message[http::field::transfer_encoding], "chunked"))) {
    return "unsupported Transfer-Encoding";
  }
  return {};
}

}  // namespace siskinrack::net::detail
