#ifndef SISKINRACK_QUARANTINE_CRASH_DETECTOR_H_
#define SISKINRACK_QUARANTINE_CRASH_DETECTOR_H_

#include <cstdint>
#include <optional>
#include <set>
#include <vector>

namespace siskinrack::quarantine {

/// Outcome of a request as evidence about its upstream.
enum class request_outcome {
  kAnswered,
  /// The connection broke after the request was sent.
  kBroken,
  /// Not sent, timed out or cancelled; not evidence about the upstream.
  kOther,
};

/// Distinguishes a crash of the upstream from a single broken connection. Not thread-safe.
class crash_detector {
 public:
  using token = std::uint64_t;

  /// Records that a request is sent to the upstream and returns its token.
  token Begin();
  /// Records the end of a request. Returns true if the health endpoint of the upstream must now be
  /// queried and the result passed to OnHealthCheck.
  bool End(token request, request_outcome outcome, std::uint64_t fingerprint);

  /// Processes the result of the health check. If the upstream crashed, returns the fingerprints of
  /// the suspects, that is the requests whose connections broke. The upstream counts as crashed if
  /// it failed the health check and all requests that were in flight at the first break have ended
  /// without an answer.
  std::optional<std::vector<std::uint64_t>> OnHealthCheck(bool health_check_passed);

 private:
  /// A possible crash, from the first broken connection to the health check.
  struct incident {
    /// Requests that were in flight at the first break and have not ended.
    std::set<token> remaining;
    std::set<std::uint64_t> suspects;
    bool upstream_answered = false;
  };

  token next_token_ = 1;
  std::set<token> in_flight_;
  std::optional<incident> incident_;
};

}  // namespace siskinrack::quarantine

#endif  // SISKINRACK_QUARANTINE_CRASH_DETECTOR_H_
