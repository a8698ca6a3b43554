#ifndef SISKINRACK_QUARANTINE_QUARANTINE_TABLE_H_
#define SISKINRACK_QUARANTINE_QUARANTINE_TABLE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace siskinrack::quarantine {

using steady_time = std::chrono::steady_clock::time_point;

/// Time for which crashes and completed requests count as evidence.
inline constexpr std::chrono::seconds kEvidenceWindow{60};
/// Time for which a fingerprint stays quarantined after the newest evidence.
inline constexpr std::chrono::seconds kQuarantineDuration{60};
/// Maximum number of suspects per crash; further ones are ignored. Bounds memory and message size.
/// An upstream usually has 6 to 18 slots; a configuration allows 1024, a heartbeat 65,535.
inline constexpr std::size_t kMaxSuspects = 64;
/// Maximum number of fingerprints with evidence; evidence against further ones is ignored.
inline constexpr std::size_t kMaxFingerprints = 4096;
/// Maximum number of completed requests that are stored; the oldest are discarded.
inline constexpr std::size_t kMaxCompleted = 4096;

/// Represents one crash of an upstream and the requests that may have caused it.
struct crash {
  std::string node_id;
  /// Unique among the crashes of the node.
  std::uint64_t crash_id = 0;
  /// Fingerprints of the requests.
  std::vector<std::uint64_t> suspects;
  /// Time of the crash by the local clock; for a crash on another node, possibly the time at which
  /// its evidence was received.
  steady_time at{};
};

/// Describes a quarantined fingerprint and the evidence for it.
struct quarantined_fingerprint {
  std::uint64_t fingerprint = 0;
  std::size_t crashes = 0;
  /// Node id of each crash; an id may occur more than once.
  std::vector<std::string> nodes;
  std::chrono::milliseconds remaining{0};
};

/// Changes caused by a crash or a completed request.
struct quarantine_change {
  /// Fingerprints that are newly quarantined.
  std::vector<std::uint64_t> quarantined;
  /// Suspects cleared by a request that completed on this node within the window.
  std::vector<std::uint64_t> cleared;
};

/// Stores crash evidence and determines which fingerprints are quarantined. Not thread-safe.
///
/// A fingerprint is quarantined after two crashes within the window if no request with it completed
/// in that time. If several suspects of a crash have that many crashes, some of them may be
/// harmless and merely have been in flight together with the cause twice. Each of these is
/// quarantined after a third crash, or once all others are cleared.
class quarantine_table {
 public:
  /// Records a crash; ignores crashes older than the window and suspects cleared within it.
  quarantine_change AddCrash(const crash& evidence, steady_time now);

  /// Records a complete answer, which clears the fingerprint if there was evidence against it.
  quarantine_change Complete(std::uint64_t fingerprint, steady_time now);
  /// Applies an operator's release by discarding the evidence up to `now`. Returns false if an
  /// earlier release is stored and there is no evidence after it.
  bool Release(std::uint64_t fingerprint, steady_time now);

  [[nodiscard]] bool IsQuarantined(std::uint64_t fingerprint, steady_time now) const;
  [[nodiscard]] std::vector<quarantined_fingerprint> QuarantinedFingerprints(steady_time now) const;
  /// Returns the crashes with the suspects that have not been cleared.
  [[nodiscard]] std::vector<crash> Crashes() const;
  /// Returns true if there is no evidence, so that the hot path can skip further checks.
  [[nodiscard]] bool empty() const { return suspects_.empty(); }
  /// Discards evidence and releases older than the window.
  void Expire(steady_time now);

 private:
  /// Identifies a crash in which a suspect was in flight.
  struct crash_reference {
    std::string node_id;
    std::uint64_t crash_id = 0;
    steady_time at{};
  };
  struct suspect {
    std::vector<crash_reference> crashes;
    steady_time quarantined_until{};
  };

  [[nodiscard]] bool CompletedSince(std::uint64_t fingerprint, steady_time time) const;
  void AddEvidence(std::uint64_t fingerprint, const crash& evidence);
  /// Quarantines those suspects of a crash against which there is sufficient evidence; returns the
  /// newly quarantined ones.
  std::vector<std::uint64_t> QuarantineCandidates(const std::string& node_id,
                                                  std::uint64_t crash_id, steady_time now);

  std::map<std::uint64_t, suspect> suspects_;
  /// Time of the latest completed request by fingerprint.
  std::unordered_map<std::uint64_t, steady_time> completed_;
  /// Completions, oldest first; used to discard the oldest entries of `completed_`.
  std::deque<std::pair<steady_time, std::uint64_t>> completed_order_;
  /// Time of the operator's latest release by fingerprint. Evidence up to that time is ignored.
  std::map<std::uint64_t, steady_time> released_;
};

}  // namespace siskinrack::quarantine

#endif  // SISKINRACK_QUARANTINE_QUARANTINE_TABLE_H_
