#ifndef SISKINRACK_NET_HTTP_H_
#define SISKINRACK_NET_HTTP_H_

#include <chrono>
#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace siskinrack::net {

struct http_field {
  std::string name;
  std::string value;
};

/// Value of the field `name` (any case) or an empty view.
std::string_view FindField(const std::vector<http_field>& fields, std::string_view name);

/// Request without connection-level fields (Host, Connection, Content-Length and the like).
struct http_request {
  std::string method = "GET";
  std::string target = "/";
  std::vector<http_field> fields;
  std::string body;
  /// Value of the Host field; a client that leaves it empty sends the address it connects to.
  std::string host;
};

struct http_response {
  unsigned status = 200;
  std::vector<http_field> fields;
  std::string body;
};

/// Largest body of a request or response.
inline constexpr std::size_t kMaxBodyBytes = 1U << 20U;
/// Largest header section of a request or response.
inline constexpr std::size_t kMaxHeaderBytes = 16U << 10U;
/// Largest response body that is read; it has to fit into a frame between nodes.
inline constexpr std::size_t kMaxResponseBytes = 16U << 20U;

/// What clients may send, and how long they may take.
struct http_limits {
  std::size_t header_bytes = kMaxHeaderBytes;
  std::size_t body_bytes = kMaxBodyBytes;
  std::chrono::milliseconds idle_timeout{60'000};
  /// Time for a header section, so that slow clients hold no connection for long.
  std::chrono::milliseconds header_timeout{10'000};
  std::chrono::milliseconds body_timeout{10'000};

  bool operator==(const http_limits&) const = default;
};

}  // namespace siskinrack::net

#endif  // SISKINRACK_NET_HTTP_H_
