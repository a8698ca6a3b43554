#include "siskinrack/support/metrics.h"

#include <gtest/gtest.h>

#include <thread>
#include <vector>

namespace siskinrack::support {
namespace {

using std::chrono::microseconds;

bool ContainsLine(const std::string& text, const std::string& line) {
  return ('\n' + text).find('\n' + line + '\n') != std::string::npos;
}

// Guards against counts lost when shards are merged: the threads add the same labels in different
// orders.
TEST(RequestMetrics, CountsOfAllThreadsAreMerged) {
  request_metrics metrics;
  std::vector<std::thread> threads;
  threads.reserve(8);
  for (int i = 0; i < 8; ++i) {
    threads.emplace_back([&, i] {
      for (int n = 0; n < 1000; ++n) {
        const bool first = (n + i) % 2 == 0;
        metrics.RecordRequest(first ? "answered" : "not-run", first ? "urgent" : "normal",
                              microseconds(first ? 1500 : 30));
      }
    });
  }
  for (auto& thread : threads) thread.join();
  const std::string text = metrics.ToText();
  EXPECT_TRUE(
      ContainsLine(text, R"(siskinrack_requests_total{outcome="answered",rank="urgent"} 4000)"))
      << text;
  EXPECT_TRUE(
      ContainsLine(text, R"(siskinrack_requests_total{outcome="not-run",rank="normal"} 4000)"));
  EXPECT_TRUE(ContainsLine(
      text, R"(siskinrack_request_seconds_bucket{outcome="answered",rank="urgent",le="0.001"} 0)"));
  EXPECT_TRUE(ContainsLine(
      text,
      R"(siskinrack_request_seconds_bucket{outcome="answered",rank="urgent",le="0.002"} 4000)"));
  EXPECT_TRUE(ContainsLine(
      text, R"(siskinrack_request_seconds_count{outcome="answered",rank="urgent"} 4000)"));
}

// Guards against a latency above the last bucket bound that isn't counted.
TEST(RequestMetrics, LatencyAboveTheLastBoundIsCountedInTheInfinityBucket) {
  request_metrics metrics;
  metrics.RecordRequest("unknown", "normal", std::chrono::minutes(5));
  EXPECT_TRUE(ContainsLine(
      metrics.ToText(),
      R"(siskinrack_request_seconds_bucket{outcome="unknown",rank="normal",le="+Inf"} 1)"));
}

// Guards against unbounded memory use through rank names that callers send.
TEST(RequestMetrics, RanksAreBounded) {
  request_metrics metrics;
  for (int i = 0; i < 500; ++i)
    metrics.RecordRequest("answered", "rank-" + std::to_string(i), microseconds(1));
  const std::string text = metrics.ToText();
  EXPECT_TRUE(
      ContainsLine(text, R"(siskinrack_requests_total{outcome="answered",rank="other"} 436)"))
      << text.substr(0, 300);
}

TEST(MetricsPage, LabelValuesAreEscaped) {
  metrics_page page;
  page.AddSample("m", {{"l", "a\"b\\c\nd"}}, 0.5);
  EXPECT_EQ(page.text(), "m{l=\"a\\\"b\\\\c d\"} 0.5\n");
}

TEST(Process, CpuAndMemoryAreRead) {
  EXPECT_GT(GetProcessCpuSeconds(), 0);
  EXPECT_GT(GetProcessResidentBytes(), 1e6);
}

}  // namespace
}  // namespace siskinrack::support
