#ifndef SISKINRACK_LIB_NODE_ENDPOINT_CACHE_H_
#define SISKINRACK_LIB_NODE_ENDPOINT_CACHE_H_

#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "node_context.h"
#include "siskinrack/balancing/endpoint_tracker.h"
#include "siskinrack/balancing/selection.h"

namespace siskinrack::node {

struct endpoint {
  std::string node_id;
  support::socket_address address;
};

/// Endpoints of one service; `candidates` has the same order.
struct endpoint_list {
  std::vector<endpoint> endpoints;
  std::vector<balancing::candidate> candidates;
};

/// Endpoint lists by service and rank with parsed addresses and states, so that a request neither
/// copies nor parses member records. Each rank has states of its own, because an overload of one
/// rank gives it long waits and refusals that say nothing about the others. A list is made again
/// when the member table hands out another one.
class endpoint_cache {
 public:
  explicit endpoint_cache(node_context& context) : context_(context) {}

  std::shared_ptr<const endpoint_list> Find(std::string_view service, std::string_view rank);

 private:
  struct cached_list {
    std::mutex mutex;
    membership::endpoint_list source;
    std::shared_ptr<const endpoint_list> list;
  };

  std::shared_ptr<const endpoint_list> Make(const membership::endpoint_list& source,
                                            std::string_view rank);

  node_context& context_;
  balancing::endpoint_tracker tracker_;
  balancing::sharded_registry<cached_list> lists_;
  std::atomic<std::uint64_t> made_ = 0;
};

}  // namespace siskinrack::node

#endif  // SISKINRACK_LIB_NODE_ENDPOINT_CACHE_H_
