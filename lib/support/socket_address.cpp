#include "siskinrack/support/socket_address.h"

#include <arpa/inet.h>

#include <charconv>

namespace siskinrack::support {

std::string socket_address::ToText() const { return ip + ':' + std::to_string(port); }

std::optional<socket_address> ParseSocketAddress(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) return std::nullopt;
  socket_address address;
  address.ip = text.substr(0, colon);
  in_addr parsed{};
  if (inet_pton(AF_INET, address.ip.c_str(), &parsed) != 1) return std::nullopt;
  const std::string_view port = text.substr(colon + 1);
  const auto [end, error] = std::from_chars(port.data(), port.data() + port.size(), address.port);
  if (error != std::errc{} || end != port.data() + port.size()) return std::nullopt;
  return address;
}

}  // namespace siskinrack::support
