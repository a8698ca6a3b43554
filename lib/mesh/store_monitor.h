#ifndef SISKINRACK_LIB_MESH_STORE_MONITOR_H_
#define SISKINRACK_LIB_MESH_STORE_MONITOR_H_

#include <chrono>
#include <functional>

#include "mesh_context.h"

namespace siskinrack::mesh {

/// Finds out that the store, or a connection to it, has gone silent while watch calls wait. A watch
/// that waits long costs least but can't tell silence from a quiet time; a cheap read can.
class store_monitor {
 public:
  /// `seen` is the newest revision that a feed has seen; `interrupt` ends the waiting watch calls.
  store_monitor(mesh_context& context, std::function<std::uint64_t()> seen,
                std::function<void()> interrupt)
      : context_(context), seen_(std::move(seen)), interrupt_(std::move(interrupt)) {}

  /// Runs for the life of the process, in a fiber of its own.
  void Run() {
    while (true) {
      net::SleepFor(kInterval);
      // Any answer shows that the store is there.
      if (std::chrono::steady_clock::now() - context_.store.last_answer() < kInterval) continue;
      if (Probe()) continue;
      // A watch call may just be bringing the change.
      net::SleepFor(kDoubtPause);
      if (Probe()) continue;
      context_.log.Warn("watch_deaf", {{"seen", seen_()}});
      interrupt_();
    }
  }

 private:
  /// With the time of a call, silence is noticed well within the 3 s after which the platform
  /// counts the store as stable again.
  static constexpr std::chrono::milliseconds kInterval{1'500};

  static constexpr std::chrono::milliseconds kDoubtPause{300};

  /// False if the store has changes that no feed has seen.
  bool Probe() {
    const auto result = context_.store.RecentRevision();
    if (const auto* error = std::get_if<fleet::store_error>(&result)) {
      context_.log.Info("store_probe_failed",
                        {{"error", platform::Name(error->code)}, {"detail", error->message}});
      interrupt_();
      return true;
    }
    return std::get<std::uint64_t>(result) <= seen_();
  }

  mesh_context& context_;
  std::function<std::uint64_t()> seen_;
  std::function<void()> interrupt_;
};

}  // namespace siskinrack::mesh

#endif  // SISKINRACK_LIB_MESH_STORE_MONITOR_H_
