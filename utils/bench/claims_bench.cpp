// Simulates claims of non-repeatable requests in virtual time. The platform answers in 2 ms.
// Measures the claims per platform write, the writes per second of the whole fleet and the latency
// that a claim adds. The baseline is one conditional create per request against a platform that
// accepts 400 writes/s.

#include <algorithm>
#include <array>
#include <deque>
#include <iostream>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "fake_store.h"
#include "report.h"
#include "siskinrack/idempotency/shard_owner.h"

namespace siskinrack::bench {
namespace {

using idempotency::kShards;
using idempotency::steady_time;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kSeed = 20261204;
/// Requests per second of the whole fleet.
constexpr std::array<int, 5> kRequestRates = {10, 100, 300, 1'000, 5'000};
constexpr milliseconds kPlatformLatency{2};
constexpr milliseconds kServiceTime{5};
constexpr microseconds kTick{250};
constexpr seconds kWarmUp{5};
constexpr seconds kMeasurementTime{30};
constexpr milliseconds kDeadline{2'000};
/// The design assumes "several hundred writes/s" for the platform (section 1.6).
constexpr double kBaselineWritesPerSecond = 400;
constexpr std::size_t kAnswerBytes = 200;

struct waiting_claim {
  idempotency::claim_request request;
  steady_time requested_at;
};

struct running_request {
  std::string key;
  std::uint64_t attempt;
  steady_time completes_at;
};

/// Represents a shard owner with its outstanding platform call and the requests of its shard.
struct simulated_shard {
  std::unique_ptr<idempotency::shard_owner> owner;
  /// Result of the outstanding platform call, which the owner receives at `result_at`.
  std::optional<idempotency::store_call_result> result;
  steady_time result_at{};
  std::deque<waiting_claim> waiting;
  std::deque<running_request> running;
};

/// Holds the results of one simulation; counts are totals over kMeasurementTime.
struct claim_figures {
  std::vector<double> latencies_ms;
  std::size_t writes = 0;
  std::size_t reads = 0;
  std::size_t bytes = 0;
};

/// Simulates the owners of all shards for Poisson arrivals of `rate` requests per second.
class claim_simulation {
 public:
  explicit claim_simulation(int rate) : arrival_rate_(rate) {
    for (std::size_t i = 0; i < kShards; ++i) {
      shards_.at(i).owner = std::make_unique<idempotency::shard_owner>(i, random_());
    }
  }

  claim_figures Run() {
    const steady_time begin = now_;
    const steady_time measurement_start = begin + kWarmUp;
    bool measuring = false;
    steady_time next_arrival = begin;
    for (; now_ < measurement_start + kMeasurementTime; now_ += kTick) {
      if (!measuring && now_ >= measurement_start) {
        measuring = true;
        result_ = {};
        store_.writes = store_.reads = store_.written_bytes = 0;
      }
      while (next_arrival <= now_) {
        GenerateRequest();
        next_arrival += std::chrono::duration_cast<steady_time::duration>(
            std::chrono::duration<double>(arrival_gaps_(random_) / arrival_rate_));
      }
      for (simulated_shard& shard : shards_) AdvanceShard(shard);
    }
    result_.writes = store_.writes;
    result_.reads = store_.reads;
    result_.bytes = store_.written_bytes;
    return std::move(result_);
  }

 private:
  void GenerateRequest() {
    const std::string key = "order-" + std::to_string(random_());
    simulated_shard& shard = shards_.at(idempotency::ShardForKey(key));
    shard.waiting.push_back({{key, random_(), random_(), kDeadline}, now_});
  }

  /// Completes the platform call and the requests that are due, grants waiting claims and starts
  /// the next platform call.
  void AdvanceShard(simulated_shard& shard) {
    if (shard.result && now_ >= shard.result_at) {
      shard.owner->OnResult(std::move(*shard.result), now_);
      shard.result.reset();
    }
    std::erase_if(shard.waiting, [&](const waiting_claim& claim) {
      const auto decision = shard.owner->RequestClaim(claim.request, now_);
      if (!decision) return false;
      const std::chrono::duration<double, std::milli> elapsed = now_ - claim.requested_at;
      result_.latencies_ms.push_back(elapsed.count());
      shard.running.push_back({claim.request.key, claim.request.attempt, now_ + kServiceTime});
      return true;
    });
    while (!shard.running.empty() && shard.running.front().completes_at <= now_) {
      const running_request& done = shard.running.front();
      shard.owner->RecordResult(done.key, done.attempt, true,
                                idempotency::stored_answer{200, {}, std::string(kAnswerBytes, 'x')},
                                now_);
      shard.running.pop_front();
    }
    if (shard.result) return;
    if (const auto call = shard.owner->NextCall(now_)) {
      shard.result = idempotency::RunCall(store_, *call);
      shard.result_at = now_ + kPlatformLatency;
    }
    shard.owner->TakeEvents();
  }

  std::mt19937_64 random_{kSeed};
  std::exponential_distribution<double> arrival_gaps_{1.0};
  double arrival_rate_;
  steady_time now_{std::chrono::hours(1)};
  test::fake_store store_;
  std::array<simulated_shard, kShards> shards_;
  claim_figures result_;
};

/// Holds the results of the baseline: one write per request, queued when the requests exceed the
/// write rate of the platform.
struct baseline_figures {
  std::vector<double> latencies_ms;
  std::size_t in_time = 0;
  std::size_t requests = 0;
};

/// Simulates the baseline at `rate` requests per second.
baseline_figures RunBaseline(int rate) {
  std::mt19937_64 random{kSeed};
  std::exponential_distribution<double> arrivals{static_cast<double>(rate)};
  baseline_figures result;
  const double deadline_s = std::chrono::duration<double>(kDeadline).count();
  const double platform_s = std::chrono::duration<double>(kPlatformLatency).count();
  double now_s = 0;
  double platform_free_at_s = 0;
  while (now_s < std::chrono::duration<double>(kMeasurementTime).count()) {
    now_s += arrivals(random);
    ++result.requests;
    const double write_start_s = std::max(now_s, platform_free_at_s);
    // A request whose write cannot complete before the deadline is refused and uses no write.
    if (write_start_s - now_s + platform_s > deadline_s) continue;
    platform_free_at_s = write_start_s + 1 / kBaselineWritesPerSecond;
    ++result.in_time;
    result.latencies_ms.push_back((write_start_s - now_s + platform_s) * 1000);
  }
  return result;
}

/// Runs the simulation and the baseline at `rate` requests per second and prints their figures.
void MeasureRate(int rate) {
  const std::string suffix = "_rate_" + std::to_string(rate);
  const double measured_s = std::chrono::duration<double>(kMeasurementTime).count();
  claim_figures simulated = claim_simulation(rate).Run();
  const auto claims = static_cast<double>(simulated.latencies_ms.size());
  Print("claims_per_write" + suffix, claims / static_cast<double>(simulated.writes), "claims");
  Print("claim_writes_per_second" + suffix, static_cast<double>(simulated.writes) / measured_s,
        "1/s");
  Print("claim_written_bytes_per_second" + suffix,
        static_cast<double>(simulated.bytes) / measured_s, "B/s");
  Print("claim_latency_p50" + suffix, Quantile(simulated.latencies_ms, 0.5), "ms");
  Print("claim_latency_p99" + suffix, Quantile(simulated.latencies_ms, 0.99), "ms");

  baseline_figures baseline = RunBaseline(rate);
  Print("baseline_writes_per_second" + suffix, static_cast<double>(baseline.in_time) / measured_s,
        "1/s");
  Print("baseline_latency_p50" + suffix, Quantile(baseline.latencies_ms, 0.5), "ms");
  Print("baseline_latency_p99" + suffix, Quantile(baseline.latencies_ms, 0.99), "ms");
  Print("baseline_claimed" + suffix,
        100 * static_cast<double>(baseline.in_time) / static_cast<double>(baseline.requests), "%");
}

}  // namespace
}  // namespace siskinrack::bench

int main() {
  for (const int rate : siskinrack::bench::kRequestRates) siskinrack::bench::MeasureRate(rate);
  return 0;
}
