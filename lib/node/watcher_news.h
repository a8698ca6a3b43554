#ifndef SISKINRACK_LIB_NODE_WATCHER_NEWS_H_
#define SISKINRACK_LIB_NODE_WATCHER_NEWS_H_

#include <mutex>
#include <optional>
#include <utility>

#include "siskinrack/distribution/watcher_lease.h"

namespace siskinrack::node {

/// Passes news of the watcher lease between the lease loop and the exchanges of membership. Safe
/// for use from several threads.
class watcher_news {
 public:
  using time_point = distribution::time_point;
  using news = distribution::watcher_lease::holder_news;

  /// What this node tells its peers: values of the exchange fields watcher_node, watcher_age_ms.
  [[nodiscard]] news Current(time_point now) const {
    const std::lock_guard lock(mutex_);
    if (own_.holder.empty()) return {};
    return {own_.holder,
            own_.age + std::chrono::duration_cast<distribution::milliseconds>(now - own_at_)};
  }
  /// The lease loop knows of this renewal.
  void Publish(news item, time_point now) {
    const std::lock_guard lock(mutex_);
    own_ = std::move(item);
    own_at_ = now;
  }
  /// A peer of the own failure domain said this in an exchange.
  void Hear(news item, time_point now) {
    const std::lock_guard lock(mutex_);
    const bool newer = !heard_ || now - item.age > heard_at_ - heard_->age;
    if (item.holder.empty() || !newer) return;
    heard_ = std::move(item);
    heard_at_ = now;
  }
  /// The newest item heard since the last call, with its age at `now`.
  std::optional<news> TakeHeard(time_point now) {
    const std::lock_guard lock(mutex_);
    if (!heard_) return std::nullopt;
    heard_->age += std::chrono::duration_cast<distribution::milliseconds>(now - heard_at_);
    return std::exchange(heard_, std::nullopt);
  }

 private:
  mutable std::mutex mutex_;
  news own_;
  time_point own_at_{};
  std::optional<news> heard_;
  time_point heard_at_{};
};

}  // namespace siskinrack::node

#endif  // SISKINRACK_LIB_NODE_WATCHER_NEWS_H_
