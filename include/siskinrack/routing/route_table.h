#ifndef SISKINRACK_ROUTING_ROUTE_TABLE_H_
#define SISKINRACK_ROUTING_ROUTE_TABLE_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "siskinrack/routing/configuration.h"

namespace siskinrack::routing {

/// Distributes requests over the targets of a route by smooth weighted round robin, which keeps the
/// shares over short sequences of requests too. Not thread-safe.
class weighted_split {
 public:
  /// Starts the sequence at a position determined by `random`; otherwise nodes that start at the
  /// same time would send their first requests to the same target.
  weighted_split(const std::vector<weighted_service>& targets, std::uint64_t random);

  /// Returns the index of the next target; 0 if no target has a weight above 0.
  std::size_t Next();

 private:
  std::vector<std::int64_t> weights_;
  std::vector<std::int64_t> credits_;
  std::int64_t total_ = 0;
};

/// Indexes the routes of one configuration by host and path prefix.
class route_table {
 public:
  /// Indexes the routes of `config`. If several have the same host and prefix, the first applies.
  explicit route_table(configuration config);

  [[nodiscard]] const configuration& config() const { return config_; }
  /// Returns the route of `host` with the longest prefix of the path of `target`, or null. Ignores
  /// the case and port of `host` and the query of `target`.
  [[nodiscard]] const route* Match(std::string_view host, std::string_view target) const;
  /// Returns the service called `name`, or null.
  [[nodiscard]] const service* FindService(std::string_view name) const;
  /// Returns the tenant that holds the API key `key`, or null.
  [[nodiscard]] const tenancy::tenant* FindTenant(std::string_view key) const;
  /// Returns the tenant called `name`, or null.
  [[nodiscard]] const tenancy::tenant* FindTenantByName(std::string_view name) const;

 private:
  struct text_hash {
    using is_transparent = void;
    std::size_t operator()(std::string_view text) const {
      return std::hash<std::string_view>{}(text);
    }
  };
  using prefix_map = std::unordered_map<std::string, std::size_t, text_hash, std::equal_to<>>;

  configuration config_;
  tenancy::key_table keys_;
  std::unordered_map<std::string, std::size_t, text_hash, std::equal_to<>> tenant_by_name_;
  /// Indices into the routes, by normalized host and prefix.
  std::unordered_map<std::string, prefix_map, text_hash, std::equal_to<>> hosts_;
};

}  // namespace siskinrack::routing

#endif  // SISKINRACK_ROUTING_ROUTE_TABLE_H_
