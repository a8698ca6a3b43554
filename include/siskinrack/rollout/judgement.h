#ifndef SISKINRACK_ROLLOUT_JUDGEMENT_H_
#define SISKINRACK_ROLLOUT_JUDGEMENT_H_

#include <array>
#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "siskinrack/rollout/order.h"

namespace siskinrack::rollout {

/// Number of buckets of a histogram of service times, two for each power of two. The last one also
/// holds the answers that took longer or never came.
inline constexpr std::size_t kServiceBuckets = 34;

/// Counts of the answers of one route.
struct route_counts {
  std::uint32_t answered = 0;
  /// Answers with a server error and exchanges that broke.
  std::uint32_t failed = 0;
  /// Answers by service time. Fewer than `answered`, as an upstream that is warming up isn't timed.
  std::array<std::uint32_t, kServiceBuckets> service{};

  bool operator==(const route_counts&) const = default;
};

/// Counts by work class of the route.
using counts_by_route = std::map<std::uint64_t, route_counts>;

/// Returns the bucket of a service time.
std::size_t ToServiceBucket(std::chrono::milliseconds took);

/// Returns what was added to `before`. If a count is lower than before, its node has restarted and
/// counted anew, so everything is new.
route_counts Subtract(const route_counts& now, const route_counts& before);

/// Names what was measured.
enum class measure { kFailures, kSlowAnswers };

/// Returns the name of a measure in snake_case.
std::string_view ToText(measure measured);

/// Describes the evidence that decided.
struct evidence {
  std::uint64_t route = 0;
  measure measured = measure::kFailures;
  /// Answers of the version under trial since the order, and those that failed or were slow.
  std::uint64_t answers = 0;
  std::uint64_t bad = 0;
  /// Recent rate of such answers of the other versions.
  double other_rate = 0;
  /// Logarithm of the likelihood ratio of a bad to a good version.
  double log_ratio = 0;
  /// Number of upstreams that contribute.
  std::size_t upstreams = 0;
};

/// Compares the answers of the version under trial with those of the other versions of the service
/// on the same routes in the same time, so that trouble that hits both is no reason.
///
/// Sequential probability ratio tests for each route, of failures and of slow answers: a rate that
/// is good enough, p0, against one that is bad, p1, both relative to the recent rate of the other
/// versions. The tests against the version restart at zero whenever the evidence favours it
/// (Page's test), so that a version that turns bad late is found as fast as one that is bad at
/// once. Not thread-safe.
///
/// Error rates: an alarm by chance needs a likelihood ratio of e^12 after one of the restarts, so
/// it happens to a good version at most once in 160,000 restarts; a version with the rate p1 on a
/// route is accepted with a probability of at most 0.001 a route (Wald's bound).
class judgement {
 public:
  /// Adds answers of the other versions.
  void AddOther(std::uint64_t route, const route_counts& added, time_point now);
  /// Adds answers of one upstream of the version under trial.
  void AddTrial(const std::string& upstream, std::uint64_t route, const route_counts& added,
                time_point now);
  /// Evaluates the answers that were added a moment ago. The delay lets the reports on the other
  /// versions for the same time arrive: trouble that begins suddenly would else show in the
  /// version under trial alone. If `others_serve` is false, there will be none, and all answers are
  /// evaluated at once.
  void Advance(time_point now, bool others_serve);

  /// Sets the number of upstreams of the version under trial, also of those that have not answered:
  /// a few have to agree if there are as many.
  void SetTrialUpstreams(std::size_t count) { known_upstreams_ = count; }

  /// Returns the evidence that the version is bad, or std::nullopt if there is not enough.
  [[nodiscard]] std::optional<evidence> FindFault() const;
  /// Returns true if there is enough recent evidence that the version is good on every route that
  /// has enough requests to tell, and none that points to the contrary. `share` is the share of
  /// requests that the version receives.
  [[nodiscard]] bool IsAccepted(double share) const;

 private:
  /// Recent answers of the other versions on one route.
  struct other_answers {
    double answered = 0;
    double failed = 0;
    std::array<double, kServiceBuckets> service{};
    time_point updated_at{};
    /// Answers by interval of time, of the last few intervals.
    std::map<std::int64_t, route_counts> intervals;
    /// All answers since the order.
    std::uint64_t total = 0;
  };

  struct test {
    /// Evidence against the version; at least 0.
    double against = 0;
    /// Part of it by upstream, since it was last 0.
    std::map<std::string, double> contributed;
    /// Recent evidence for the version; from 0 to kAcceptanceMemory.
    double in_favour = 0;
    std::uint64_t answers = 0;
    std::uint64_t bad = 0;
    /// Rate of the other versions at the last addition.
    double other_rate = 0;
  };
  using test_key = std::pair<std::uint64_t, measure>;

  /// Answers of the version under trial that are not evaluated yet.
  struct pending_answers {
    std::int64_t interval = 0;
    std::string upstream;
    std::uint64_t route = 0;
    route_counts added;
  };
  /// Rates of the other versions that a test compares with.
  struct reference {
    double failure_rate = 0;
    /// First bucket that counts as slow; `kServiceBuckets` if nothing can be compared.
    std::size_t first_slow = kServiceBuckets;
    double slow_rate = 0;
  };

  static reference MakeReference(double answered, double failed,
                                 const std::array<double, kServiceBuckets>& service);
  [[nodiscard]] static reference FindReference(const other_answers& others, std::int64_t interval);
  void Evaluate(const pending_answers& pending);
  void Add(const test_key& key, const std::string& upstream, std::uint32_t answers,
           std::uint32_t bad, double other_rate, double good_rate, double bad_rate);
  /// Returns the largest evidence that one upstream contributes.
  [[nodiscard]] double Limit() const;

  std::map<std::uint64_t, other_answers> others_;
  std::deque<pending_answers> pending_;
  std::map<test_key, test> tests_;
  /// Numbers of answers by upstream of the version under trial.
  std::map<std::string, std::uint64_t> trial_upstreams_;
  std::size_t known_upstreams_ = 0;
};

}  // namespace siskinrack::rollout

#endif  // SISKINRACK_ROLLOUT_JUDGEMENT_H_
