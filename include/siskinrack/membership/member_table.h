#ifndef SISKINRACK_MEMBERSHIP_MEMBER_TABLE_H_
#define SISKINRACK_MEMBERSHIP_MEMBER_TABLE_H_

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "siskinrack/membership/member_record.h"

namespace siskinrack::membership {

/// Represents the digest of each bucket of a table. Dead and departed members don't count; the
/// digest of a bucket without other members is 0.
using bucket_digests = std::array<std::uint32_t, kBuckets>;

/// Represents an immutable list of the endpoints (see IsEndpoint) of one service.
using endpoint_list = std::shared_ptr<const std::vector<member_record>>;

/// Stores the member records that this node holds, in shards by node id, each with its own lock.
/// Thread-safe.
class member_table {
 public:
  /// Stores a record if it supersedes the stored one or there is none, and returns true if it did.
  /// The served version never decreases within one incarnation. A record whose node id has the same
  /// IdHash as another one in the table is not stored.
  bool Merge(const member_record& record);
  /// Removes the record of a member, if there is one.
  void Remove(std::string_view node_id);

  /// Returns the record of a member, or std::nullopt if there is none.
  [[nodiscard]] std::optional<member_record> Find(std::string_view node_id) const;
  /// Returns the record of the member whose node id has this IdHash, or std::nullopt if there is
  /// none.
  [[nodiscard]] std::optional<member_record> FindByHash(std::uint32_t id_hash) const;
  /// Calls `read` with the record of a member, without a copy and under the lock of its shard, so
  /// that `read` must not call the table. Returns false if the table has no record of the member.
  template <typename Function>
  bool Read(std::string_view node_id, Function&& read) const {
    const std::uint32_t id_hash = IdHash(node_id);
    const shard& part = ShardFor(id_hash);
    const std::lock_guard lock(part.mutex);
    const auto found = part.records.find(id_hash);
    if (found == part.records.end() || found->second.node_id != node_id) return false;
    std::forward<Function>(read)(found->second);
    return true;
  }
  /// Returns all records, sorted by node id.
  [[nodiscard]] std::vector<member_record> All() const;
  /// Returns the records of one bucket. `bucket` must be less than kBuckets.
  [[nodiscard]] std::vector<member_record> InBucket(std::size_t bucket) const;
  /// Returns the number of records.
  [[nodiscard]] std::size_t size() const;

  /// Returns the endpoints of `service`, never null. The list is cached, so that the call is cheap
  /// enough for each request. `service` must be a service of the configuration, since its cache
  /// entry is never removed.
  [[nodiscard]] endpoint_list Endpoints(std::string_view service) const;

  /// Returns a digest of the members that are neither dead nor have left, independent of the order
  /// of merges.
  [[nodiscard]] std::uint64_t Digest() const;
  /// Returns the digest of each bucket.
  [[nodiscard]] bucket_digests Buckets() const;

 private:
  static constexpr std::size_t kShards = 16;
  static constexpr std::size_t kBucketsPerShard = kBuckets / kShards;

  struct shard {
    mutable std::mutex mutex;
    std::map<std::uint32_t, member_record> records;
    std::array<std::uint32_t, kBucketsPerShard> digests{};
  };
  struct cached_endpoints {
    std::uint64_t generation = 0;
    endpoint_list list;
  };

  [[nodiscard]] shard& ShardFor(std::uint32_t id_hash) {
    return shards_[BucketIndex(id_hash) / kBucketsPerShard];
  }
  [[nodiscard]] const shard& ShardFor(std::uint32_t id_hash) const {
    return shards_[BucketIndex(id_hash) / kBucketsPerShard];
  }
  /// Adds a record to the digest of its bucket, or removes it if it was added before. Ignores dead
  /// and departed members. The lock of the shard must be held.
  static void ToggleInDigest(shard& part, const member_record& record);
  void InvalidateEndpoints(std::string_view service);
  [[nodiscard]] endpoint_list CollectEndpoints(std::string_view service) const;

  std::array<shard, kShards> shards_;
  mutable std::mutex cache_mutex_;
  mutable std::map<std::string, cached_endpoints, std::less<>> cache_;
};

}  // namespace siskinrack::membership

#endif  // SISKINRACK_MEMBERSHIP_MEMBER_TABLE_H_
