#ifndef SISKINRACK_BALANCING_ENDPOINT_TRACKER_H_
#define SISKINRACK_BALANCING_ENDPOINT_TRACKER_H_

#include <array>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

#include "siskinrack/balancing/endpoint_state.h"
#include "siskinrack/balancing/retry_budget.h"

namespace siskinrack::balancing {

/// Shared objects by name, in shards under their own locks.
template <typename Value>
class sharded_registry {
 public:
  /// The object of `name`, made from `arguments` if there is none.
  template <typename... Arguments>
  std::shared_ptr<Value> Get(std::string_view name, Arguments&&... arguments) {
    shard& own = shards_[std::hash<std::string_view>{}(name) % kShards];
    const std::lock_guard lock(own.mutex);
    const auto found = own.items.find(name);
    if (found != own.items.end()) return found->second;
    auto made = std::make_shared<Value>(std::forward<Arguments>(arguments)...);
    own.items.emplace(name, made);
    return made;
  }

  /// Drops the objects that nobody else holds, so that names out of use need no memory.
  void DropUnused() {
    for (shard& item : shards_) {
      const std::lock_guard lock(item.mutex);
      std::erase_if(item.items, [](const auto& entry) { return entry.second.use_count() == 1; });
    }
  }

 private:
  static constexpr std::size_t kShards = 16;
  struct shard {
    std::mutex mutex;
    std::map<std::string, std::shared_ptr<Value>, std::less<>> items;
  };
  std::array<shard, kShards> shards_;
};

/// Endpoint states by node id.
using endpoint_tracker = sharded_registry<endpoint_state>;
/// Retry budgets by service.
using retry_budgets = sharded_registry<retry_budget>;

}  // namespace siskinrack::balancing

#endif  // SISKINRACK_BALANCING_ENDPOINT_TRACKER_H_
