#include "siskinrack/membership/member_table.h"

#include <algorithm>

namespace siskinrack::membership {

void member_table::ToggleInDigest(shard& part, const member_record& record) {
  if (IsGone(record)) return;
  const std::size_t bucket = BucketIndex(IdHash(record.node_id));
  part.digests[bucket % kBucketsPerShard] ^= StateDigest(record);
}

bool member_table::Merge(const member_record& record) {
  const std::uint32_t id_hash = IdHash(record.node_id);
  std::string former_service;
  {
    shard& part = ShardFor(id_hash);
    const std::lock_guard lock(part.mutex);
    const auto [found, inserted] = part.records.try_emplace(id_hash, record);
    if (!inserted) {
      member_record& known = found->second;
      // If two node ids have the same hash, the record stored first stays.
      if (known.node_id != record.node_id || !Supersedes(record, known)) return false;
      ToggleInDigest(part, known);
      const bool same_incarnation = known.incarnation == record.incarnation;
      const std::uint64_t served = same_incarnation ? known.served_version : 0;
      former_service = known.service;
      known = record;
      known.served_version = std::max(served, record.served_version);
    }
    ToggleInDigest(part, found->second);
  }
  if (former_service != record.service) InvalidateEndpoints(former_service);
  InvalidateEndpoints(record.service);
  return true;
}

void member_table::Remove(std::string_view node_id) {
  const std::uint32_t id_hash = IdHash(node_id);
  std::string service;
  {
    shard& part = ShardFor(id_hash);
    const std::lock_guard lock(part.mutex);
    const auto found = part.records.find(id_hash);
    if (found == part.records.end() || found->second.node_id != node_id) return;
    ToggleInDigest(part, found->second);
    service = found->second.service;
    part.records.erase(found);
  }
  InvalidateEndpoints(service);
}

std::optional<member_record> member_table::Find(std::string_view node_id) const {
  auto record = FindByHash(IdHash(node_id));
  if (!record || record->node_id != node_id) return std::nullopt;
  return record;
}

std::optional<member_record> member_table::FindByHash(std::uint32_t id_hash) const {
  const shard& part = ShardFor(id_hash);
  const std::lock_guard lock(part.mutex);
  const auto found = part.records.find(id_hash);
  if (found == part.records.end()) return std::nullopt;
  return found->second;
}

std::vector<member_record> member_table::All() const {
  std::vector<member_record> list;
  for (const shard& part : shards_) {
    const std::lock_guard lock(part.mutex);
    for (const auto& [id_hash, record] : part.records) list.push_back(record);
  }
  // The records are compared and printed in the order of node ids.
  std::sort(list.begin(), list.end(),
            [](const auto& a, const auto& b) { return a.node_id < b.node_id; });
  return list;
}

std::vector<member_record> member_table::InBucket(std::size_t bucket) const {
  std::vector<member_record> list;
  const shard& part = shards_.at(bucket / kBucketsPerShard);
  const std::lock_guard lock(part.mutex);
  for (const auto& [id_hash, record] : part.records) {
    if (BucketIndex(id_hash) == bucket) list.push_back(record);
  }
  return list;
}

std::size_t member_table::size() const {
  std::size_t count = 0;
  for (const shard& part : shards_) {
    const std::lock_guard lock(part.mutex);
    count += part.records.size();
  }
  return count;
}

void member_table::InvalidateEndpoints(std::string_view service) {
  if (service.empty()) return;
  const std::lock_guard lock(cache_mutex_);
  const auto found = cache_.find(service);
  if (found == cache_.end()) return;
  ++found->second.generation;
  found->second.list = nullptr;
}

endpoint_list member_table::CollectEndpoints(std::string_view service) const {
  auto list = std::make_shared<std::vector<member_record>>();
  for (const shard& part : shards_) {
    const std::lock_guard lock(part.mutex);
    for (const auto& [id_hash, record] : part.records) {
      if (record.service == service && IsEndpoint(record)) list->push_back(record);
    }
  }
  return list;
}

endpoint_list member_table::Endpoints(std::string_view service) const {
  std::uint64_t generation = 0;
  {
    const std::lock_guard lock(cache_mutex_);
    auto found = cache_.find(service);
    // The cache can't grow without bound: only services of the configuration are looked up.
    if (found == cache_.end())
      found = cache_.emplace(std::string(service), cached_endpoints{}).first;
    if (found->second.list != nullptr) return found->second.list;
    generation = found->second.generation;
  }
  auto list = CollectEndpoints(service);
  const std::lock_guard lock(cache_mutex_);
  cached_endpoints& cached = cache_.find(service)->second;
  // The list may lack a change made during the collection and must not be cached then.
  if (cached.generation == generation) cached.list = list;
  return list;
}

bucket_digests member_table::Buckets() const {
  bucket_digests digests{};
  for (std::size_t i = 0; i < kShards; ++i) {
    const std::lock_guard lock(shards_[i].mutex);
    std::copy(shards_[i].digests.begin(), shards_[i].digests.end(),
              digests.begin() + static_cast<std::ptrdiff_t>(i * kBucketsPerShard));
  }
  return digests;
}

std::uint64_t member_table::Digest() const {
  constexpr std::uint64_t kPrime = 0x100000001b3ULL;
  std::uint64_t digest = 0;
  for (const std::uint32_t bucket : Buckets()) digest = (digest ^ bucket) * kPrime;
  return digest;
}

}  // namespace siskinrack::membership
