#ifndef SISKINRACK_LIB_CONTROL_CONTROL_CLIENT_H_
#define SISKINRACK_LIB_CONTROL_CONTROL_CLIENT_H_

#include <boost/leaf/result.hpp>
#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "siskinrack/platform/http_object_store.h"

namespace siskinrack::control {

/// Describes a node by the data that other nodes report about it.
struct node_info {
  support::socket_address admin_address;
  /// Empty if no node reported it.
  std::string node_id;
  /// Empty if no node reported it.
  std::string failure_domain;
};

/// Holds the body of a page of a node's admin API; no body unless the node responded with status
/// 200.
struct node_page {
  node_info node;
  std::optional<std::string> body;
};

/// Provides one command with blocking access to the platform and the nodes. Each call runs in a
/// fiber of the runtime while the calling thread waits, so the command's own code never switches
/// fibers and can use LEAF, which keeps errors in thread-local storage.
class control_client {
 public:
  struct options {
    support::socket_address platform;
    std::vector<support::socket_address> nodes;
    /// Time from construction to the command's deadline, after which no platform call is retried.
    /// Also an upper bound of the time limit of each platform call. Requests to nodes have a limit
    /// of their own.
    std::chrono::milliseconds timeout;
  };

  explicit control_client(options settings);

  /// Reads an object. Returns std::nullopt if it doesn't exist. Retries until the command's
  /// deadline while the platform is unavailable or limits the rate, and then returns the error of
  /// MakePlatformError. `operation` describes the call in errors.
  boost::leaf::result<std::optional<platform::stored_object>> FindObject(
      const std::string& name, std::string_view operation);
  /// Lists the objects whose names start with `prefix`. Retries like FindObject.
  boost::leaf::result<std::vector<platform::stored_object>> ListObjects(const std::string& prefix,
                                                                        std::string_view operation);
  /// Writes an object if its version is `expected_version`, or creates it for
  /// platform::kMustNotExist. Returns the new version or an error. Makes one attempt.
  platform::store_result<std::uint64_t> PutObject(const std::string& name, const std::string& value,
                                                  std::uint64_t expected_version);

  /// Blocks for the backoff before a retry, at least for the platform's Retry-After. Returns false
  /// immediately if the wait would reach the command's deadline.
  bool WaitBeforeRetry(const platform::store_error& error);

  /// Sends a request to a node's admin address. Makes one attempt with a time limit of 2 s.
  net::http_result SendToNode(const support::socket_address& node, net::http_request request);
  /// Fetches the page `target` from several nodes concurrently, with one attempt and a time limit
  /// of 2 s for each. Results are in the order of `nodes`.
  std::vector<node_page> FetchPages(const std::vector<node_info>& nodes, const std::string& target);
  /// Returns the configured nodes and all nodes that they report as members and not as dead, sorted
  /// by node id. Nodes without a reported id come first.
  std::vector<node_info> DiscoverNodes();

 private:
  template <typename Value, typename Call>
  boost::leaf::result<std::optional<Value>> CallWithRetry(std::string_view operation, Call call);

  options options_;
  std::chrono::steady_clock::time_point deadline_;
  unsigned retries_ = 0;
  net::fiber_runtime runtime_{1};
  platform::http_object_store store_;
  net::http_client http_client_;
};

/// Returns the error for a platform call that failed and isn't retried, with exit code
/// support::kExitFindings.
boost::leaf::error_id MakePlatformError(std::string_view operation,
                                        const platform::store_error& error);

}  // namespace siskinrack::control

#endif  // SISKINRACK_LIB_CONTROL_CONTROL_CLIENT_H_
