#include "siskinrack/support/hybrid_clock.h"

#include <algorithm>
#include <chrono>
#include <limits>
#include <utility>

namespace siskinrack::support {
namespace {

std::int64_t ReadSystemClockUs() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::microseconds>(now).count();
}

}  // namespace

std::string hybrid_time::ToText() const {
  return std::to_string(wall_us) + '.' + std::to_string(logical);
}

hybrid_clock::hybrid_clock(std::int64_t skew_us)
    : wall_clock_([skew_us] { return ReadSystemClockUs() + skew_us; }) {}

hybrid_clock::hybrid_clock(wall_clock clock) : wall_clock_(std::move(clock)) {}

hybrid_time hybrid_clock::Tick() {
  const std::lock_guard lock(mutex_);
  return AdvanceLocked(last_);
}

hybrid_time hybrid_clock::Observe(hybrid_time remote) {
  const std::int64_t wall = wall_clock_();
  if (remote.wall_us > wall + kMaxAheadUs) {
    ++refused_;
    ReportRefusal(wall, remote.wall_us - wall);
    return Tick();
  }
  const std::lock_guard lock(mutex_);
  return AdvanceLocked(std::max(last_, remote));
}

void hybrid_clock::SetRefusalHandler(refusal_handler handler) {
  const std::lock_guard lock(mutex_);
  on_refusal_ = std::move(handler);
}

void hybrid_clock::ReportRefusal(std::int64_t wall_us, std::int64_t ahead_us) {
  refusal_handler handler;
  {
    const std::lock_guard lock(mutex_);
    if (wall_us < next_report_us_) return;
    next_report_us_ = wall_us + kRefusalReportIntervalUs;
    handler = on_refusal_;
  }
  if (handler) handler(ahead_us);
}

hybrid_time hybrid_clock::AdvanceLocked(hybrid_time floor) {
  const std::int64_t wall = wall_clock_();
  if (wall > floor.wall_us) {
    last_ = {wall, 0};
  } else if (floor.logical == std::numeric_limits<std::uint32_t>::max()) {
    last_ = {floor.wall_us + 1, 0};
  } else {
    last_ = {floor.wall_us, floor.logical + 1};
  }
  return last_;
}

}  // namespace siskinrack::support
