#ifndef SISKINRACK_SUPPORT_METRICS_H_
#define SISKINRACK_SUPPORT_METRICS_H_

#include <chrono>
#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace siskinrack::support {

/// Counts and latencies of requests by outcome and rank. Safe for use from several threads: the
/// counts are split into shards, each under its own lock.
class request_metrics {
 public:
  request_metrics();
  ~request_metrics();

  /// Counts one finished request. Ranks beyond the first 64 are counted as "other", so that memory
  /// stays bounded.
  void Count(std::string_view outcome, std::string_view rank, std::chrono::microseconds latency);

  /// Text exposition: siskinrack_requests_total and siskinrack_request_seconds.
  [[nodiscard]] std::string ToText() const;

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

/// Builds a page in the text exposition format.
class metrics_page {
 public:
  using labels = std::initializer_list<std::pair<std::string_view, std::string_view>>;

  /// Starts a metric; `type` is "counter" or "gauge". Its samples follow.
  void AddMetric(std::string_view name, std::string_view type, std::string_view help);
  void AddSample(std::string_view name, labels of, double value);
  void Append(std::string_view text) { text_ += text; }
  [[nodiscard]] const std::string& text() const { return text_; }

 private:
  std::string text_;
};

/// User and system time of this process in seconds.
double GetProcessCpuSeconds();
/// Resident memory of this process in bytes; 0 if it can't be read.
double GetProcessResidentBytes();

}  // namespace siskinrack::support

#endif  // SISKINRACK_SUPPORT_METRICS_H_
