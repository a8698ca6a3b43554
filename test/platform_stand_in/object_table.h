#ifndef SISKINRACK_TEST_PLATFORM_STAND_IN_OBJECT_TABLE_H_
#define SISKINRACK_TEST_PLATFORM_STAND_IN_OBJECT_TABLE_H_

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace siskinrack::test {

/// Holds one object of the platform stand-in with its current version.
struct table_object {
  std::string name;
  std::uint64_t version = 0;
  std::string value;
};

/// Stores the objects of the platform stand-in. Every write increments the revision, which becomes
/// the version of the written object. Thread-safe.
class object_table {
 public:
  [[nodiscard]] std::optional<table_object> Get(const std::string& name) const;
  /// Writes an object if its current version is `expected_version`, where 0 means that it must not
  /// exist. Returns the new version, or std::nullopt on conflict.
  std::optional<std::uint64_t> Put(const std::string& name, std::string value,
                                   std::uint64_t expected_version);
  /// Deletes an object if its current version is `expected_version`. Returns false on conflict or
  /// if it doesn't exist.
  bool Delete(const std::string& name, std::uint64_t expected_version);
  /// Returns the objects whose names start with `prefix` and whose versions are above `newer_than`,
  /// sorted by name.
  [[nodiscard]] std::vector<table_object> List(std::string_view prefix,
                                               std::uint64_t newer_than = 0) const;
  [[nodiscard]] std::uint64_t revision() const;

 private:
  mutable std::mutex mutex_;
  std::map<std::string, table_object> objects_;
  std::uint64_t revision_ = 0;
};

}  // namespace siskinrack::test

#endif  // SISKINRACK_TEST_PLATFORM_STAND_IN_OBJECT_TABLE_H_
