#ifndef SISKINRACK_LIB_NODE_LEASE_REPORTS_H_
#define SISKINRACK_LIB_NODE_LEASE_REPORTS_H_

#include <mutex>
#include <optional>
#include <utility>

#include "siskinrack/distribution/watcher_lease.h"

namespace siskinrack::node {

/// Passes reports of the watcher lease between the lease loop and the exchanges of membership. Safe
/// for use from several threads.
class lease_reports {
 public:
  using time_point = distribution::time_point;
  using report = distribution::watcher_lease::holder_report;

  /// What this node reports to its peers: values of the exchange fields watcher_node,
  /// watcher_age_ms.
  [[nodiscard]] report Current(time_point now) const {
    const std::lock_guard lock(mutex_);
    if (own_.holder.empty()) return {};
    return {own_.holder,
            own_.age + std::chrono::duration_cast<distribution::milliseconds>(now - own_at_)};
  }
  /// The lease loop knows of this renewal.
  void Publish(report item, time_point now) {
    const std::lock_guard lock(mutex_);
    own_ = std::move(item);
    own_at_ = now;
  }
  /// A peer of the own failure domain said this in an exchange.
  void OnPeerReport(report item, time_point now) {
    const std::lock_guard lock(mutex_);
    const bool newer = !received_ || now - item.age > received_at_ - received_->age;
    if (item.holder.empty() || !newer) return;
    received_ = std::move(item);
    received_at_ = now;
  }
  /// The newest item received since the last call, with its age at `now`.
  std::optional<report> TakeReceived(time_point now) {
    const std::lock_guard lock(mutex_);
    if (!received_) return std::nullopt;
    received_->age += std::chrono::duration_cast<distribution::milliseconds>(now - received_at_);
    return std::exchange(received_, std::nullopt);
  }

 private:
  mutable std::mutex mutex_;
  report own_;
  time_point own_at_{};
  std::optional<report> received_;
  time_point received_at_{};
};

}  // namespace siskinrack::node

#endif  // SISKINRACK_LIB_NODE_LEASE_REPORTS_H_
