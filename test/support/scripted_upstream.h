#ifndef SISKINRACK_TEST_SUPPORT_SCRIPTED_UPSTREAM_H_
#define SISKINRACK_TEST_SUPPORT_SCRIPTED_UPSTREAM_H_

#include <atomic>
#include <chrono>
#include <list>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>

#include "siskinrack/support/socket_address.h"

namespace siskinrack::test {

/// What a scripted_upstream does with a connection after the bytes of an answer.
enum class stream_ending {
  /// Waits for the next request.
  kKeepOpen,
  /// Ends its sending side and discards what it receives until the client closes the connection.
  kInOrder,
  /// Ends its sending side and then resets the connection.
  kInOrderThenReset,
  /// Closes the connection. The system resets it if a part of the request has not been read.
  kClose,
  /// Resets the connection.
  kReset,
};

/// Describes the answer of a scripted_upstream to one request.
struct scripted_answer {
  /// Bytes to send, whether or not they are HTTP. "{id}" stands for the id of the request.
  std::string bytes;
  stream_ending ending = stream_ending::kKeepOpen;
  /// Time between the last byte and the ending, and between its two steps.
  std::chrono::milliseconds pause{0};
  /// Sends the answer before the body of the request is read.
  bool early = false;
};

/// Fields that identify an answer to the mesh of either node program, and prove its origin.
inline constexpr std::string_view kIdentityFields =
    "Request-Id: {id}\r\nX-Request-Id: {id}\r\nServer-Stamp: stamp\r\n";

/// Returns a status line and the identity fields, to which further fields and the empty line can be
/// appended.
inline std::string MakeAnswerHead(std::string_view status_line = "HTTP/1.1 200 OK") {
  return std::string(status_line) + "\r\n" + std::string(kIdentityFields);
}

/// Stand-in for an upstream that sends any bytes, valid HTTP or not. Requests whose
/// target contains "scripted" get the answer that was set; all others get kOrdinaryBody with status
/// 200. Thread-safe.
class scripted_upstream {
 public:
  static constexpr std::string_view kOrdinaryBody = "ordinary";

  /// Listens on `address`, on any free port if its port is 0. Throws std::runtime_error if it
  /// can't.
  explicit scripted_upstream(support::socket_address address);
  ~scripted_upstream();
  scripted_upstream(const scripted_upstream&) = delete;
  scripted_upstream& operator=(const scripted_upstream&) = delete;

  /// Sets the answer to the scripted requests that arrive from now on.
  void SetAnswer(scripted_answer answer);

  [[nodiscard]] const support::socket_address& address() const { return address_; }
  /// Returns the number of scripted requests.
  [[nodiscard]] int scripted() const { return scripted_; }
  /// Returns the number of scripted requests that were not the first on their connection.
  [[nodiscard]] int scripted_on_reused() const { return scripted_on_reused_; }

 private:
  /// Thread that serves one connection.
  struct connection {
    std::thread thread;
    std::atomic<bool> ended = false;
  };

  void Accept();
  /// Answers the requests on one connection until it ends.
  void Serve(int fd);
  /// Answers one request, of which `received` holds the beginning, and removes it from there.
  /// Returns false if the connection is closed.
  bool Answer(int fd, std::string& received, bool is_first);
  /// Reads until `received` has `size` bytes or the connection ends.
  void ReadUntil(int fd, std::string& received, std::size_t size) const;
  /// Ends a connection with an ending other than kKeepOpen.
  void End(int fd, const scripted_answer& answer);

  support::socket_address address_;
  int listener_ = -1;
  std::atomic<bool> stopped_ = false;
  std::atomic<int> scripted_ = 0;
  std::atomic<int> scripted_on_reused_ = 0;
  std::mutex mutex_;
  scripted_answer answer_;
  std::list<connection> connections_;
  std::thread acceptor_;
};

}  // namespace siskinrack::test

#endif  // SISKINRACK_TEST_SUPPORT_SCRIPTED_UPSTREAM_H_
