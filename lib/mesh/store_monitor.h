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
      Probe();
    }
  }

 private:
  /// With the time of a call, silence is noticed well within the 3 s after which the platform
  /// counts the store as stable again.
  static constexpr std::chrono::milliseconds kInterval{1'500};

  void Probe() {
    const auto result = context_.store.RecentRevision();
    if (const auto* error = std::get_if<fleet::store_error>(&result)) {
      context_.log.Info("store_probe_failed",
                        {{"error", platform::Name(error->code)}, {"detail", error->message}});
      interrupt_();
      return;
    }
    const std::uint64_t revision = std::get<std::uint64_t>(result);
    if (revision <= seen_()) return;
    // A change that no watch call has brought by the next probe is one that they will not bring.
    if (missed_ != 0 && seen_() < missed_) {
      context_.log.Warn("watch_deaf", {{"revision", revision}, {"seen", seen_()}});
      interrupt_();
      missed_ = 0;
      return;
    }
    missed_ = revision;
  }

  mesh_context& context_;
  std::function<std::uint64_t()> seen_;
  std::function<void()> interrupt_;
  std::uint64_t missed_ = 0;
};

}  // namespace siskinrack::mesh

#endif  // SISKINRACK_LIB_MESH_STORE_MONITOR_H_
