#ifndef SISKINRACK_NET_HTTP_H_
#define SISKINRACK_NET_HTTP_H_

#include <chrono>
#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace siskinrack::net {

/// Represents one HTTP header field.
struct http_field {
  std::string name;
  std::string value;
};

/// Returns the value of the first field `name` (case-insensitive), or an empty view if there is
/// none.
std::string_view FindField(const std::vector<http_field>& fields, std::string_view name);

/// Represents an HTTP request. `fields` excludes the connection-level fields (RFC 9110, 7.6.1) and
/// Host, Content-Length, Expect and Trailer.
struct http_request {
  std::string method = "GET";
  std::string target = "/";
  std::vector<http_field> fields;
  std::string body;
  /// Value of the Host field. If it is empty, http_client sends the address that it connects to.
  std::string host;
  /// Body that http_client sends in place of `body` if it isn't empty. The owner of the bytes keeps
  /// them until the exchange ends; a large body isn't copied then.
  std::string_view body_view = {};
  /// Time at which http_server received the first bytes of the request; the epoch if it didn't.
  std::chrono::steady_clock::time_point received_at = {};
};

/// Returns how long `request` has waited since http_server received its first bytes; zero if it did
/// not come from an http_server.
inline std::chrono::steady_clock::duration ComputeWait(const http_request& request,
                                                       std::chrono::steady_clock::time_point now) {
  const bool received = request.received_at != std::chrono::steady_clock::time_point{};
  return received ? now - request.received_at : std::chrono::steady_clock::duration(0);
}

/// Returns the reason for which http_client can't send `request`, for example content that the
/// method forbids, or std::nullopt if it can. A node that passes requests on checks this before it
/// admits one.
std::optional<std::string> FindRequestProblem(const http_request& request);

/// Represents an HTTP response. `fields` excludes the same fields as in http_request.
struct http_response {
  unsigned status = 200;
  std::vector<http_field> fields;
  std::string body;
};

/// Default limit of a request body, in bytes.
inline constexpr std::size_t kMaxBodyBytes = 1U << 20U;
/// Limit of a response header section, and default limit of a request header section, in bytes.
inline constexpr std::size_t kMaxHeaderBytes = 16U << 10U;
/// Limit of a response body, in bytes. A response must fit into a wire frame
/// (wire::kMaxFrameBytes).
inline constexpr std::size_t kMaxResponseBytes = 16U << 20U;

/// Size limits and timeouts that a server applies to requests.
struct http_limits {
  std::size_t header_bytes = kMaxHeaderBytes;
  std::size_t body_bytes = kMaxBodyBytes;
  /// Time without a request after which a connection is closed.
  std::chrono::milliseconds idle_timeout{60'000};
  /// Time limit for a header section, so that slow clients can't occupy connections.
  std::chrono::milliseconds header_timeout{10'000};
  std::chrono::milliseconds body_timeout{10'000};

  bool operator==(const http_limits&) const = default;
};

}  // namespace siskinrack::net

#endif  // SISKINRACK_NET_HTTP_H_
