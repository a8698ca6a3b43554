#include "object_table.h"

namespace siskinrack::test {

std::optional<table_object> object_table::Get(const std::string& name) const {
  const std::lock_guard lock(mutex_);
  const auto found = objects_.find(name);
  if (found == objects_.end()) return std::nullopt;
  return found->second;
}

std::optional<std::uint64_t> object_table::Put(const std::string& name, std::string value,
                                               std::uint64_t expected_version) {
  const std::lock_guard lock(mutex_);
  const auto found = objects_.find(name);
  const std::uint64_t current = found == objects_.end() ? 0 : found->second.version;
  if (current != expected_version) return std::nullopt;
  objects_[name] = {name, ++revision_, std::move(value)};
  return revision_;
}

bool object_table::Delete(const std::string& name, std::uint64_t expected_version) {
  const std::lock_guard lock(mutex_);
  const auto found = objects_.find(name);
  if (found == objects_.end() || found->second.version != expected_version) return false;
  objects_.erase(found);
  ++revision_;
  return true;
}

std::vector<table_object> object_table::List(std::string_view prefix,
                                             std::uint64_t newer_than) const {
  const std::lock_guard lock(mutex_);
  std::vector<table_object> list;
  for (auto entry = objects_.lower_bound(std::string(prefix)); entry != objects_.end(); ++entry) {
    if (!entry->first.starts_with(prefix)) break;
    if (entry->second.version > newer_than) list.push_back(entry->second);
  }
  return list;
}

std::uint64_t object_table::revision() const {
  const std::lock_guard lock(mutex_);
  return revision_;
}

}  // namespace siskinrack::test
