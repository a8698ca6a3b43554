#ifndef SISKINRACK_BALANCING_SHARDED_REGISTRY_H_
#define SISKINRACK_BALANCING_SHARDED_REGISTRY_H_

#include <array>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

#include "siskinrack/balancing/endpoint_state.h"
#include "siskinrack/balancing/retry_budget.h"

namespace siskinrack::balancing {

/// Stores shared objects by name in shards with separate locks. Thread-safe.
template <typename Value>
class sharded_registry {
 public:
  /// Returns the object called `name`; constructs it from `arguments` if it does not exist.
  template <typename... Arguments>
  std::shared_ptr<Value> Get(std::string_view name, Arguments&&... arguments) {
    shard& selected = shards_[std::hash<std::string_view>{}(name) % kShards];
    const std::lock_guard lock(selected.mutex);
    const auto found = selected.values.find(name);
    if (found != selected.values.end()) return found->second;
    auto created = std::make_shared<Value>(std::forward<Arguments>(arguments)...);
    selected.values.emplace(name, created);
    return created;
  }

  /// Removes the objects without other owners, so that unused names take no memory.
  void DropUnused() {
    for (shard& current : shards_) {
      const std::lock_guard lock(current.mutex);
      std::erase_if(current.values,
                    [](const auto& entry) { return entry.second.use_count() == 1; });
    }
  }

 private:
  static constexpr std::size_t kShards = 16;
  struct shard {
    std::mutex mutex;
    std::map<std::string, std::shared_ptr<Value>, std::less<>> values;
  };
  std::array<shard, kShards> shards_;
};

/// Endpoint states by a key that identifies one lifetime of an endpoint, so that a restarted
/// upstream does not inherit the failures of its previous run.
using endpoint_tracker = sharded_registry<endpoint_state>;
/// Retry budgets by service.
using retry_budgets = sharded_registry<retry_budget>;

}  // namespace siskinrack::balancing

#endif  // SISKINRACK_BALANCING_SHARDED_REGISTRY_H_
