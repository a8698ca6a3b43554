#ifndef SISKINRACK_QUARANTINE_CRASH_DETECTOR_H_
#define SISKINRACK_QUARANTINE_CRASH_DETECTOR_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <vector>

namespace siskinrack::quarantine {

/// Outcome of a request as evidence about itself and its upstream.
enum class request_outcome {
  kAnswered,
  /// The connection broke after the request was sent.
  kBroken,
  /// The request was sent, but its caller left or its deadline passed before a response.
  kAbandoned,
  /// Not sent, because no connection could be made or the caller left.
  kNotSent,
};

/// Result of a connection attempt to an upstream that may have crashed.
enum class upstream_health {
  kReachable,
  /// The connection was refused: no process listens at the address.
  kUnreachable,
  /// No result within the time limit; the upstream may be overloaded or its VM lost.
  kUnknown,
};

/// Distinguishes a crash of the upstream from connections that broke for other reasons, and
/// attributes the crash to the requests that may have caused it. Not thread-safe.
///
/// A request that ended without a response is a suspect until the upstream proves that it has
/// survived it: by a response to a request that began later, or by accepting a connection later. A
/// response to a request that began earlier proves nothing, because the responses and ends of
/// several connections are read in any order.
class crash_detector {
 public:
  using token = std::uint64_t;
  using fingerprint_source = std::function<std::uint64_t()>;

  /// Records that a request is sent to the upstream and returns its token. `fingerprint` is called
  /// at most once, before or in End.
  token Begin(fingerprint_source fingerprint);
  /// Records the end of a request. Returns true if the upstream must now be checked: call
  /// BeginCheck, connect to it, and pass the result to OnHealthCheck.
  bool End(token request, request_outcome outcome);

  /// Records that the upstream is about to be checked.
  void BeginCheck() { check_began_ = ++sequence_; }

  /// Consequence of a health check.
  struct check_result {
    /// Fingerprints of the requests that may have caused a crash; empty if there was none.
    std::vector<std::uint64_t> suspects;
    /// The upstream must be checked again after a delay.
    bool repeat = false;
  };
  /// Processes the result of the check. An unreachable upstream has crashed. If the result is
  /// unknown, it has crashed once no request is open that could still be answered.
  check_result OnHealthCheck(upstream_health health);

 private:
  /// Maximum number of unproven ends; the oldest is discarded. Bounds memory.
  static constexpr std::size_t kMaxUnprovenEnds = 64;

  /// End of a request without a response, which the upstream is not known to have survived.
  struct unproven_end {
    std::uint64_t fingerprint = 0;
    /// Sequence number of the end.
    std::uint64_t ended = 0;
    /// False for an abandoned request, which is no reason for a check by itself.
    bool broken = false;
  };

  /// Returns true unless a check is pending already.
  bool StartCheck();
  /// Discards the ends before `sequence`, which the upstream has survived.
  void ForgetEndsBefore(std::uint64_t sequence);
  [[nodiscard]] bool HasBrokenEnd() const;
  check_result ReportCrash();

  /// Order of all events; tokens are the sequence numbers of the begins.
  std::uint64_t sequence_ = 0;
  std::map<token, fingerprint_source> in_flight_;
  std::deque<unproven_end> unproven_;
  bool check_pending_ = false;
  std::uint64_t check_began_ = 0;
  /// Sequence number of the last reported crash. Requests that began before it belong to it and
  /// were reported with it.
  std::uint64_t crash_reported_ = 0;
};

}  // namespace siskinrack::quarantine

#endif  // SISKINRACK_QUARANTINE_CRASH_DETECTOR_H_
