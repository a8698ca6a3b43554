#include "raw_client.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <charconv>
#include <stdexcept>
#include <utility>

namespace siskinrack::test {
namespace {

/// Bounds the time of a test whose peer neither reads nor answers.
constexpr timeval kSocketTimeout{5, 0};

}  // namespace

raw_client::raw_client(const support::socket_address& address, int receive_buffer)
    : socket_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
  if (receive_buffer > 0) {
    setsockopt(socket_, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
  }
  setsockopt(socket_, SOL_SOCKET, SO_SNDTIMEO, &kSocketTimeout, sizeof kSocketTimeout);
  setsockopt(socket_, SOL_SOCKET, SO_RCVTIMEO, &kSocketTimeout, sizeof kSocketTimeout);
  sockaddr_in remote{};
  remote.sin_family = AF_INET;
  remote.sin_port = htons(address.port);
  inet_pton(AF_INET, address.ip.c_str(), &remote.sin_addr);
  // A failure shows in the calls that follow.
  static_cast<void>(connect(socket_, reinterpret_cast<const sockaddr*>(&remote), sizeof remote));
}

raw_client::~raw_client() {
  if (socket_ >= 0) close(socket_);
}

raw_client::raw_client(raw_client&& other) noexcept : socket_(std::exchange(other.socket_, -1)) {}

bool raw_client::Send(std::string_view data) const {
  while (!data.empty()) {
    const auto sent = send(socket_, data.data(), data.size(), MSG_NOSIGNAL);
    if (sent <= 0) return false;
    data.remove_prefix(static_cast<std::size_t>(sent));
  }
  return true;
}

void raw_client::AwaitAnswer() const {
  char byte = 0;
  static_cast<void>(recv(socket_, &byte, 1, MSG_PEEK));
}

unsigned raw_client::ReadStatus() const {
  std::string header;
  std::array<char, 4096> chunk{};
  while (header.find("\r\n\r\n") == std::string::npos) {
    const auto received = recv(socket_, chunk.data(), chunk.size(), 0);
    if (received <= 0) return 0;
    header.append(chunk.data(), static_cast<std::size_t>(received));
  }
  constexpr std::string_view kVersion = "HTTP/1.1 ";
  unsigned status = 0;
  if (header.starts_with(kVersion)) {
    std::from_chars(header.data() + kVersion.size(), header.data() + header.size(), status);
  }
  return status;
}

endless_upstream::endless_upstream(const support::socket_address& address)
    : listener_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
  constexpr int kBacklog = 128;
  const int enabled = 1;
  setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
  sockaddr_in local{};
  local.sin_family = AF_INET;
  local.sin_port = htons(address.port);
  inet_pton(AF_INET, address.ip.c_str(), &local.sin_addr);
  if (bind(listener_, reinterpret_cast<const sockaddr*>(&local), sizeof local) != 0 ||
      listen(listener_, kBacklog) != 0) {
    close(listener_);
    throw std::runtime_error("cannot listen on " + address.ToText());
  }
  accept_thread_ = std::thread([this] { AcceptLoop(); });
}

endless_upstream::~endless_upstream() {
  stopped_ = true;
  shutdown(listener_, SHUT_RDWR);
  accept_thread_.join();
  for (std::thread& thread : threads_) thread.join();
  close(listener_);
}

void endless_upstream::AcceptLoop() {
  while (!stopped_) {
    const int socket = accept(listener_, nullptr, nullptr);
    if (socket < 0) continue;
    setsockopt(socket, SOL_SOCKET, SO_SNDTIMEO, &kSocketTimeout, sizeof kSocketTimeout);
    setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &kSocketTimeout, sizeof kSocketTimeout);
    threads_.emplace_back([this, socket] {
      Serve(socket);
      close(socket);
    });
  }
}

void endless_upstream::Serve(int socket) const {
  std::string request;
  std::array<char, 4096> chunk{};
  while (!stopped_) {
    const auto received = recv(socket, chunk.data(), chunk.size(), 0);
    if (received <= 0) return;
    request.append(chunk.data(), static_cast<std::size_t>(received));
    if (request.find("\r\n\r\n") == std::string::npos) continue;
    const bool is_ordinary = request.find("ordinary") != std::string::npos;
    const bool is_check = request.starts_with("GET /healthz");
    std::string answer = "HTTP/1.1 200 OK\r\nServer-Stamp: stamp\r\nRequest-Id: " +
                         std::string(is_ordinary ? "ordinary" : "crowd") + "\r\n";
    if (is_ordinary || is_check) {
      answer += "Connection: close\r\nContent-Length: 2\r\n\r\nok";
      static_cast<void>(send(socket, answer.data(), answer.size(), MSG_NOSIGNAL));
      return;
    }
    answer += "Transfer-Encoding: chunked\r\n\r\n";
    const std::string block = "10000\r\n" + std::string(0x10000, 'x') + "\r\n";
    while (!stopped_ && send(socket, answer.data(), answer.size(), MSG_NOSIGNAL) ==
                            static_cast<ssize_t>(answer.size())) {
      answer = block;
    }
    return;
  }
}

std::vector<raw_client> OpenCrowd(std::size_t count, const support::socket_address& address,
                                  const std::function<void(const raw_client&)>& send) {
  std::vector<raw_client> clients;
  clients.reserve(count);
  for (std::size_t i = 0; i < count; ++i) clients.emplace_back(address);
  std::vector<std::thread> threads;
  threads.reserve(count);
  for (const raw_client& client : clients) threads.emplace_back([&] { send(client); });
  for (std::thread& thread : threads) thread.join();
  return clients;
}

}  // namespace siskinrack::test
