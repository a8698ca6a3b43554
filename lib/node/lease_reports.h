#ifndef SISKINRACK_LIB_NODE_LEASE_REPORTS_H_
#define SISKINRACK_LIB_NODE_LEASE_REPORTS_H_

#include <mutex>
#include <optional>
#include <utility>

#include "siskinrack/distribution/watcher_lease.h"

namespace siskinrack::node {

/// Passes reports of watcher lease renewals between the lease loop and the membership exchanges.
/// Thread-safe.
class lease_reports {
 public:
  using time_point = distribution::time_point;
  using report = distribution::watcher_lease::holder_report;

  /// Returns the report that this node sends to peers, with its age at `now`: the values of the
  /// exchange fields watcher_node and watcher_age_ms.
  [[nodiscard]] report Current(time_point now) const {
    const std::lock_guard lock(mutex_);
    if (own_.holder.empty()) return {};
    return {own_.holder,
            own_.age + std::chrono::duration_cast<distribution::milliseconds>(now - own_at_)};
  }
  /// Sets the newest renewal that the lease loop of this node has recorded.
  void Publish(report renewal, time_point now) {
    const std::lock_guard lock(mutex_);
    own_ = std::move(renewal);
    own_at_ = now;
  }
  /// Stores a report that a peer of the own failure domain sent in an exchange, if it is the
  /// newest.
  void OnPeerReport(report renewal, time_point now) {
    const std::lock_guard lock(mutex_);
    const bool newer = !received_ || now - renewal.age > received_at_ - received_->age;
    if (renewal.holder.empty() || !newer) return;
    received_ = std::move(renewal);
    received_at_ = now;
  }
  /// Returns the newest report received since the last call, with its age at `now`.
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
