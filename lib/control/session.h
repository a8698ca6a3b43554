#ifndef SISKINRACK_LIB_CONTROL_SESSION_H_
#define SISKINRACK_LIB_CONTROL_SESSION_H_

#include <boost/leaf/result.hpp>
#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "siskinrack/platform/http_object_store.h"

namespace siskinrack::control {

/// A node as the fleet knows it.
struct known_node {
  support::socket_address admin;
  /// Empty if no node told.
  std::string node_id;
  std::string failure_domain;
};

/// A node's page; nothing if the node didn't answer with status 200.
struct node_page {
  known_node node;
  std::optional<std::string> body;
};

/// Blocking access to the platform and the nodes for one command. Each call runs in a fiber of the
/// runtime while the calling thread waits, so the command's own code never switches fibers and can
/// use LEAF.
class session {
 public:
  struct options {
    support::socket_address platform;
    std::vector<support::socket_address> nodes;
    /// Time for the whole command.
    std::chrono::milliseconds timeout;
  };

  explicit session(options settings);

  /// Reads an object; nothing if it doesn't exist. Repeats the call while the platform is
  /// unavailable and the command's time isn't over.
  boost::leaf::result<std::optional<platform::stored_object>> Find(const std::string& name,
                                                                   std::string_view purpose);
  boost::leaf::result<std::vector<platform::stored_object>> List(const std::string& prefix,
                                                                 std::string_view purpose);
  /// One conditional write, not repeated.
  platform::store_result<std::uint64_t> Put(const std::string& name, const std::string& value,
                                            std::uint64_t expected_version);

  /// Waits before a repeated call, at least as long as the platform asked. Returns false at once if
  /// the command's time would be over by then.
  bool PauseAfter(const platform::store_error& error);

  /// Sends a request to a node's admin port.
  net::http_result Send(const support::socket_address& node, net::http_request request);
  /// Fetches one page of several nodes at the same time.
  std::vector<node_page> FetchAll(const std::vector<known_node>& nodes, const std::string& target);
  /// All nodes that the configured ones know and don't hold for dead, and the configured ones
  /// themselves.
  std::vector<known_node> DiscoverNodes();

 private:
  template <typename Value, typename Call>
  boost::leaf::result<std::optional<Value>> Repeat(std::string_view purpose, Call call);

  options options_;
  std::chrono::steady_clock::time_point end_;
  unsigned pauses_ = 0;
  net::fiber_runtime runtime_{1};
  platform::http_object_store store_;
  net::http_client client_;
};

/// The error for a platform call that failed for good.
boost::leaf::error_id PlatformError(std::string_view purpose, const platform::store_error& error);

}  // namespace siskinrack::control

#endif  // SISKINRACK_LIB_CONTROL_SESSION_H_
