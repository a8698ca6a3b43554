#include "siskinrack/routing/instance.h"

namespace siskinrack::routing {

namespace {

/// Time for which the departure of an unknown lifetime is kept. Heartbeats are delayed by a few
/// seconds at most, and the wall clock by which lifetimes are compared may jump, so the departure
/// must not be kept longer.
constexpr std::chrono::seconds kDepartureRetention{10};

}  // namespace

bool local_instance::MatchesUnknownDeparture(const lifetime& life, time_point now) const {
  return unknown_departure_ && unknown_departure_->instance_id == life.instance_id &&
         life.born_ms <= unknown_departure_->latest_born_ms &&
         now < unknown_departure_->retained_until;
}

report_result local_instance::OnReport(const instance_report& report, time_point now) {
  if (MatchesUnknownDeparture(report.life, now) || departed_.contains(report.life)) {
    return report_result::kOutdated;
  }
  const bool same_lifetime = current_ && report.life == current_->life;
  if (same_lifetime && (has_departed_ || report.sequence <= current_->sequence))
    return report_result::kOutdated;
  if (current_ && !same_lifetime && report.life.born_ms <= current_->life.born_ms) {
    return report_result::kOutdated;
  }
  if (!same_lifetime) leaving_since_.reset();
  has_departed_ = false;
  last_report_ = now;
  current_ = report;
  if (report.state == instance_state::kDraining && !leaving_since_) {
    // If the first heartbeat reports draining, an earlier process of this node may have
    // acknowledged the departure already, so the drain period counts as over.
    leaving_since_ = same_lifetime ? now : time_point::min();
  }
  // A late heartbeat may have been sent before the drain.
  if (recorded_drain_ == report.life && !leaving_since_) leaving_since_ = time_point::min();
  return report_result::kApplied;
}

bool local_instance::OnDeparture(const std::string& instance_id,
                                 std::optional<std::int64_t> born_ms, time_point now,
                                 std::int64_t wall_ms) {
  if (!current_)
    unknown_departure_ = {instance_id, born_ms.value_or(wall_ms), now + kDepartureRetention};
  if (!current_ || current_->life.instance_id != instance_id) return false;
  if (born_ms && *born_ms != current_->life.born_ms) return false;
  has_departed_ = true;
  if (!leaving_since_) leaving_since_ = now;
  return true;
}

void local_instance::OnRecord(const lifetime& life, instance_state state) {
  if (state == instance_state::kDraining) recorded_drain_ = life;
  if (state != instance_state::kDeparted) return;
  departed_.insert(life);
  if (departed_.size() > kMaxDeparted) departed_.erase(departed_.begin());
  if (!current_ || !(current_->life == life)) return;
  has_departed_ = true;
  if (!leaving_since_) leaving_since_ = time_point::min();
}

bool local_instance::OnAnnouncedDeparture(const lifetime& life, time_point now) {
  if (!current_ || !(current_->life == life) || leaving_since_) return false;
  leaving_since_ = now;
  return true;
}

}  // namespace siskinrack::routing
