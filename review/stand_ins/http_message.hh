#ifndef SISKINRACK_REVIEW_STAND_INS_HTTP_MESSAGE_H_
#define SISKINRACK_REVIEW_STAND_INS_HTTP_MESSAGE_H_

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace siskinrack::review {

/// Represents one HTTP/1.1 message. Field names are in lower case.
struct http_message {
  /// Request line or status line, without its line end.
  std::string first_line;
  std::map<std::string, std::string> fields;
  std::string body;

  [[nodiscard]] std::string Field(const std::string& name) const;
  /// Returns word `index` of the first line, or an empty string.
  [[nodiscard]] std::string Word(std::size_t index) const;
  /// Returns the status of a response, or 0 if the first line is no status line.
  [[nodiscard]] int Status() const;
};

/// Reads one message from a blocking socket. Bytes after it stay in `buffer`. Returns false if the
/// connection ended or the receive timeout of the socket passed before the message was complete.
bool ReadMessage(int socket, std::string& buffer, http_message& message);
/// Writes all bytes; returns false on an error.
bool WriteAll(int socket, const std::string& bytes);
/// Returns the bytes of a message; adds Content-Length.
std::string Encode(const std::string& first_line,
                   const std::vector<std::pair<std::string, std::string>>& fields,
                   const std::string& body);

/// Connects to `ip`:`port`; returns the socket or -1. The timeout applies to each send and receive.
int Connect(const std::string& ip, int port, int timeout_ms);
/// Listens on `ip`:`port`; port 0 picks a free one. Returns the socket or -1.
int Listen(const std::string& ip, int port);
/// Returns the port that a socket is bound to.
int LocalPort(int socket);
/// Calls `serve` for each connection in a detached thread until the process ends; `serve` owns the
/// connection's socket.
void AcceptForever(int listener, std::function<void(int)> serve);

}  // namespace siskinrack::review

#endif  // SISKINRACK_REVIEW_STAND_INS_HTTP_MESSAGE_H_
