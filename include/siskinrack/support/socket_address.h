#ifndef SISKINRACK_SUPPORT_SOCKET_ADDRESS_H_
#define SISKINRACK_SUPPORT_SOCKET_ADDRESS_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace siskinrack::support {

/// Represents an IPv4 address and a port. Host names are not supported: processes address each
/// other by IP address.
struct socket_address {
  std::string ip;
  std::uint16_t port = 0;

  auto operator<=>(const socket_address&) const = default;

  /// Returns "ip:port".
  [[nodiscard]] std::string ToText() const;
};

/// Parses "ip:port" with an IPv4 address in dotted decimal form and a port from 0 to 65535. Returns
/// std::nullopt for any other text.
std::optional<socket_address> ParseSocketAddress(std::string_view text);

}  // namespace siskinrack::support

#endif  // SISKINRACK_SUPPORT_SOCKET_ADDRESS_H_
