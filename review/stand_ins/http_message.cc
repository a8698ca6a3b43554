#include "http_message.hh"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <sstream>
#include <thread>

namespace siskinrack::review {
namespace {

constexpr std::size_t kReadBytes = 64 * 1024;
constexpr int kBacklog = 512;

std::string Lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  return text;
}

bool ReadMore(int socket, std::string& buffer) {
  const std::size_t size = buffer.size();
  buffer.resize(size + kReadBytes);
  const ssize_t count = recv(socket, buffer.data() + size, kReadBytes, 0);
  buffer.resize(size + static_cast<std::size_t>(std::max<ssize_t>(count, 0)));
  return count > 0;
}

/// Reads a chunked body into `body`.
bool ReadChunks(int socket, std::string& buffer, std::string& body) {
  while (true) {
    std::size_t end = 0;
    while ((end = buffer.find("\r\n")) == std::string::npos) {
      if (!ReadMore(socket, buffer)) return false;
    }
    const std::size_t size = std::strtoul(buffer.c_str(), nullptr, 16);
    buffer.erase(0, end + 2);
    while (buffer.size() < size + 2) {
      if (!ReadMore(socket, buffer)) return false;
    }
    body.append(buffer, 0, size);
    buffer.erase(0, size + 2);
    if (size == 0) return true;
  }
}

sockaddr_in MakeAddress(const std::string& ip, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

}  // namespace

std::string http_message::Field(const std::string& name) const {
  const auto found = fields.find(Lower(name));
  return found == fields.end() ? std::string() : found->second;
}

std::string http_message::Word(std::size_t index) const {
  std::istringstream words(first_line);
  std::string word;
  for (std::size_t i = 0; i <= index; ++i) {
    if (!(words >> word)) return {};
  }
  return word;
}

int http_message::Status() const {
  return first_line.starts_with("HTTP/1.1 ") ? std::atoi(first_line.c_str() + 9) : 0;
}

bool ReadMessage(int socket, std::string& buffer, http_message& message) {
  std::size_t end = 0;
  while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
    if (!ReadMore(socket, buffer)) return false;
  }
  message = {};
  std::istringstream lines(buffer.substr(0, end + 2));
  buffer.erase(0, end + 4);
  std::string line;
  for (bool first = true; std::getline(lines, line); first = false) {
    if (!line.empty() && line.back() == '\r') line.pop_back();
    if (first) {
      message.first_line = line;
      continue;
    }
    const std::size_t colon = line.find(':');
    if (colon == std::string::npos) continue;
    std::size_t begin = colon + 1;
    while (begin < line.size() && line[begin] == ' ') ++begin;
    message.fields[Lower(line.substr(0, colon))] = line.substr(begin);
  }
  if (Lower(message.Field("Transfer-Encoding")) == "chunked") {
    return ReadChunks(socket, buffer, message.body);
  }
  const std::size_t length = std::strtoul(message.Field("Content-Length").c_str(), nullptr, 10);
  while (buffer.size() < length) {
    if (!ReadMore(socket, buffer)) return false;
  }
  message.body = buffer.substr(0, length);
  buffer.erase(0, length);
  return true;
}

bool WriteAll(int socket, const std::string& bytes) {
  std::size_t written = 0;
  while (written < bytes.size()) {
    const ssize_t count =
        send(socket, bytes.data() + written, bytes.size() - written, MSG_NOSIGNAL);
    if (count <= 0) return false;
    written += static_cast<std::size_t>(count);
  }
  return true;
}

std::string Encode(const std::string& first_line,
                   const std::vector<std::pair<std::string, std::string>>& fields,
                   const std::string& body) {
  std::string text = first_line + "\r\n";
  for (const auto& [name, value] : fields) text += name + ": " + value + "\r\n";
  text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
  return text + body;
}

int Connect(const std::string& ip, int port, int timeout_ms) {
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (socket < 0) return -1;
  const timeval timeout{timeout_ms / 1000, (timeout_ms % 1000) * 1000};
  setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
  setsockopt(socket, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof timeout);
  const int on = 1;
  setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  const sockaddr_in address = MakeAddress(ip, port);
  if (connect(socket, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
    close(socket);
    return -1;
  }
  return socket;
}

int Listen(const std::string& ip, int port) {
  const int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (listener < 0) return -1;
  const int on = 1;
  setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const sockaddr_in address = MakeAddress(ip, port);
  if (bind(listener, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
      listen(listener, kBacklog) != 0) {
    close(listener);
    return -1;
  }
  return listener;
}

int LocalPort(int socket) {
  sockaddr_in address{};
  socklen_t size = sizeof address;
  getsockname(socket, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

void AcceptForever(int listener, std::function<void(int)> serve) {
  std::thread([listener, serve = std::move(serve)] {
    while (true) {
      const int socket = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (socket < 0) continue;
      const int on = 1;
      setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      std::thread([serve, socket] {
        serve(socket);
        close(socket);
      }).detach();
    }
  }).detach();
}

}  // namespace siskinrack::review
