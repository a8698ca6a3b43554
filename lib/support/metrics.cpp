#include "siskinrack/support/metrics.h"

#include <sys/resource.h>
#include <unistd.h>

#include <array>
#include <boost/histogram.hpp>
#include <charconv>
#include <fstream>
#include <map>
#include <mutex>
#include <thread>
#include <vector>

namespace siskinrack::support {
namespace {

namespace bh = boost::histogram;

constexpr std::size_t kShards = 8;
constexpr int kMaxRanks = 64;
constexpr double kUsPerSecond = 1e6;
/// Upper bounds of the latency buckets in seconds. 0.47 ms is the target for the added latency, and
/// 30 s is the longest deadline.
constexpr std::array<double, 16> kBucketBoundsSeconds = {
    0.00047, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 20, 30};

using name_axis = bh::axis::category<std::string, bh::use_default, bh::axis::option::growth_t>;
using latency_axis = bh::axis::variable<double>;

auto MakeHistogram() {
  std::vector<double> edges = {0};
  edges.insert(edges.end(), kBucketBoundsSeconds.begin(), kBucketBoundsSeconds.end());
  return bh::make_histogram(name_axis(), name_axis(), latency_axis(edges));
}

/// Returns the shortest text that parses back to the same number.
std::string ToText(double value) {
  std::array<char, 32> buffer{};
  const auto end = std::to_chars(buffer.data(), buffer.data() + buffer.size(), value).ptr;
  return {buffer.data(), end};
}

/// Returns the labels in the exposition format: {name="value",...}, or "" if there are none.
std::string FormatLabels(
    std::initializer_list<std::pair<std::string_view, std::string_view>> labels) {
  std::string text;
  for (const auto& [name, value] : labels) {
    text += text.empty() ? "{" : ",";
    text += name;
    text += "=\"";
    for (const char c : value) {
      if (c == '"' || c == '\\') text += '\\';
      text += c == '\n' ? ' ' : c;
    }
    text += '"';
  }
  return text.empty() ? text : text + '}';
}

/// Represents the latency histogram of one outcome and rank.
struct latency_series {
  std::array<double, kBucketBoundsSeconds.size() + 1> buckets{};
  double sum_seconds = 0;
};

/// Outcome and rank.
using series_key = std::pair<std::string, std::string>;

}  // namespace

class request_metrics::impl {
 public:
  void RecordRequest(std::string_view outcome, std::string_view rank, double seconds) {
    shard& thread_shard =
        shards_.at(std::hash<std::thread::id>()(std::this_thread::get_id()) % kShards);
    const std::lock_guard lock(thread_shard.mutex);
    std::string label(rank);
    const auto& ranks = thread_shard.counts.axis(std::integral_constant<unsigned, 1>());
    if (ranks.size() >= kMaxRanks && ranks.index(label) >= ranks.size()) label = "other";
    thread_shard.counts(std::string(outcome), label, seconds);
    thread_shard.sums[{std::string(outcome), label}] += seconds;
  }

  /// Returns the sum of all shards.
  std::map<series_key, latency_series> Collect() const {
    std::map<series_key, latency_series> result;
    for (const shard& source : shards_) {
      const std::lock_guard lock(source.mutex);
      for (const auto& cell : bh::indexed(source.counts, bh::coverage::all)) {
        const int bucket = cell.index(2);
        if (bucket < 0 || *cell == 0) continue;
        const std::string outcome =
            source.counts.axis(std::integral_constant<unsigned, 0>()).value(cell.index(0));
        const std::string rank =
            source.counts.axis(std::integral_constant<unsigned, 1>()).value(cell.index(1));
        result[{outcome, rank}].buckets.at(static_cast<std::size_t>(bucket)) += *cell;
      }
      for (const auto& [key, seconds] : source.sums) result[key].sum_seconds += seconds;
    }
    return result;
  }

 private:
  struct shard {
    mutable std::mutex mutex;
    decltype(MakeHistogram()) counts = MakeHistogram();
    std::map<series_key, double> sums;
  };

  std::array<shard, kShards> shards_;
};

request_metrics::request_metrics() : impl_(std::make_unique<impl>()) {}
request_metrics::~request_metrics() = default;

void request_metrics::RecordRequest(std::string_view outcome, std::string_view rank,
                                    std::chrono::microseconds latency) {
  impl_->RecordRequest(outcome, rank, static_cast<double>(latency.count()) / kUsPerSecond);
}

std::string request_metrics::ToText() const {
  const auto all = impl_->Collect();
  metrics_page page;
  page.AddMetric("siskinrack_requests_total", "counter", "Finished requests from callers.");
  for (const auto& [key, latencies] : all) {
    double count = 0;
    for (const double bucket : latencies.buckets) count += bucket;
    page.AddSample("siskinrack_requests_total", {{"outcome", key.first}, {"rank", key.second}},
                   count);
  }
  page.AddMetric("siskinrack_request_seconds", "histogram", "Time from request to response.");
  for (const auto& [key, latencies] : all) {
    double count = 0;
    for (std::size_t i = 0; i < latencies.buckets.size(); ++i) {
      count += latencies.buckets.at(i);
      const std::string upper_bound =
          i < kBucketBoundsSeconds.size() ? support::ToText(kBucketBoundsSeconds.at(i)) : "+Inf";
      page.AddSample("siskinrack_request_seconds_bucket",
                     {{"outcome", key.first}, {"rank", key.second}, {"le", upper_bound}}, count);
    }
    page.AddSample("siskinrack_request_seconds_sum", {{"outcome", key.first}, {"rank", key.second}},
                   latencies.sum_seconds);
    page.AddSample("siskinrack_request_seconds_count",
                   {{"outcome", key.first}, {"rank", key.second}}, count);
  }
  return page.text();
}

void metrics_page::AddMetric(std::string_view name, std::string_view type, std::string_view help) {
  text_ += "# HELP " + std::string(name) + ' ' + std::string(help) + '\n';
  text_ += "# TYPE " + std::string(name) + ' ' + std::string(type) + '\n';
}

void metrics_page::AddSample(std::string_view name, labels sample_labels, double value) {
  text_ += std::string(name) + FormatLabels(sample_labels) + ' ' + ToText(value) + '\n';
}

double GetProcessCpuSeconds() {
  rusage usage{};
  if (getrusage(RUSAGE_SELF, &usage) != 0) return 0;
  const auto seconds = [](const timeval& time) {
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) / kUsPerSecond;
  };
  return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

double GetProcessResidentBytes() {
  std::ifstream in("/proc/self/statm");
  double total_pages = 0;
  double resident_pages = 0;
  if (!(in >> total_pages >> resident_pages)) return 0;
  return resident_pages * static_cast<double>(sysconf(_SC_PAGESIZE));
}

}  // namespace siskinrack::support
