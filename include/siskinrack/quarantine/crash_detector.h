#ifndef SISKINRACK_QUARANTINE_CRASH_DETECTOR_H_
#define SISKINRACK_QUARANTINE_CRASH_DETECTOR_H_

#include <cstdint>
#include <optional>
#include <set>
#include <vector>

namespace siskinrack::quarantine {

enum class request_outcome {
  kAnswered,
  /// The connection broke after the request was sent.
  kBroken,
  /// Not sent, timed out or cancelled: says nothing about the upstream.
  kOther,
};

/// Tells a crash of the upstream from a single broken connection. Not thread-safe.
class crash_detector {
 public:
  using token = std::uint64_t;

  /// A request is sent to the upstream.
  token Begin();
  /// It has ended. Returns true if the health endpoint is to be asked now; the answer goes to
  /// OnHealthCheck.
  bool End(token run, request_outcome how, std::uint64_t fingerprint);

  /// Result of the check. Returns the suspects if the upstream crashed: the requests whose
  /// connections broke, provided that all connections in use broke and the health endpoint gave no
  /// answer.
  std::optional<std::vector<std::uint64_t>> OnHealthCheck(bool health_answers);

 private:
  struct incident {
    /// In flight at the first break and not ended yet.
    std::set<token> remaining;
    std::set<std::uint64_t> suspects;
    bool survived = false;
  };

  token next_ = 1;
  std::set<token> in_flight_;
  std::optional<incident> incident_;
};

}  // namespace siskinrack::quarantine

#endif  // SISKINRACK_QUARANTINE_CRASH_DETECTOR_H_
