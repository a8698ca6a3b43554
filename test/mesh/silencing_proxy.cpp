#include "silencing_proxy.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <stdexcept>

namespace siskinrack::test {
namespace {

constexpr int kPollTimeoutMs = 5;
constexpr int kBacklog = 64;

sockaddr_in ToNative(const support::socket_address& address) {
  sockaddr_in native{};
  native.sin_family = AF_INET;
  native.sin_port = htons(address.port);
  inet_pton(AF_INET, address.ip.c_str(), &native.sin_addr);
  return native;
}

void SendWithoutDelay(int socket) {
  const int on = 1;
  setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

}  // namespace

silencing_proxy::silencing_proxy(const support::socket_address& own, support::socket_address server)
    : server_(std::move(server)), listener_(socket(AF_INET, SOCK_STREAM, 0)) {
  const int on = 1;
  setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const sockaddr_in address = ToNative(own);
  if (bind(listener_, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
      listen(listener_, kBacklog) != 0) {
    close(listener_);
    throw std::runtime_error("silencing proxy can't listen on " + own.ToText());
  }
  thread_ = std::thread([this] { Run(); });
}

silencing_proxy::~silencing_proxy() {
  stopped_ = true;
  thread_.join();
  close(listener_);
  for (const connection& conn : connections_) {
    close(conn.client);
    close(conn.server);
  }
}

void silencing_proxy::SilenceOpenConnections() {
  const std::lock_guard lock(mutex_);
  for (connection& conn : connections_) conn.silent = true;
}

void silencing_proxy::SetRefusing(bool refusing) {
  const std::lock_guard lock(mutex_);
  refusing_ = refusing;
}

void silencing_proxy::Accept() {
  const int client = accept(listener_, nullptr, nullptr);
  if (client < 0) return;
  if (refusing_) {
    close(client);
    return;
  }
  const int server = socket(AF_INET, SOCK_STREAM, 0);
  const sockaddr_in address = ToNative(server_);
  if (connect(server, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
    close(server);
    close(client);
    return;
  }
  SendWithoutDelay(client);
  SendWithoutDelay(server);
  connections_.push_back({client, server, false});
}

bool silencing_proxy::Pass(int from, int to) {
  char chunk[16'384];
  const ssize_t size = recv(from, chunk, sizeof chunk, MSG_DONTWAIT);
  if (size < 0) return errno == EAGAIN || errno == EWOULDBLOCK;
  return size > 0 && send(to, chunk, static_cast<std::size_t>(size), MSG_NOSIGNAL) == size;
}

void silencing_proxy::Run() {
  while (!stopped_) {
    std::vector<pollfd> waiting{{listener_, POLLIN, 0}};
    {
      const std::lock_guard lock(mutex_);
      for (const connection& conn : connections_) {
        if (conn.silent) continue;
        waiting.push_back({conn.client, POLLIN, 0});
        waiting.push_back({conn.server, POLLIN, 0});
      }
    }
    poll(waiting.data(), waiting.size(), kPollTimeoutMs);
    const std::lock_guard lock(mutex_);
    std::erase_if(connections_, [this](const connection& conn) {
      if (conn.silent) return false;
      if (!refusing_ && Pass(conn.client, conn.server) && Pass(conn.server, conn.client))
        return false;
      close(conn.client);
      close(conn.server);
      return true;
    });
    if ((waiting.front().revents & POLLIN) != 0) Accept();
  }
}

}  // namespace siskinrack::test
