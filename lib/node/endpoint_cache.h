#ifndef SISKINRACK_LIB_NODE_ENDPOINT_CACHE_H_
#define SISKINRACK_LIB_NODE_ENDPOINT_CACHE_H_

#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "node_context.h"
#include "siskinrack/balancing/selection.h"
#include "siskinrack/balancing/sharded_registry.h"

namespace siskinrack::node {

/// Represents a node that serves a service.
struct endpoint {
  std::string node_id;
  support::socket_address address;
};

/// Represents the endpoints of one service. `candidates` has the same order as `endpoints`.
struct endpoint_list {
  std::vector<endpoint> endpoints;
  std::vector<balancing::candidate> candidates;
};

/// Caches endpoint lists by service and rank, with parsed addresses and endpoint states, so that a
/// request neither copies nor parses member records. Each rank has its own states, because an
/// overload of one rank causes long waits and refusals for calls of that rank only. A list is
/// rebuilt when the member table returns a different list. Thread-safe.
class endpoint_cache {
 public:
  explicit endpoint_cache(node_context& context) : context_(context) {}

  /// Returns the current endpoints of a service for a rank. The list is empty if there are none.
  std::shared_ptr<const endpoint_list> Find(std::string_view service, std::string_view rank);

 private:
  struct cached_list {
    std::mutex mutex;
    membership::endpoint_list source;
    std::shared_ptr<const endpoint_list> list;
  };

  std::shared_ptr<const endpoint_list> BuildList(const membership::endpoint_list& source,
                                                 std::string_view rank);

  node_context& context_;
  balancing::endpoint_tracker tracker_;
  balancing::sharded_registry<cached_list> lists_;
  std::atomic<std::uint64_t> lists_built_ = 0;
};

}  // namespace siskinrack::node

#endif  // SISKINRACK_LIB_NODE_ENDPOINT_CACHE_H_
