#include "siskinrack/net/limit_counters.h"

#include <gtest/gtest.h>

#include <vector>

namespace siskinrack::net {
namespace {

using std::chrono::milliseconds;
using time_point = std::chrono::steady_clock::time_point;

// Guards against a log line for every refused client.
TEST(LimitCountersTest, ReportsOncePerLimitAndSecond) {
  std::vector<std::pair<client_limit, std::uint64_t>> reports;
  limit_counters counters(
      [&reports](client_limit limit, std::uint64_t count) { reports.emplace_back(limit, count); });
  const time_point start{milliseconds(5'000)};
  for (int i = 0; i < 100; ++i) {
    counters.Count(client_limit::kMemory, start + milliseconds(9 * i));
  }
  counters.Count(client_limit::kSize, start);
  counters.Count(client_limit::kMemory, start + milliseconds(1'000));
  const std::vector<std::pair<client_limit, std::uint64_t>> expected = {
      {client_limit::kMemory, 1}, {client_limit::kSize, 1}, {client_limit::kMemory, 101}};
  EXPECT_EQ(reports, expected);
  EXPECT_EQ(counters.count(client_limit::kMemory), 101U);
  EXPECT_EQ(counters.count(client_limit::kConnections), 0U);
}

TEST(LimitCountersTest, MetricsNameEveryUseAndLimit) {
  support::metrics_page page;
  memory_budget memory({.total = 100, .reserve = 0, .small_charge = 10});
  memory_charge charge(&memory, memory_use::kFrame);
  ASSERT_TRUE(charge.Resize(40));
  ASSERT_FALSE(charge.Resize(101));
  limit_counters counters;
  counters.Count(client_limit::kConnections, time_point{});
  AddLimitMetrics(page, memory, counters);
  for (const char* line :
       {"siskinrack_memory_charged_bytes{use=\"frame\"} 40",
        "siskinrack_memory_charged_bytes{use=\"request_body\"} 0",
        "siskinrack_memory_budget_bytes 100", "siskinrack_memory_refused_total{use=\"frame\"} 1",
        "siskinrack_client_limits_total{limit=\"connections\"} 1",
        "siskinrack_client_limits_total{limit=\"stalled_request\"} 0"}) {
    EXPECT_NE(page.text().find(std::string(line) + '\n'), std::string::npos) << line;
  }
}

}  // namespace
}  // namespace siskinrack::net
