#include "siskinrack/quarantine/scoped_run.h"

#include <gtest/gtest.h>

#include <stdexcept>
#include <string>

#include "siskinrack/quarantine/run_outcome.h"

namespace siskinrack::quarantine {
namespace {

/// Passes runs on to a crash detector, as the services of the nodes do.
struct fake_recorder {
  crash_detector::token BeginRun(const std::string& call) {
    return detector.Begin([&call, this] {
      ++fingerprints;
      return std::hash<std::string>{}(call);
    });
  }
  void EndRun(crash_detector::token run, const std::string&, const net::http_result& result,
              bool cancelled) {
    ++ended;
    check_requested = detector.End(run, ToRequestOutcome(result, cancelled));
  }

  crash_detector detector;
  int fingerprints = 0;
  int ended = 0;
  bool check_requested = false;
};

// Guards against the record of a run that ended by an exception: it refers to a call that no longer
// exists, which the next crash of the upstream reads.
TEST(ScopedRun, RunEndsWithItsScope) {
  fake_recorder recorder;
  EXPECT_THROW(
      {
        const std::string call = "call";
        const scoped_run run(recorder, call);
        throw std::runtime_error("send failed");
      },
      std::runtime_error);
  EXPECT_EQ(recorder.ended, 1);
  // No connection broke, so the upstream isn't checked.
  EXPECT_FALSE(recorder.check_requested);
  EXPECT_EQ(recorder.fingerprints, 1);
  recorder.detector.BeginCheck();
  recorder.detector.OnHealthCheck(upstream_health::kUnreachable);
  EXPECT_EQ(recorder.fingerprints, 1) << "the call was read after its end";
}

TEST(ScopedRun, ResultIsRecordedOnce) {
  fake_recorder recorder;
  const std::string call = "call";
  {
    scoped_run run(recorder, call);
    run.End({net::exchange_stage::kSent, {}, "broke", false}, false);
  }
  EXPECT_EQ(recorder.ended, 1);
  EXPECT_TRUE(recorder.check_requested);
}

}  // namespace
}  // namespace siskinrack::quarantine
