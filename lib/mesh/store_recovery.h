#ifndef SISKINRACK_LIB_MESH_STORE_RECOVERY_H_
#define SISKINRACK_LIB_MESH_STORE_RECOVERY_H_

#include "mesh_context.h"

namespace siskinrack::mesh {

/// Suspends the calling fiber until the store answers. It is asked with stale reads, which cost a
/// tenth of other calls; the client's backoff sets their pace.
inline void AwaitStore(mesh_context& context) {
  const auto begun = std::chrono::steady_clock::now();
  // Another fiber may have got an answer meanwhile.
  while (context.store.last_answer() <= begun) {
    if (std::holds_alternative<std::uint64_t>(context.store.RecentRevision())) return;
  }
}

}  // namespace siskinrack::mesh

#endif  // SISKINRACK_LIB_MESH_STORE_RECOVERY_H_
