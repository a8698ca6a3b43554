#ifndef SISKINRACK_DISTRIBUTION_WITNESS_TABLE_H_
#define SISKINRACK_DISTRIBUTION_WITNESS_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

namespace siskinrack::distribution {

/// Stores for each node the highest version that it served or was about to serve, over all of its
/// restarts. Unlike a member record, an entry is never replaced by a lower version. Thread-safe.
class witness_table {
 public:
  /// Maximum number of entries, which limits the memory. 550 nodes with 35 replacements a day reach
  /// it after about three months; from then on the oldest entry is removed for each new one.
  static constexpr std::size_t kMaxNodes = 4096;

  void Clear();
  /// Records `version` unless a higher one is recorded.
  void Record(std::string_view node_id, std::uint64_t version);
  /// Returns the recorded version of a node, or std::nullopt if there is none.
  [[nodiscard]] std::optional<std::uint64_t> Find(std::string_view node_id) const;

 private:
  mutable std::mutex mutex_;
  std::map<std::string, std::uint64_t, std::less<>> versions_;
  std::deque<std::string> oldest_first_;
};

}  // namespace siskinrack::distribution

#endif  // SISKINRACK_DISTRIBUTION_WITNESS_TABLE_H_
