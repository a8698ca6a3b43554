#include "siskinrack/routing/instance.h"

namespace siskinrack::routing {

report_verdict local_instance::OnReport(const instance_report& report, time_point now) {
  if (current_) {
    const bool same = report.life == current_->life;
    if (same && (left_ || report.sequence <= current_->sequence)) return report_verdict::kOutdated;
    if (!same && report.life.born_ms <= current_->life.born_ms) return report_verdict::kOutdated;
    if (!same) leaving_since_.reset();
  }
  left_ = false;
  last_report_ = now;
  current_ = report;
  if (report.state == instance_state::kDraining && !leaving_since_) leaving_since_ = now;
  return report_verdict::kApplied;
}

bool local_instance::OnLeave(const std::string& instance_id, std::optional<std::int64_t> born_ms,
                             time_point now) {
  if (!current_ || current_->life.instance_id != instance_id) return false;
  if (born_ms && *born_ms != current_->life.born_ms) return false;
  left_ = true;
  if (!leaving_since_) leaving_since_ = now;
  return true;
}

}  // namespace siskinrack::routing
