#include "scripted_upstream.h"

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <stdexcept>
#include <utility>

namespace siskinrack::test {
namespace {

constexpr std::string_view kHeadEnd = "\r\n\r\n";
/// Bounds the time for which a connection without data occupies its thread.
constexpr suseconds_t kIdleUs = 20'000;
constexpr int kIdleMs = 20;
constexpr std::size_t kReadBytes = 64U << 10U;

/// Returns the value of the first field whose name ends with `name`, in lower case.
std::string FindValue(std::string_view head, std::string_view name) {
  std::string lower(head);
  std::transform(lower.begin(), lower.end(), lower.begin(),
                 [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  const std::string pattern = std::string(name) + ": ";
  const std::size_t at = lower.find(pattern);
  if (at == std::string::npos) return {};
  const std::size_t begin = at + pattern.size();
  return std::string(head.substr(begin, head.find("\r\n", begin) - begin));
}

std::string InsertId(std::string bytes, const std::string& id) {
  constexpr std::string_view kPlaceholder = "{id}";
  for (std::size_t at = 0; (at = bytes.find(kPlaceholder, at)) != std::string::npos;) {
    bytes.replace(at, kPlaceholder.size(), id);
    at += id.size();
  }
  return bytes;
}

bool SendAll(int fd, std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t size = send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (size <= 0) return false;
    bytes.remove_prefix(static_cast<std::size_t>(size));
  }
  return true;
}

scripted_answer MakeOrdinaryAnswer() {
  const std::string_view body = scripted_upstream::kOrdinaryBody;
  return {MakeAnswerHead() + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
          std::string(body)};
}

}  // namespace

scripted_upstream::scripted_upstream(support::socket_address address)
    : address_(std::move(address)) {
  listener_ = socket(AF_INET, SOCK_STREAM, 0);
  const int on = 1;
  setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  setsockopt(listener_, SOL_SOCKET, SO_REUSEPORT, &on, sizeof on);
  sockaddr_in native{};
  native.sin_family = AF_INET;
  native.sin_port = htons(address_.port);
  inet_pton(AF_INET, address_.ip.c_str(), &native.sin_addr);
  socklen_t size = sizeof native;
  if (bind(listener_, reinterpret_cast<const sockaddr*>(&native), size) != 0 ||
      listen(listener_, 64) != 0 ||
      getsockname(listener_, reinterpret_cast<sockaddr*>(&native), &size) != 0) {
    close(listener_);
    throw std::runtime_error("cannot listen on " + address_.ToText());
  }
  address_.port = ntohs(native.sin_port);
  acceptor_ = std::thread([this] { Accept(); });
}

scripted_upstream::~scripted_upstream() {
  stopped_ = true;
  acceptor_.join();
  close(listener_);
  for (connection& conn : connections_) conn.thread.join();
}

void scripted_upstream::SetAnswer(scripted_answer answer) {
  const std::lock_guard lock(mutex_);
  answer_ = std::move(answer);
}

void scripted_upstream::Accept() {
  while (!stopped_) {
    pollfd waiting{listener_, POLLIN, 0};
    if (poll(&waiting, 1, kIdleMs) <= 0) continue;
    const int fd = accept(listener_, nullptr, nullptr);
    if (fd < 0) continue;
    connections_.remove_if([](connection& conn) {
      if (!conn.ended) return false;
      conn.thread.join();
      return true;
    });
    connection& conn = connections_.emplace_back();
    conn.thread = std::thread([this, fd, &conn] {
      Serve(fd);
      conn.ended = true;
    });
  }
}

void scripted_upstream::Serve(int fd) {
  const timeval limit{.tv_sec = 0, .tv_usec = kIdleUs};
  setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  std::string received;
  bool is_first = true;
  while (!stopped_) {
    if (received.find(kHeadEnd) != std::string::npos) {
      if (!Answer(fd, received, is_first)) return;
      is_first = false;
      continue;
    }
    char chunk[4096];
    const ssize_t size = recv(fd, chunk, sizeof chunk, 0);
    if (size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) continue;
    if (size <= 0) break;
    received.append(chunk, static_cast<std::size_t>(size));
  }
  close(fd);
}

bool scripted_upstream::Answer(int fd, std::string& received, bool is_first) {
  const std::size_t head_size = received.find(kHeadEnd) + kHeadEnd.size();
  const std::string head = received.substr(0, head_size);
  scripted_answer answer = MakeOrdinaryAnswer();
  if (head.substr(0, head.find("\r\n")).find("scripted") != std::string::npos) {
    const std::lock_guard lock(mutex_);
    answer = answer_;
    ++scripted_;
    if (!is_first) ++scripted_on_reused_;
  }
  const std::string length = FindValue(head, "content-length");
  const std::size_t size = head_size + (length.empty() ? 0 : std::stoul(length));
  if (!answer.early) ReadUntil(fd, received, size);
  const bool sent = SendAll(fd, InsertId(answer.bytes, FindValue(head, "request-id")));
  std::this_thread::sleep_for(answer.pause);
  if (sent && answer.ending == stream_ending::kKeepOpen) {
    ReadUntil(fd, received, size);
    received.erase(0, size);
    return true;
  }
  End(fd, answer);
  return false;
}

void scripted_upstream::ReadUntil(int fd, std::string& received, std::size_t size) const {
  std::string chunk(kReadBytes, '\0');
  while (!stopped_ && received.size() < size) {
    const ssize_t read = recv(fd, chunk.data(), chunk.size(), 0);
    if (read == 0 || (read < 0 && errno != EAGAIN && errno != EWOULDBLOCK)) return;
    if (read > 0) received.append(chunk, 0, static_cast<std::size_t>(read));
  }
}

void scripted_upstream::End(int fd, const scripted_answer& answer) {
  if (answer.ending == stream_ending::kInOrder) {
    shutdown(fd, SHUT_WR);
    std::string discarded(kReadBytes, '\0');
    while (!stopped_) {
      const ssize_t size = recv(fd, discarded.data(), discarded.size(), 0);
      if (size == 0 || (size < 0 && errno != EAGAIN && errno != EWOULDBLOCK)) break;
    }
  }
  if (answer.ending == stream_ending::kInOrderThenReset) {
    shutdown(fd, SHUT_WR);
    std::this_thread::sleep_for(answer.pause);
  }
  if (answer.ending == stream_ending::kReset || answer.ending == stream_ending::kInOrderThenReset) {
    const linger reset{.l_onoff = 1, .l_linger = 0};
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
  }
  close(fd);
}

}  // namespace siskinrack::test
