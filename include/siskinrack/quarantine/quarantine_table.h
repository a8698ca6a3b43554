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

/// Crashes and completed runs count for this long.
inline constexpr std::chrono::seconds kWindow{60};
/// Time that a fingerprint is held back after the newest evidence.
inline constexpr std::chrono::seconds kHoldTime{60};
/// Bounds memory and message size; an upstream has at most 1024 slots and usually 6 to 18.
inline constexpr std::size_t kMaxSuspects = 64;
inline constexpr std::size_t kMaxFingerprints = 4096;
inline constexpr std::size_t kMaxCompleted = 4096;

/// One crash of an upstream.
struct crash {
  std::string node_id;
  std::uint64_t crash_id = 0;
  std::vector<std::uint64_t> suspects;
  steady_time at{};
};

struct quarantined_fingerprint {
  std::uint64_t fingerprint = 0;
  std::size_t crashes = 0;
  std::vector<std::string> nodes;
  std::chrono::milliseconds remaining{0};
};

/// What a node learned from a crash or a completed run.
struct quarantine_change {
  /// Fingerprints held back from now on and not before.
  std::vector<std::uint64_t> quarantined;
  /// Suspects that are cleared by a run which completed here within the window.
  std::vector<std::uint64_t> cleared;
};

/// Crash evidence and the fingerprints held back for it. Not thread-safe.
///
/// A fingerprint is held back after two crashes without a completed run in the window. If a crash
/// brings several fingerprints to that point, some of them may be innocent and were only in flight
/// beside another one twice; they are held back after a third crash, or once the others are
/// cleared.
class quarantine_table {
 public:
  quarantine_change AddCrash(const crash& item, steady_time now);

  /// A complete answer; it clears the fingerprint if there was evidence against it.
  quarantine_change Complete(std::uint64_t fingerprint, steady_time now);
  /// An operator's release: forgets the evidence up to now. Returns false if the release is already
  /// known.
  bool Release(std::uint64_t fingerprint, steady_time now);

  [[nodiscard]] bool IsQuarantined(std::uint64_t fingerprint, steady_time now) const;
  [[nodiscard]] std::vector<quarantined_fingerprint> QuarantinedFingerprints(steady_time now) const;
  /// True if there may be evidence, so that the hot path can skip the rest.
  [[nodiscard]] bool empty() const { return suspects_.empty(); }
  /// Forgets what is older than the window.
  void Expire(steady_time now);

 private:
  struct sighting {
    std::string node_id;
    std::uint64_t crash_id = 0;
    steady_time at{};
  };
  struct suspect {
    std::vector<sighting> sightings;
    steady_time held_until{};
  };

  [[nodiscard]] bool CompletedSince(std::uint64_t fingerprint, steady_time time) const;
  void AddSighting(std::uint64_t fingerprint, const crash& item);
  /// Holds back those suspects of a crash whose guilt is settled; returns the new ones.
  std::vector<std::uint64_t> HoldCandidates(const std::string& node_id, std::uint64_t crash_id,
                                            steady_time now);

  std::map<std::uint64_t, suspect> suspects_;
  std::unordered_map<std::uint64_t, steady_time> completed_;
  std::deque<std::pair<steady_time, std::uint64_t>> completed_order_;
  std::map<std::uint64_t, steady_time> released_;
};

}  // namespace siskinrack::quarantine

#endif  // SISKINRACK_QUARANTINE_QUARANTINE_TABLE_H_
