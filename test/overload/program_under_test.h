#ifndef SISKINRACK_TEST_OVERLOAD_PROGRAM_UNDER_TEST_H_
#define SISKINRACK_TEST_OVERLOAD_PROGRAM_UNDER_TEST_H_

#include <sys/types.h>

#include <cstddef>
#include <memory>
#include <optional>
#include <string>

#include "siskinrack/support/socket_address.h"

namespace siskinrack::test {

/// Settings of the node under test, lower than any default.
inline constexpr std::size_t kMemoryMb = 64;
inline constexpr std::size_t kMaxDescriptors = 700;

/// One running node with its platform and upstream.
class program_under_test {
 public:
  program_under_test() = default;
  virtual ~program_under_test() = default;
  program_under_test(const program_under_test&) = delete;
  program_under_test& operator=(const program_under_test&) = delete;

  /// Returns the address for requests of callers.
  [[nodiscard]] virtual support::socket_address caller() const = 0;
  /// Returns the address for links of other nodes.
  [[nodiscard]] virtual support::socket_address peer() const = 0;
  /// Returns the target of requests that the upstream answers with their body.
  [[nodiscard]] virtual std::string target() const = 0;
  /// Returns a body inside the limit of the program to which the upstream gives an answer of
  /// several megabytes, more than the kernel buffers for a reader that stops.
  [[nodiscard]] virtual std::string MakeBodyOfLargeAnswer() const = 0;
  /// Stops the upstream and returns its address, for a server that takes its place.
  virtual support::socket_address ReleaseUpstream() = 0;
  [[nodiscard]] virtual pid_t pid() const = 0;
  /// Returns the exit code if the node has ended.
  [[nodiscard]] virtual std::optional<int> Poll() = 0;
  /// Returns what the node has logged.
  [[nodiscard]] virtual std::string ReadLog() const = 0;
};

/// Starts a node on the users' platform and waits until it serves requests. Throws
/// std::runtime_error on failure.
std::unique_ptr<program_under_test> StartMeshNode(std::size_t memory_mb = kMemoryMb);
/// Starts a node of siskinrack's own interface and waits until it serves requests. Throws
/// std::runtime_error on failure.
std::unique_ptr<program_under_test> StartOwnNode();

/// Makes the header section of a request of the crowd, up to its end unless `fields` lack the last
/// empty line.
std::string MakeRequestHead(const program_under_test& program, const std::string& fields);

/// Returns the largest resident memory that the process had since its start, in bytes; 0 if it has
/// ended.
std::size_t ReadPeakMemory(pid_t pid);
/// Returns the number of open sockets of the process.
std::size_t CountSockets(pid_t pid);

}  // namespace siskinrack::test

#endif  // SISKINRACK_TEST_OVERLOAD_PROGRAM_UNDER_TEST_H_
