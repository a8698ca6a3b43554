#ifndef SISKINRACK_LIB_MESH_UNREADABLE_OBJECTS_H_
#define SISKINRACK_LIB_MESH_UNREADABLE_OBJECTS_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "siskinrack/support/event_log.h"
#include "siskinrack/support/metrics.h"

namespace siskinrack::mesh {

/// Logs and counts the objects of the store that are left out because they can't be read. Not
/// thread-safe.
class unreadable_objects {
 public:
  explicit unreadable_objects(support::event_log& log) : log_(log) {}

  /// Records an object; `name` is empty and `revision` is 0 if these can't be read either.
  void Add(std::string_view kind, std::string_view name, std::uint64_t revision,
           std::string_view problem) {
    ++counts_[std::string(kind)];
    log_.Warn("object_unreadable",
              {{"kind", kind}, {"name", name}, {"revision", revision}, {"findings", problem}});
  }

  /// Returns the number of recorded objects of a kind.
  [[nodiscard]] std::uint64_t Count(std::string_view kind) const {
    const auto found = counts_.find(kind);
    return found == counts_.end() ? 0 : found->second;
  }

  void AppendMetrics(support::metrics_page& page) const {
    page.AddMetric("siskinrack_unreadable_objects_total", "counter",
                   "objects of the platform's store that were left out");
    for (const auto& [kind, count] : counts_) {
      page.AddSample("siskinrack_unreadable_objects_total", {{"kind", kind}},
                     static_cast<double>(count));
    }
  }

 private:
  support::event_log& log_;
  std::map<std::string, std::uint64_t, std::less<>> counts_;
};

}  // namespace siskinrack::mesh

#endif  // SISKINRACK_LIB_MESH_UNREADABLE_OBJECTS_H_
