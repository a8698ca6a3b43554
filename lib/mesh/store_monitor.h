#ifndef SISKINRACK_LIB_MESH_STORE_MONITOR_H_
#define SISKINRACK_LIB_MESH_STORE_MONITOR_H_

#include <chrono>

#include "mesh_context.h"

namespace siskinrack::mesh {

/// Detects that the store, or the connection of a watch call, has stopped answering. A watch with a
/// long wait costs least, but while it waits, a store that doesn't answer looks like one without
/// changes. Each feed is verified by itself: an answer to one says nothing about the connection of
/// the other. `ConfigFeed` and `EndpointFeed` are object_feed or have its members.
template <typename ConfigFeed, typename EndpointFeed>
class store_monitor {
 public:
  store_monitor(ConfigFeed& config_feed, EndpointFeed& endpoint_feed)
      : config_feed_(config_feed), endpoint_feed_(endpoint_feed) {}

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
    if (IsDue(config_feed_)) current = Verify(config_feed_);
    if (!IsDue(endpoint_feed_)) return;
    // Nothing has changed since the endpoints were verified, so that no second call is needed.
    if (current && *current <= std::max(endpoint_feed_.revision(), endpoints_verified_)) return;
    if (const auto verified = Verify(endpoint_feed_)) endpoints_verified_ = *verified;
  }

 private:
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

  template <typename Feed>
  std::optional<std::uint64_t> Verify(Feed& feed) {
    const auto revision = feed.Verify(platform_adapter::read_freshness::kMayBeStale);
    answered_ = revision.has_value();
    return revision;
  }

  ConfigFeed& config_feed_;
  EndpointFeed& endpoint_feed_;
  /// The store answered the last call.
  bool answered_ = true;
  /// Revision up to which the endpoints were last verified.
  std::uint64_t endpoints_verified_ = 0;
};

}  // namespace siskinrack::mesh

#endif  // SISKINRACK_LIB_MESH_STORE_MONITOR_H_
