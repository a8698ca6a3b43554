#include "siskinrack/routing/instance.h"

namespace siskinrack::routing {

namespace {

/// Heartbeats arrive seconds late at most; the time of day, by which lifetimes are compared, may
/// jump, so a departure isn't kept for longer.
constexpr std::chrono::seconds kLateReport{10};

}  // namespace

bool local_instance::HasDeparted(const lifetime& life, time_point now) const {
  return departed_unknown_ && departed_unknown_->instance_id == life.instance_id &&
         life.born_ms <= departed_unknown_->latest_born_ms && now < departed_unknown_->until;
}

report_result local_instance::OnReport(const instance_report& report, time_point now) {
  if (HasDeparted(report.life, now)) return report_result::kOutdated;
  const bool same = current_ && report.life == current_->life;
  if (same && (has_departed_ || report.sequence <= current_->sequence))
    return report_result::kOutdated;
  if (current_ && !same && report.life.born_ms <= current_->life.born_ms) {
    return report_result::kOutdated;
  }
  if (!same) leaving_since_.reset();
  has_departed_ = false;
  last_report_ = now;
  current_ = report;
  if (report.state == instance_state::kDraining && !leaving_since_) {
    // An earlier process may have acknowledged a departure that was never reported here as new.
    leaving_since_ = same ? now : time_point::min();
  }
  return report_result::kApplied;
}

bool local_instance::OnDeparture(const std::string& instance_id,
                                 std::optional<std::int64_t> born_ms, time_point now,
                                 std::int64_t wall_ms) {
  if (!current_) departed_unknown_ = {instance_id, born_ms.value_or(wall_ms), now + kLateReport};
  if (!current_ || current_->life.instance_id != instance_id) return false;
  if (born_ms && *born_ms != current_->life.born_ms) return false;
  has_departed_ = true;
  if (!leaving_since_) leaving_since_ = now;
  return true;
}

}  // namespace siskinrack::routing
