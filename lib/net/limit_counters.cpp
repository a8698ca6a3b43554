#include "siskinrack/net/limit_counters.h"

namespace siskinrack::net {
namespace {

/// Many refused clients must not push other events out of the log.
constexpr std::chrono::seconds kReportInterval{1};

}  // namespace

std::string_view ToText(client_limit limit) {
  switch (limit) {
    case client_limit::kMemory:
      return "memory";
    case client_limit::kStalledRequest:
      return "stalled_request";
    case client_limit::kConnections:
      return "connections";
    case client_limit::kSize:
      break;
  }
  return "size";
}

void limit_counters::Count(client_limit limit, std::chrono::steady_clock::time_point now) {
  const auto index = static_cast<std::size_t>(limit);
  const std::uint64_t count = ++counts_[index];
  const tick at = now.time_since_epoch().count();
  const tick next =
      at + std::chrono::duration_cast<std::chrono::steady_clock::duration>(kReportInterval).count();
  tick allowed = next_report_[index];
  if (report_ && at >= allowed && next_report_[index].compare_exchange_strong(allowed, next)) {
    report_(limit, count);
  }
}

void AddLimitMetrics(support::metrics_page& page, const memory_budget& memory,
                     const limit_counters& limits) {
  constexpr std::array kUses = {memory_use::kConnection, memory_use::kRequestBody,
                                memory_use::kResponseBody, memory_use::kFrame};
  constexpr std::array kLimits = {client_limit::kMemory, client_limit::kStalledRequest,
                                  client_limit::kConnections, client_limit::kSize};
  page.AddMetric("siskinrack_memory_charged_bytes", "gauge",
                 "Memory charged to the budget, by use.");
  for (const memory_use use : kUses) {
    page.AddSample("siskinrack_memory_charged_bytes", {{"use", ToText(use)}},
                   static_cast<double>(memory.used(use)));
  }
  page.AddMetric("siskinrack_memory_budget_bytes", "gauge", "Limit of the charged memory.");
  page.AddSample("siskinrack_memory_budget_bytes", {}, static_cast<double>(memory.limits().total));
  page.AddMetric("siskinrack_memory_refused_total", "counter",
                 "Charges that did not fit into the budget, by use.");
  for (const memory_use use : kUses) {
    page.AddSample("siskinrack_memory_refused_total", {{"use", ToText(use)}},
                   static_cast<double>(memory.refused(use)));
  }
  page.AddMetric("siskinrack_client_limits_total", "counter",
                 "Callers that were refused or disconnected, by limit.");
  for (const client_limit limit : kLimits) {
    page.AddSample("siskinrack_client_limits_total", {{"limit", ToText(limit)}},
                   static_cast<double>(limits.count(limit)));
  }
}

}  // namespace siskinrack::net
