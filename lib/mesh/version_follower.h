#ifndef SISKINRACK_LIB_MESH_VERSION_FOLLOWER_H_
#define SISKINRACK_LIB_MESH_VERSION_FOLLOWER_H_

#include <functional>

#include "mesh_context.h"

namespace siskinrack::mesh {

/// Detects from the versions in calls and answers that other nodes have a newer configuration.
/// While the watch of the configuration is silent, this costs no call to the store, and unlike
/// stale reads it shows a change as soon as one node has it.
class version_follower {
 public:
  /// `read_store` reads the current configuration and returns false if the store doesn't answer. A
  /// newer version has `delay` to arrive by itself: longer than a feed takes to read it during
  /// a series of changes.
  version_follower(mesh_context& context, std::chrono::milliseconds delay,
                   std::function<bool()> read_store)
      : context_(context), delay_(delay), read_store_(std::move(read_store)) {}

  /// Records the version of another node.
  void OnSeen(std::uint64_t version) {
    if (version <= context_.version() || version <= refuted_) return;
    if (std::exchange(waiting_, true)) return;
    // During a series, newer versions are seen before this one has arrived.
    net::Spawn([this, version] {
      net::SleepFor(delay_);
      // A version that the store doesn't have is not looked for again.
      if (version > context_.version() && read_store_()) refuted_ = version;
      waiting_ = false;
    });
  }

 private:
  mesh_context& context_;
  std::chrono::milliseconds delay_;
  std::function<bool()> read_store_;
  /// Version up to which the store has been read.
  std::uint64_t refuted_ = 0;
  /// True while a fiber waits for the version to arrive, or reads it.
  bool waiting_ = false;
};

}  // namespace siskinrack::mesh

#endif  // SISKINRACK_LIB_MESH_VERSION_FOLLOWER_H_
