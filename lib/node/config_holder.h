#ifndef SISKINRACK_LIB_NODE_CONFIG_HOLDER_H_
#define SISKINRACK_LIB_NODE_CONFIG_HOLDER_H_

#include <atomic>

#include "siskinrack/distribution/config_snapshot.h"

namespace siskinrack::node {

using distribution::config_snapshot;
using distribution::config_snapshot_ptr;

/// The configuration in force. Readers take one pointer and see one whole version.
class config_holder {
 public:
  config_holder();

  [[nodiscard]] config_snapshot_ptr Current() const { return current_.load(); }

  /// Swaps in a checked snapshot if it's newer than the one in force. Returns whether it did.
  bool Activate(const config_snapshot_ptr& next);

 private:
  std::atomic<config_snapshot_ptr> current_;
};

}  // namespace siskinrack::node

#endif  // SISKINRACK_LIB_NODE_CONFIG_HOLDER_H_
