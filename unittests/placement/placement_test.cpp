#include <gtest/gtest.h>

#include <cmath>
#include <numbers>
#include <numeric>

#include "load_replay.h"

namespace siskinrack::placement {
namespace {

constexpr double kWavePeriodMs = 15'000;

/// Returns the load of a portal on 45 upstreams of unequal speed in three zones: many short reads
/// and fewer, more urgent writes, in waves of 0.45 to 1.55 times `per_second`. One zone has fewer
/// upstreams for its callers than the others.
load_pattern MakePortalLoad(double per_second) {
  load_pattern pattern;
  const call_kind read{.work_class = 1,
                       .priority = 2,
                       .work_ms = 225,
                       .spread = 0.7,
                       .target_ms = 600,
                       .share = 0.73,
                       .worth = 1,
                       .late_worth = 0.5};
  const call_kind write{.work_class = 2,
                        .priority = 1,
                        .work_ms = 240,
                        .spread = 0.3,
                        .target_ms = 800,
                        .timeout_ms = 2'500,
                        .caller_deadline_ms = 5'000,
                        .share = 0.27,
                        .worth = 2,
                        .late_worth = 1};
  pattern.kinds = {read, write};
  constexpr double kSpeeds[] = {0.55, 1.2, 1.2, 1.2};
  for (std::size_t i = 0; i < 45; ++i) {
    upstream_model upstream;
    upstream.speed = kSpeeds[i / 3 % 4];
    upstream.zone = i < 28 ? i % 2 : 2;
    pattern.upstreams.push_back(upstream);
  }
  pattern.zone_shares = {0.315, 0.359, 0.326};
  pattern.rate_at = [per_second](double ms) {
    return per_second * (1 + 0.55 * std::sin(2 * std::numbers::pi * ms / kWavePeriodMs));
  };
  pattern.length_ms = 2 * kWavePeriodMs;
  return pattern;
}

double Fraction(std::size_t part, std::size_t all) {
  return static_cast<double>(part) / static_cast<double>(all);
}

std::size_t CountOwed(const replay_result& result) {
  std::size_t owed = 0;
  for (const auto& kind : result.kinds) owed += kind.owed;
  return owed;
}

// Guards against calls that wait at one upstream while another one of their zone is idle: reports
// of the load are older than the calls, and half of the calls waited so.
TEST(Placement, CallsDoNotWaitBesideIdleUpstreams) {
  const replay_result result = Replay(MakePortalLoad(935));
  EXPECT_LT(Fraction(result.waited_beside_idle, CountOwed(result)), 0.2);
}

// Guards against callers that come back late although the refusal says nothing about the load: the
// upstreams refuse half of their calls, and an early return is answered in time.
TEST(Placement, CallersRefusedByUpstreamsComeBackInTime) {
  load_pattern pattern = MakePortalLoad(1'535);
  for (upstream_model& upstream : pattern.upstreams) {
    upstream.trouble_from_ms = 13'000;
    upstream.trouble_until_ms = 21'500;
    upstream.shed_rate = 0.55;
  }
  const replay_result result = Replay(pattern);
  EXPECT_GT(Fraction(result.kinds[0].in_time, result.kinds[0].owed), 0.8);
}

// Guards against calls that are sent to slow upstreams by their number of calls: a slow upstream
// gets work by its speed.
TEST(Placement, SlowUpstreamsGetFewCalls) {
  load_pattern pattern = MakePortalLoad(1'390);
  std::size_t slow = 0;
  for (std::size_t i = 0; i < pattern.upstreams.size(); i += 6, ++slow) {
    pattern.upstreams[i].trouble_from_ms = 10'000;
    pattern.upstreams[i].trouble_until_ms = 16'500;
    pattern.upstreams[i].slow_factor = 12;
  }
  const replay_result result = Replay(pattern);
  const double runs =
      std::accumulate(result.runs_in_trouble.begin(), result.runs_in_trouble.end(), 0.0);
  // At a twelfth of their speed, the slots of one upstream run 3.5 calls a second.
  EXPECT_LT(runs / static_cast<double>(slow), 3.5 * 6.5 + 2 * pattern.slots);
  EXPECT_GT(Fraction(result.kinds[0].in_time, result.kinds[0].owed), 0.88);
}

/// Returns the load of a small service that gets `overload` times what its three upstreams can
/// serve, with a few calls on routes that were just added. Those are of the highest rank, and their
/// deadline comes before their target. `work_ms` is the mean service time of all calls.
load_pattern MakeLoadWithAddedRoutes(double overload, double work_ms, std::uint64_t seed) {
  load_pattern pattern;
  constexpr double kAddedShare = 0.005;
  constexpr std::size_t kAddedRoutes = 3;
  const call_kind booking{.work_class = 1,
                          .priority = 1,
                          .work_ms = work_ms,
                          .spread = 0.3,
                          .target_ms = 300,
                          .timeout_ms = 2'000,
                          .caller_deadline_ms = 2'000,
                          .share = 1 - kAddedRoutes * kAddedShare};
  pattern.kinds = {booking};
  for (std::size_t i = 0; i < kAddedRoutes; ++i) {
    call_kind added = booking;
    added.work_class = 10 + i;
    added.priority = 0;
    added.target_ms = 800;
    added.timeout_ms = added.caller_deadline_ms = 700;
    added.caller_retries = 0;
    added.share = kAddedShare;
    pattern.kinds.push_back(added);
  }
  pattern.slots = 6;
  pattern.upstreams.resize(3);
  const double capacity = 3 * 6 * 1'000 / work_ms;
  pattern.rate_at = [=](double) { return overload * capacity; };
  pattern.length_ms = 40'000;
  pattern.seed = seed;
  return pattern;
}

// Guards against calls on added routes that wait behind late calls of lower ranks until too little
// time is left: their service time was assumed to be short as long as it wasn't known, and again
// some seconds after each answer. The platform demands a quarter of the served share of the first
// routes (CONFIG); calls of the highest rank should be served at least as often as others.
TEST(Placement, CallsOnAddedRoutesAreServedUnderOverload) {
  for (const double work_ms : {110, 200, 300}) {
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
      const replay_result result = Replay(MakeLoadWithAddedRoutes(1.5, work_ms, seed));
      const auto count_served = [](const replay_result::kind_result& kind) {
        return kind.in_time + kind.late;
      };
      const double first = Fraction(count_served(result.kinds[0]), result.kinds[0].owed);
      std::size_t served = 0;
      std::size_t owed = 0;
      for (std::size_t i = 1; i < result.kinds.size(); ++i) {
        served += count_served(result.kinds[i]);
        owed += result.kinds[i].owed;
      }
      EXPECT_GE(Fraction(served, owed), first)
          << work_ms << " ms of work, seed " << seed << ": " << served << " of " << owed;
    }
  }
}

}  // namespace
}  // namespace siskinrack::placement
