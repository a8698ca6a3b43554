#include "siskinrack/quarantine/crash_detector.h"

namespace siskinrack::quarantine {

crash_detector::token crash_detector::Begin() {
  in_flight_.insert(next_token_);
  return next_token_++;
}

bool crash_detector::End(token request, request_outcome outcome, std::uint64_t fingerprint) {
  in_flight_.erase(request);
  if (!incident_) {
    if (outcome != request_outcome::kBroken) return false;
    incident_ = incident{in_flight_, {fingerprint}, false};
    return true;
  }
  // A request sent after the first break reached an upstream that had already crashed, so it is no
  // suspect.
  if (incident_->remaining.erase(request) == 0) return false;
  if (outcome == request_outcome::kBroken) incident_->suspects.insert(fingerprint);
  if (outcome == request_outcome::kAnswered) incident_->upstream_answered = true;
  return false;
}

std::optional<std::vector<std::uint64_t>> crash_detector::OnHealthCheck(bool health_check_passed) {
  if (!incident_) return std::nullopt;
  const incident finished = std::move(*incident_);
  incident_.reset();
  if (health_check_passed || finished.upstream_answered || !finished.remaining.empty())
    return std::nullopt;
  return std::vector<std::uint64_t>(finished.suspects.begin(), finished.suspects.end());
}

}  // namespace siskinrack::quarantine
