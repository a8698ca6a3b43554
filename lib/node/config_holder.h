#ifndef SISKINRACK_LIB_NODE_CONFIG_HOLDER_H_
#define SISKINRACK_LIB_NODE_CONFIG_HOLDER_H_

#include <atomic>

#include "siskinrack/distribution/config_snapshot.h"

namespace siskinrack::node {

using distribution::config_snapshot;
using distribution::config_snapshot_ptr;

/// Holds the active configuration. A reader obtains one pointer, so that it uses a single complete
/// version. Thread-safe.
class config_holder {
 public:
  config_holder();

  [[nodiscard]] config_snapshot_ptr Current() const { return current_.load(); }

  /// Replaces the active snapshot by a checked one if that is newer. Returns true if it was
  /// replaced.
  bool Activate(const config_snapshot_ptr& next);

 private:
  std::atomic<config_snapshot_ptr> current_;
};

}  // namespace siskinrack::node

#endif  // SISKINRACK_LIB_NODE_CONFIG_HOLDER_H_
