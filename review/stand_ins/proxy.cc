#include "proxy.hh"

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <thread>

#include "http_message.hh"

namespace siskinrack::review {
namespace {

constexpr std::size_t kPumpBytes = 64 * 1024;
/// Longer than any script runs.
constexpr int kTimeoutMs = 600'000;

}  // namespace

proxy::proxy(const std::string& ip, std::string target_ip, int target_port)
    : ip_(ip),
      target_ip_(std::move(target_ip)),
      target_port_(target_port),
      listener_(Listen(ip, 0)) {
  AcceptForever(listener_, [this](int client) { Serve(client); });
}

std::string proxy::address() const { return ip_ + ':' + std::to_string(LocalPort(listener_)); }

int proxy::Silence(const std::string& first_line) {
  const std::lock_guard lock(mutex_);
  int count = 0;
  for (const auto& connection : links_) {
    const std::lock_guard link_lock(connection->mutex);
    if (connection->silent || !connection->last_request.starts_with(first_line)) continue;
    connection->silent = true;
    ++count;
  }
  return count;
}

void proxy::Serve(int client) {
  const int server = Connect(target_ip_, target_port_, kTimeoutMs);
  if (server < 0) return;
  const auto connection = std::make_shared<link>();
  connection->client = client;
  connection->server = server;
  {
    const std::lock_guard lock(mutex_);
    links_.push_back(connection);
  }
  std::thread back([connection] { Pump(*connection, false); });
  Pump(*connection, true);
  back.join();
  close(server);
  const std::lock_guard lock(mutex_);
  std::erase(links_, connection);
}

void proxy::Pump(link& connection, bool to_server) {
  const int from = to_server ? connection.client : connection.server;
  const int to = to_server ? connection.server : connection.client;
  std::string bytes(kPumpBytes, '\0');
  while (true) {
    const ssize_t count = recv(from, bytes.data(), bytes.size(), 0);
    if (count <= 0) break;
    const std::string text = bytes.substr(0, static_cast<std::size_t>(count));
    if (to_server) {
      const std::lock_guard lock(connection.mutex);
      connection.last_request = text.substr(0, text.find('\r'));
    }
    if (connection.silent) continue;
    if (!WriteAll(to, text)) break;
  }
  shutdown(to, SHUT_RDWR);
  shutdown(from, SHUT_RDWR);
}

}  // namespace siskinrack::review
