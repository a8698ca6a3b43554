#ifndef SISKINRACK_TENANCY_KEY_TABLE_H_
#define SISKINRACK_TENANCY_KEY_TABLE_H_

#include <array>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace siskinrack::tenancy {

/// SHA-256 digest of an API key. Keys themselves are not kept in memory.
using key_digest = std::array<std::uint8_t, 32>;

/// Returns the SHA-256 digest of a key.
key_digest ComputeKeyDigest(std::string_view key);

/// Describes a tenant, a group of callers that share API keys, a priority and a usage cap.
struct tenant {
  std::string name;
  std::vector<key_digest> keys;
  /// Replaces the priority of the route; std::nullopt keeps the route's.
  std::optional<std::uint32_t> priority;
  /// Requests per second over all nodes; 0 means no cap.
  double rate_per_second = 0;
  /// Requests that may exceed the rate after a lull.
  double burst = 0;

  bool operator==(const tenant&) const = default;
};

/// Finds tenants by API key. A lookup hashes the presented key, so its duration doesn't depend on
/// how much of a valid key the presented one matches.
class key_table {
 public:
  /// Indexes the keys of `tenants`. A key that several of them hold belongs to the first.
  explicit key_table(std::span<const tenant> tenants);

  /// Returns the index of the tenant that holds `key`, or std::nullopt.
  [[nodiscard]] std::optional<std::size_t> Find(std::string_view key) const;

 private:
  struct digest_hash {
    std::size_t operator()(const key_digest& digest) const;
  };

  std::unordered_map<key_digest, std::size_t, digest_hash> tenant_by_digest_;
};

}  // namespace siskinrack::tenancy

#endif  // SISKINRACK_TENANCY_KEY_TABLE_H_
