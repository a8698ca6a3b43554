#include "siskinrack/distribution/witness_table.h"

#include <algorithm>

namespace siskinrack::distribution {

void witness_table::Clear() {
  const std::lock_guard lock(mutex_);
  versions_.clear();
  oldest_first_.clear();
}

void witness_table::Record(std::string_view node_id, std::uint64_t version) {
  const std::lock_guard lock(mutex_);
  const auto found = versions_.find(node_id);
  if (found != versions_.end()) {
    found->second = std::max(found->second, version);
    return;
  }
  versions_.emplace(node_id, version);
  oldest_first_.emplace_back(node_id);
  if (oldest_first_.size() <= kMaxNodes) return;
  versions_.erase(oldest_first_.front());
  oldest_first_.pop_front();
}

std::optional<std::uint64_t> witness_table::Find(std::string_view node_id) const {
  const std::lock_guard lock(mutex_);
  const auto found = versions_.find(node_id);
  if (found == versions_.end()) return std::nullopt;
  return found->second;
}

}  // namespace siskinrack::distribution
