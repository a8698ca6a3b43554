#ifndef SISKINRACK_TEST_OVERLOAD_RAW_CLIENT_H_
#define SISKINRACK_TEST_OVERLOAD_RAW_CLIENT_H_

#include <atomic>
#include <cstddef>
#include <functional>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "siskinrack/support/socket_address.h"

namespace siskinrack::test {

/// TCP connection of a client that may break the protocol. All calls block, for a few seconds at
/// most.
class raw_client {
 public:
  /// Connects. `receive_buffer` is the size of the kernel's receive buffer; 0 keeps the default.
  explicit raw_client(const support::socket_address& address, int receive_buffer = 0);
  ~raw_client();
  raw_client(raw_client&& other) noexcept;
  raw_client(const raw_client&) = delete;
  raw_client& operator=(const raw_client&) = delete;

  /// Sends all of `data`. Returns false if the peer closed the connection or doesn't read.
  // NOLINTNEXTLINE(modernize-use-nodiscard)
  bool Send(std::string_view data) const;
  /// Waits until a byte can be read or the connection is closed, and leaves the byte unread.
  void AwaitAnswer() const;
  /// Reads one response up to the end of its header section. Returns its status, or 0 if there is
  /// none.
  [[nodiscard]] unsigned ReadStatus() const;

 private:
  int socket_;
};

/// Upstream that answers every request with a body without end, except ones with the id "ordinary"
/// and health checks, which get a short answer. Serves each connection in a thread of its own.
class endless_upstream {
 public:
  /// Listens on `address`. Throws std::runtime_error on failure.
  explicit endless_upstream(const support::socket_address& address);
  ~endless_upstream();
  endless_upstream(const endless_upstream&) = delete;
  endless_upstream& operator=(const endless_upstream&) = delete;

 private:
  void AcceptLoop();
  void Serve(int socket) const;

  int listener_;
  std::atomic<bool> stopped_ = false;
  std::thread accept_thread_;
  std::vector<std::thread> threads_;
};

/// Opens `count` connections to `address`, one after the other, and runs `send` on all of them at
/// once. Returns the connections, which stay open until they are destroyed.
std::vector<raw_client> OpenCrowd(std::size_t count, const support::socket_address& address,
                                  const std::function<void(const raw_client&)>& send);

}  // namespace siskinrack::test

#endif  // SISKINRACK_TEST_OVERLOAD_RAW_CLIENT_H_
