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
  /// `interval` is the time without an answer after which a feed is verified, and the time between
  /// two checks of it. Half of the time within which a change must be in force leaves the rest for
  /// a check on a silent connection and its repetition on another one.
  explicit store_monitor(std::chrono::milliseconds interval, Feeds&... feeds)
      : interval_(interval), feeds_(watched_feed<Feeds>{feeds}...) {}

  /// Runs until the process ends, in a fiber of its own.
  void Run() {
    while (true) {
      net::SleepFor(ComputePause());
      CheckOnce();
    }
  }

  /// Verifies the feeds that have had no answer recently. Stale reads, which cost a tenth of other
  /// calls, are enough: a change that they don't show yet is found by a later check, or learned
  /// from other nodes (see version_follower).
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
    net::steady_time checked_at{};
  };

  /// Time until the next check if the store did not answer the last one, so that changes made while
  /// it was down are found soon.
  static constexpr std::chrono::milliseconds kRecoveryInterval{500};

  /// Returns the time until the first feed is due.
  [[nodiscard]] net::steady_time::duration ComputePause() const {
    if (!answered_) return kRecoveryInterval;
    const auto now = std::chrono::steady_clock::now();
    auto next = now + interval_;
    const auto add = [&](const auto& watched) {
      if (IsChecked(watched.feed)) next = std::min(next, FindDueTime(watched));
    };
    std::apply([&](const auto&... watched) { (add(watched), ...); }, feeds_);
    return std::max(next - now, net::steady_time::duration(0));
  }

  /// Returns true if the feed could be silent without an error. During a series of changes a feed
  /// reads the current version only, where a check would return all of them.
  template <typename Feed>
  static bool IsChecked(const Feed& feed) {
    return feed.listed() && feed.watching();
  }

  template <typename Feed>
  [[nodiscard]] net::steady_time FindDueTime(const watched_feed<Feed>& watched) const {
    return std::max(watched.feed.last_answer(), watched.checked_at) + interval_;
  }

  /// Verifies a feed that is due. `current` is the newest revision that this check has read; if the
  /// feed was verified up to it, nothing has changed and no call is needed.
  template <typename Feed>
  void Check(watched_feed<Feed>& watched, std::optional<std::uint64_t>& current) {
    const auto now = std::chrono::steady_clock::now();
    if (!IsChecked(watched.feed)) return;
    if (current && *current <= std::max(watched.feed.revision(), watched.verified)) {
      watched.checked_at = now;
      return;
    }
    if (now < FindDueTime(watched)) return;
    watched.checked_at = now;
    const auto revision = watched.feed.Verify(platform_adapter::read_freshness::kMayBeStale);
    answered_ = revision.has_value();
    if (!revision) return;
    watched.verified = *revision;
    current = revision;
  }

  std::chrono::milliseconds interval_;
  std::tuple<watched_feed<Feeds>...> feeds_;
  /// The store answered the last call.
  bool answered_ = true;
};

}  // namespace siskinrack::mesh

#endif  // SISKINRACK_LIB_MESH_STORE_MONITOR_H_
