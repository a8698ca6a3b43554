#ifndef SISKINRACK_NET_LIMIT_COUNTERS_H_
#define SISKINRACK_NET_LIMIT_COUNTERS_H_

#include <array>
#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string_view>

#include "siskinrack/net/memory_budget.h"
#include "siskinrack/support/metrics.h"

namespace siskinrack::net {

/// Limits that an http_server applies to its clients.
enum class client_limit {
  /// No memory was left for a request, which was refused.
  kMemory,
  /// A request wasn't received in time, or made no progress while memory was short.
  kStalledRequest,
  /// Too many connections were open; an idle or the newest one was closed.
  kConnections,
  /// A header section, a body or its framing was too large.
  kSize,
};
inline constexpr std::size_t kClientLimits = 4;

/// Returns the name of a limit in metrics and log lines.
std::string_view ToText(client_limit limit);

/// Counts how often each limit acted and reports it at most once per limit and second.
/// Thread-safe.
class limit_counters {
 public:
  /// Receives a limit and how often it has acted since the start.
  using report_handler = std::function<void(client_limit limit, std::uint64_t count)>;

  explicit limit_counters(report_handler report = {}) : report_(std::move(report)) {}

  void Count(client_limit limit, std::chrono::steady_clock::time_point now);
  [[nodiscard]] std::uint64_t count(client_limit limit) const {
    return counts_[static_cast<std::size_t>(limit)];
  }

 private:
  using tick = std::chrono::steady_clock::duration::rep;

  report_handler report_;
  std::array<std::atomic<std::uint64_t>, kClientLimits> counts_{};
  /// Time after which the next report of each limit is allowed.
  std::array<std::atomic<tick>, kClientLimits> next_report_{};
};

/// Adds the metrics of a budget and of the limits of one server to a page.
void AddLimitMetrics(support::metrics_page& page, const memory_budget& memory,
                     const limit_counters& limits);

}  // namespace siskinrack::net

#endif  // SISKINRACK_NET_LIMIT_COUNTERS_H_
