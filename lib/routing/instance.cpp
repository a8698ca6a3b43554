#include "siskinrack/routing/instance.h"

namespace siskinrack::routing {

report_verdict local_instance::OnReport(const instance_report& report, time_point now) {
  if (departed_unknown_ == report.life) return report_verdict::kOutdated;
  const bool same = current_ && report.life == current_->life;
  if (same && (left_ || report.sequence <= current_->sequence)) return report_verdict::kOutdated;
  if (current_ && !same && report.life.born_ms <= current_->life.born_ms) {
    return report_verdict::kOutdated;
  }
  if (!same) leaving_since_.reset();
  left_ = false;
  last_report_ = now;
  current_ = report;
  if (report.state == instance_state::kDraining && !leaving_since_) {
    // An earlier process may have acknowledged a departure that was never reported here as new.
    leaving_since_ = same ? now : time_point::min();
  }
  return report_verdict::kApplied;
}

bool local_instance::OnLeave(const std::string& instance_id, std::optional<std::int64_t> born_ms,
                             time_point now) {
  if (!current_ && born_ms) departed_unknown_ = lifetime{instance_id, *born_ms};
  if (!current_ || current_->life.instance_id != instance_id) return false;
  if (born_ms && *born_ms != current_->life.born_ms) return false;
  left_ = true;
  if (!leaving_since_) leaving_since_ = now;
  return true;
}

}  // namespace siskinrack::routing
