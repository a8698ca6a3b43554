#ifndef SISKINRACK_TEST_MESH_SILENCING_PROXY_H_
#define SISKINRACK_TEST_MESH_SILENCING_PROXY_H_

#include <atomic>
#include <mutex>
#include <thread>
#include <vector>

#include "siskinrack/support/socket_address.h"

namespace siskinrack::test {

/// Passes TCP connections on to a server. Open connections can be silenced: they stay open, so that
/// the kernel answers keep-alive probes, but nothing passes them any more.
class silencing_proxy {
 public:
  /// Throws std::runtime_error if it can't listen on `own`.
  silencing_proxy(const support::socket_address& own, support::socket_address server);
  ~silencing_proxy();
  silencing_proxy(const silencing_proxy&) = delete;
  silencing_proxy& operator=(const silencing_proxy&) = delete;

  /// Silences the connections that are open now. New connections work.
  void SilenceOpenConnections();
  /// Closes all connections, and each new one at once, while `refusing` is true.
  void SetRefusing(bool refusing);

 private:
  struct connection {
    int client = -1;
    int server = -1;
    bool silent = false;
  };

  void Run();
  void Accept();
  /// Passes the bytes that wait on `from` on; returns false if the connection has ended.
  static bool Pass(int from, int to);

  support::socket_address server_;
  int listener_ = -1;
  std::atomic<bool> stopped_ = false;
  std::mutex mutex_;
  bool refusing_ = false;
  std::vector<connection> connections_;
  std::thread thread_;
};

}  // namespace siskinrack::test

#endif  // SISKINRACK_TEST_MESH_SILENCING_PROXY_H_
