#ifndef SISKINRACK_LIB_MESH_STORE_RECOVERY_H_
#define SISKINRACK_LIB_MESH_STORE_RECOVERY_H_

#include "mesh_context.h"

namespace siskinrack::mesh {

/// Suspends the calling fiber until the store answers. Polls it with stale reads, which cost a
/// tenth of other calls; the client's backoff sets the interval.
inline void WaitForStore(mesh_context& context) {
  const auto started_at = std::chrono::steady_clock::now();
  // Another fiber may have received an answer meanwhile.
  while (context.store.last_answer() <= started_at) {
    if (std::holds_alternative<std::uint64_t>(context.store.ReadRecentRevision())) return;
  }
}

}  // namespace siskinrack::mesh

#endif  // SISKINRACK_LIB_MESH_STORE_RECOVERY_H_
