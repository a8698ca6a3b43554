// Claims of non-repeatable requests in virtual time, with a platform that answers in 2 ms: claims
// per platform write, writes a second of the whole fleet, and the latency that a claim adds. The
// baseline is one conditional create per request against a platform that accepts 400 writes/s.

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
constexpr std::array<int, 5> kRates = {10, 100, 300, 1'000, 5'000};
constexpr milliseconds kPlatformTime{2};
constexpr milliseconds kServiceTime{5};
constexpr microseconds kTick{250};
constexpr seconds kWarmUp{5};
constexpr seconds kMeasured{30};
constexpr milliseconds kDeadline{2'000};
/// "Several hundred writes/s" (section 1.6 of the design page).
constexpr double kBaselineWritesPerSecond = 400;
constexpr std::size_t kAnswerBytes = 200;

struct waiting_claim {
  idempotency::claim_request ask;
  steady_time asked_at;
};

struct running_request {
  std::string key;
  std::uint64_t attempt;
  steady_time ends_at;
};

struct shard {
  std::unique_ptr<idempotency::shard_owner> owner;
  std::optional<idempotency::store_call_result> result;
  steady_time result_at{};
  std::deque<waiting_claim> waiting;
  std::deque<running_request> running;
};

struct figures {
  std::vector<double> latencies_ms;
  std::size_t writes = 0;
  std::size_t reads = 0;
  std::size_t bytes = 0;
};

class claim_simulation {
 public:
  explicit claim_simulation(int rate) : arrivals_(rate) {
    for (std::size_t i = 0; i < kShards; ++i) {
      shards_.at(i).owner = std::make_unique<idempotency::shard_owner>(i, random_());
    }
  }

  figures Run() {
    const steady_time begin = now_;
    const steady_time measured_from = begin + kWarmUp;
    bool measuring = false;
    steady_time next_arrival = begin;
    for (; now_ < measured_from + kMeasured; now_ += kTick) {
      if (!measuring && now_ >= measured_from) {
        measuring = true;
        result_ = {};
        store_.writes = store_.reads = store_.written_bytes = 0;
      }
      while (next_arrival <= now_) {
        Arrive();
        next_arrival += std::chrono::duration_cast<steady_time::duration>(
            std::chrono::duration<double>(arrivals_distribution_(random_) / arrivals_));
      }
      for (shard& item : shards_) Step(item);
    }
    result_.writes = store_.writes;
    result_.reads = store_.reads;
    result_.bytes = store_.written_bytes;
    return std::move(result_);
  }

 private:
  void Arrive() {
    const std::string key = "order-" + std::to_string(random_());
    shard& item = shards_.at(idempotency::ShardForKey(key));
    item.waiting.push_back({{key, random_(), random_(), kDeadline}, now_});
  }

  void Step(shard& item) {
    if (item.result && now_ >= item.result_at) {
      item.owner->OnResult(std::move(*item.result), now_);
      item.result.reset();
    }
    std::erase_if(item.waiting, [&](const waiting_claim& claim) {
      const auto decision = item.owner->RequestClaim(claim.ask, now_);
      if (!decision) return false;
      const std::chrono::duration<double, std::milli> passed = now_ - claim.asked_at;
      result_.latencies_ms.push_back(passed.count());
      item.running.push_back({claim.ask.key, claim.ask.attempt, now_ + kServiceTime});
      return true;
    });
    while (!item.running.empty() && item.running.front().ends_at <= now_) {
      const running_request& done = item.running.front();
      item.owner->Finish(done.key, done.attempt, true,
                         idempotency::stored_answer{200, {}, std::string(kAnswerBytes, 'x')}, now_);
      item.running.pop_front();
    }
    if (item.result) return;
    if (const auto call = item.owner->NextCall(now_)) {
      item.result = idempotency::RunCall(store_, *call);
      item.result_at = now_ + kPlatformTime;
    }
    item.owner->TakeEvents();
  }

  std::mt19937_64 random_{kSeed};
  std::exponential_distribution<double> arrivals_distribution_{1.0};
  double arrivals_;
  steady_time now_{std::chrono::hours(1)};
  test::fake_store store_;
  std::array<shard, kShards> shards_;
  figures result_;
};

/// One write for each request; writes beyond the platform's rate wait their turn.
struct baseline_figures {
  std::vector<double> latencies_ms;
  std::size_t in_time = 0;
  std::size_t requests = 0;
};

baseline_figures RunBaseline(int rate) {
  std::mt19937_64 random{kSeed};
  std::exponential_distribution<double> arrivals{static_cast<double>(rate)};
  baseline_figures result;
  const double deadline_s = std::chrono::duration<double>(kDeadline).count();
  const double platform_s = std::chrono::duration<double>(kPlatformTime).count();
  double now_s = 0;
  double free_at_s = 0;
  while (now_s < std::chrono::duration<double>(kMeasured).count()) {
    now_s += arrivals(random);
    ++result.requests;
    const double start_s = std::max(now_s, free_at_s);
    // A request whose write can't be made before its deadline is refused and takes no turn.
    if (start_s - now_s + platform_s > deadline_s) continue;
    free_at_s = start_s + 1 / kBaselineWritesPerSecond;
    ++result.in_time;
    result.latencies_ms.push_back((start_s - now_s + platform_s) * 1000);
  }
  return result;
}

void Report(int rate) {
  const std::string suffix = "_rate_" + std::to_string(rate);
  const double measured_s = std::chrono::duration<double>(kMeasured).count();
  figures own = claim_simulation(rate).Run();
  const auto claims = static_cast<double>(own.latencies_ms.size());
  Print("claims_per_write" + suffix, claims / static_cast<double>(own.writes), "claims");
  Print("claim_writes_per_second" + suffix, static_cast<double>(own.writes) / measured_s, "1/s");
  Print("claim_written_bytes_per_second" + suffix, static_cast<double>(own.bytes) / measured_s,
        "B/s");
  Print("claim_latency_p50" + suffix, Quantile(own.latencies_ms, 0.5), "ms");
  Print("claim_latency_p99" + suffix, Quantile(own.latencies_ms, 0.99), "ms");

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
  for (const int rate : siskinrack::bench::kRates) siskinrack::bench::Report(rate);
  return 0;
}
