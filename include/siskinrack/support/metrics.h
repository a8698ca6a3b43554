#ifndef SISKINRACK_SUPPORT_METRICS_H_
#define SISKINRACK_SUPPORT_METRICS_H_

#include <chrono>
#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace siskinrack::support {

/// Records counts and latencies of requests by outcome and rank. Thread-safe: the counts are split
/// into shards with one lock each.
class request_metrics {
 public:
  request_metrics();
  ~request_metrics();

  /// Records one finished request. Once a shard holds 64 ranks, further ranks are counted as
  /// "other", so that memory use is bounded.
  void RecordRequest(std::string_view outcome, std::string_view rank,
                     std::chrono::microseconds latency);

  /// Returns siskinrack_requests_total and siskinrack_request_seconds in the text exposition
  /// format.
  [[nodiscard]] std::string ToText() const;

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

/// Builds a page of metrics in the Prometheus text exposition format.
class metrics_page {
 public:
  using labels = std::initializer_list<std::pair<std::string_view, std::string_view>>;

  /// Adds the header of a metric. `type` is "counter", "gauge" or "histogram". The samples of the
  /// metric must follow.
  void AddMetric(std::string_view name, std::string_view type, std::string_view help);
  void AddSample(std::string_view name, labels sample_labels, double value);
  /// Appends text that already has the exposition format.
  void Append(std::string_view text) { text_ += text; }
  [[nodiscard]] const std::string& text() const { return text_; }

 private:
  std::string text_;
};

/// Returns the user and system CPU time of this process in seconds; 0 if it can't be read.
double GetProcessCpuSeconds();
/// Returns the resident memory of this process in bytes; 0 if it can't be read.
double GetProcessResidentBytes();

}  // namespace siskinrack::support

#endif  // SISKINRACK_SUPPORT_METRICS_H_
