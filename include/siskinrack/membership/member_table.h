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

/// Digests of the buckets of a table; 0 for an empty bucket.
using bucket_digests = std::array<std::uint32_t, kBuckets>;

/// Immutable list of the live members that serve one service.
using endpoint_list = std::shared_ptr<const std::vector<member_record>>;

/// Stores the member records of this node in shards by node id, each with its own lock.
/// Thread-safe.
class member_table {
 public:
  /// Stores a record if it supersedes the stored one or there is none, and returns true if it did.
  /// The served version never decreases within one incarnation.
  bool Merge(const member_record& record);
  void Remove(std::string_view node_id);

  [[nodiscard]] std::optional<member_record> Find(std::string_view node_id) const;
  /// Returns the record of the member whose node id has this IdHash.
  [[nodiscard]] std::optional<member_record> FindByHash(std::uint32_t id_hash) const;
  /// Calls `read` with the record, without a copy and under the lock of its shard. Returns false if
  /// the table has no record of the member.
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
  /// Returns the records of one bucket.
  [[nodiscard]] std::vector<member_record> InBucket(std::size_t bucket) const;
  [[nodiscard]] std::size_t size() const;

  /// Returns the live members that serve `service`, never null. The list is cached, so that the
  /// call is cheap enough for each request.
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
  /// Adds a record to the digest of its bucket, or removes it if it was added before.
  static void ToggleInDigest(shard& part, const member_record& record);
  void InvalidateEndpoints(std::string_view service);
  [[nodiscard]] endpoint_list CollectEndpoints(std::string_view service) const;

  std::array<shard, kShards> shards_;
  mutable std::mutex cache_mutex_;
  mutable std::map<std::string, cached_endpoints, std::less<>> cache_;
};

}  // namespace siskinrack::membership

#endif  // SISKINRACK_MEMBERSHIP_MEMBER_TABLE_H_
