#ifndef SISKINRACK_LIB_MESH_STORE_MONITOR_H_
#define SISKINRACK_LIB_MESH_STORE_MONITOR_H_

#include <chrono>
#include <functional>

#include "mesh_context.h"

namespace siskinrack::mesh {

/// Detects that the store, or a connection to it, has stopped answering while watch calls wait. A
/// watch with a long wait costs least, but while it waits, a store that doesn't answer looks like a
/// store without changes. A cheap read of the store's revision distinguishes them.
class store_monitor {
 public:
  /// `seen_revision` returns the newest revision that a feed has received; `interrupt_watches`
  /// cancels the waiting watch calls.
  store_monitor(mesh_context& context, std::function<std::uint64_t()> seen_revision,
                std::function<void()> interrupt_watches)
      : context_(context),
        seen_revision_(std::move(seen_revision)),
        interrupt_watches_(std::move(interrupt_watches)) {}

  /// Runs until the process ends, in a fiber of its own.
  void Run() {
    while (true) {
      net::SleepFor(kInterval);
      // A recent answer to any call shows that the store is available.
      if (std::chrono::steady_clock::now() - context_.store.last_answer() < kInterval) continue;
      if (CheckCaughtUp()) continue;
      // A watch call may be about to deliver the change.
      net::SleepFor(kRecheckDelay);
      if (CheckCaughtUp()) continue;
      context_.log.Warn("watch_deaf", {{"seen", seen_revision_()}});
      interrupt_watches_();
    }
  }

 private:
  /// Time without an answer of the store after which it is checked. Together with the duration of
  /// the check, well below 3 s, after which the platform counts the store as stable again.
  static constexpr std::chrono::milliseconds kInterval{1'500};

  static constexpr std::chrono::milliseconds kRecheckDelay{300};

  /// Returns false if the store has changes that no feed has received. If the store can't be read,
  /// interrupts the watch calls and returns true.
  bool CheckCaughtUp() {
    const auto result = context_.store.ReadRecentRevision();
    if (const auto* error = std::get_if<platform_adapter::store_error>(&result)) {
      context_.log.Info("store_probe_failed",
                        {{"error", platform::ToText(error->code)}, {"detail", error->message}});
      interrupt_watches_();
      return true;
    }
    return std::get<std::uint64_t>(result) <= seen_revision_();
  }

  mesh_context& context_;
  std::function<std::uint64_t()> seen_revision_;
  std::function<void()> interrupt_watches_;
};

}  // namespace siskinrack::mesh

#endif  // SISKINRACK_LIB_MESH_STORE_MONITOR_H_
