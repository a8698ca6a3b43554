#ifndef SISKINRACK_LIB_MESH_STORE_MONITOR_H_
#define SISKINRACK_LIB_MESH_STORE_MONITOR_H_

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <optional>
#include <tuple>

#include "mesh_context.h"

namespace siskinrack::mesh {

/// Detects that the store, or the connection of a watch call, has stopped answering. A watch with a
/// long wait costs least, but while it waits, a store that doesn't answer looks like one without
/// changes. Each feed is verified by itself: an answer to one says nothing about the connection of
/// another. `Feeds` are object_feed or have its members.
template <typename... Feeds>
class store_monitor {
 public:
  explicit store_monitor(Feeds&... feeds) : feeds_(watched_feed<Feeds>{feeds}...) {}

  /// Runs until the process ends, in a fiber of its own.
  void Run() {
    while (true) {
      net::SleepFor(answered_ ? kInterval : kRecoveryInterval);
      CheckOnce();
    }
  }

  /// Verifies the feeds that have had no answer recently. Stale reads, which cost a tenth of other
  /// calls, are enough: a change that they don't show yet is found by the next check.
  void CheckOnce() {
    std::optional<std::uint64_t> current;
    std::apply([&](auto&... watched) { (Check(watched, current), ...); }, feeds_);
  }

 private:
  template <typename Feed>
  struct watched_feed {
    Feed& feed;
    /// Revision up to which the feed was last verified.
    std::uint64_t verified = 0;
  };

  /// Time without an answer after which a feed is verified. Together with the duration of the
  /// check, well below 3 s, after which the platform counts the store as stable again.
  static constexpr std::chrono::milliseconds kInterval{1'500};

  /// Time until the next check if the store did not answer the last one, so that changes made while
  /// it was down are found soon.
  static constexpr std::chrono::milliseconds kRecoveryInterval{500};

  template <typename Feed>
  static bool IsDue(const Feed& feed) {
    return feed.listed() && std::chrono::steady_clock::now() - feed.last_answer() >= kInterval;
  }

  /// Verifies a feed that is due. `current` is the newest revision that this check has read; if the
  /// feed was verified up to it, nothing has changed and no call is needed.
  template <typename Feed>
  void Check(watched_feed<Feed>& watched, std::optional<std::uint64_t>& current) {
    if (!IsDue(watched.feed)) return;
    if (current && *current <= std::max(watched.feed.revision(), watched.verified)) return;
    const auto revision = watched.feed.Verify(platform_adapter::read_freshness::kMayBeStale);
    answered_ = revision.has_value();
    if (!revision) return;
    watched.verified = *revision;
    current = revision;
  }

  std::tuple<watched_feed<Feeds>...> feeds_;
  /// The store answered the last call.
  bool answered_ = true;
};

}  // namespace siskinrack::mesh

#endif  // SISKINRACK_LIB_MESH_STORE_MONITOR_H_
