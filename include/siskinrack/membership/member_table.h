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

/// Digest of each bucket of a table; 0 for an empty bucket.
using bucket_digests = std::array<std::uint32_t, kBuckets>;

/// Live members that serve one service. The list never changes once it is handed out.
using endpoint_list = std::shared_ptr<const std::vector<member_record>>;

/// Everything that this node knows of the members, in shards by node id, each under its own lock.
/// Safe for use from several threads.
class member_table {
 public:
  /// Takes a record over if it supersedes the known one. Returns whether it did. The served version
  /// never decreases within one incarnation.
  bool Merge(const member_record& record);
  void Remove(std::string_view node_id);

  [[nodiscard]] std::optional<member_record> Find(std::string_view node_id) const;
  /// Finds a member by IdHash of its node id.
  [[nodiscard]] std::optional<member_record> FindByHash(std::uint32_t id_hash) const;
  /// Calls `read` with the record under the lock of its shard, without a copy. Returns false if the
  /// member isn't known.
  template <typename Function>
  bool Read(std::string_view node_id, Function&& read) const {
    const std::uint32_t id_hash = IdHash(node_id);
    const shard& part = ShardOf(id_hash);
    const std::lock_guard lock(part.mutex);
    const auto found = part.records.find(id_hash);
    if (found == part.records.end() || found->second.node_id != node_id) return false;
    std::forward<Function>(read)(found->second);
    return true;
  }
  [[nodiscard]] std::vector<member_record> All() const;
  /// Records of one bucket.
  [[nodiscard]] std::vector<member_record> InBucket(std::size_t bucket) const;
  [[nodiscard]] std::size_t size() const;

  /// Live members that serve `service`; cheap enough for each request. Never null.
  [[nodiscard]] endpoint_list Endpoints(std::string_view service) const;

  /// Order-independent digest of the members that are neither dead nor have left.
  [[nodiscard]] std::uint64_t Digest() const;
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

  [[nodiscard]] shard& ShardOf(std::uint32_t id_hash) {
    return shards_[BucketOf(id_hash) / kBucketsPerShard];
  }
  [[nodiscard]] const shard& ShardOf(std::uint32_t id_hash) const {
    return shards_[BucketOf(id_hash) / kBucketsPerShard];
  }
  static void Toggle(shard& part, const member_record& record);
  void Invalidate(std::string_view service);
  [[nodiscard]] endpoint_list CollectEndpoints(std::string_view service) const;

  std::array<shard, kShards> shards_;
  mutable std::mutex cache_mutex_;
  mutable std::map<std::string, cached_endpoints, std::less<>> cache_;
};

}  // namespace siskinrack::membership

#endif  // SISKINRACK_MEMBERSHIP_MEMBER_TABLE_H_
