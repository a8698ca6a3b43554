#ifndef SISKINRACK_REVIEW_STAND_INS_PROXY_H_
#define SISKINRACK_REVIEW_STAND_INS_PROXY_H_

#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace siskinrack::review {

/// Forwards TCP connections to one target. Open connections can be made silent: they stay open, but
/// no further byte passes in either direction.
class proxy {
 public:
  /// Listens on a free port of `ip` and forwards to `target_ip`:`target_port`.
  proxy(const std::string& ip, std::string target_ip, int target_port);

  [[nodiscard]] std::string address() const;
  /// Makes the open connections silent whose last request begins with `first_line`. Returns their
  /// number.
  int Silence(const std::string& first_line);

 private:
  struct link {
    int client;
    int server;
    std::mutex mutex;
    std::string last_request;
    std::atomic<bool> silent = false;
  };

  void Serve(int client);
  static void Pump(link& connection, bool to_server);

  std::string ip_;
  std::string target_ip_;
  int target_port_;
  int listener_;
  std::mutex mutex_;
  std::vector<std::shared_ptr<link>> links_;
};

}  // namespace siskinrack::review

#endif  // SISKINRACK_REVIEW_STAND_INS_PROXY_H_
