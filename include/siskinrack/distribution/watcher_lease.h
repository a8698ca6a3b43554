#ifndef SISKINRACK_DISTRIBUTION_WATCHER_LEASE_H_
#define SISKINRACK_DISTRIBUTION_WATCHER_LEASE_H_

#include <optional>

#include "siskinrack/distribution/peer_view.h"

namespace siskinrack::distribution {

/// Represents the content of a lease's platform object.
struct lease_record {
  /// Node id of the holder.
  std::string holder;
  /// Number of takeovers.
  std::uint64_t epoch = 0;
  /// Random text of the holder's process. Together with `renewal` it shows whether a write whose
  /// response was lost took effect.
  std::string token;
  /// Number of the write; increases with each write that the holder's process attempts.
  std::uint64_t renewal = 0;

  bool operator==(const lease_record&) const = default;
};

/// Returns the value of the platform object.
std::string ToJson(const lease_record& record);
/// Parses the value of the platform object. Returns std::nullopt if `text` isn't a lease record.
std::optional<lease_record> LeaseFromJson(std::string_view text);

/// Decides when a node reads, acquires or renews the watcher lease of its failure domain, whose
/// holder watches the platform for the domain. A state machine without I/O; not thread-safe.
///
/// A candidate reads the lease object if no renewal was reported to it for kRenewalTimeout and then
/// for its AttemptDelay. Once no renewal was reported for kDuration and kConfirmTime has passed
/// since its first read of the version, it writes the object on condition of that version, which
/// conflicts if the holder has renewed in between. So a lease isn't taken from a holder that renews
/// it, however late the reports of its renewals arrive. An object that doesn't exist or names this
/// node as holder is written without these two waits.
class watcher_lease {
 public:
  /// Time for which a write gives its writer the lease, from before the write was sent.
  static constexpr milliseconds kDuration{3'000};
  /// Time between two renewals.
  static constexpr milliseconds kRenewInterval{1'000};
  /// Time without a reported renewal after which a candidate starts an attempt.
  static constexpr milliseconds kRenewalTimeout{2'000};
  /// Minimum time from a candidate's first read of a version to its write: longer than a renewal
  /// interval and a slow write together.
  static constexpr milliseconds kConfirmTime{1'500};

  /// Operation of a call; kNone if none is due.
  enum class call_kind { kNone, kRead, kWrite };
  /// Represents a platform call to make now. NextCall returns no other call until the result of
  /// this one was passed to the matching On function.
  struct call {
    call_kind kind = call_kind::kNone;
    /// Set for kWrite only, like `record`.
    std::uint64_t expected_version = 0;
    lease_record record;
  };
  /// Represents the newest known renewal: its holder and the time since it.
  struct holder_report {
    std::string holder;
    milliseconds age{0};
  };

  watcher_lease(std::string node_id, std::string token, time_point start)
      : node_id_(std::move(node_id)), token_(std::move(token)), last_renewal_(start) {}

  /// Returns the call to make now. `rank` is this node's rank among the live nodes of the domain
  /// (see ComputeRendezvousRank); `random` is uniform in [0, 1).
  call NextCall(time_point now, std::size_t rank, double random);

  /// Processes the object as read; version 0 means that there is none. `record` is also empty if
  /// the object can't be parsed.
  void OnRead(time_point now, std::uint64_t version, const std::optional<lease_record>& record);
  /// Processes the version of the object after this node's write.
  void OnWritten(time_point now, std::uint64_t version);
  /// Processes the failure of a write whose condition didn't hold.
  void OnConflict(time_point now);
  /// Processes a write that may have taken effect.
  void OnOutcomeUnknown(time_point now);
  /// Processes a read or write that failed without effect. `rank` determines the retry delay.
  void OnFailure(time_point now, std::size_t rank);
  /// Processes a peer's report of a renewal `report.age` ago.
  void OnPeerReport(time_point now, const holder_report& report);

  /// Returns true if this node holds the lease. The duration counts from before the renewing write
  /// was sent, so that a holder that was paused past the end of its lease isn't holder on resume.
  [[nodiscard]] bool IsHolder(time_point now) const { return now < held_until_; }
  /// Returns the epoch of the newest write that this node attempted, which is the lease's epoch
  /// while this node holds it.
  [[nodiscard]] std::uint64_t epoch() const { return attempted_.epoch; }
  /// Returns the report for peers; its holder is empty if none is known.
  [[nodiscard]] holder_report MakeReport(time_point now) const;

  /// Number of candidates that the holder informs of each renewal directly.
  static constexpr std::size_t kInformedRanks = 3;

  /// Returns the delay of a candidate's attempt after kRenewalTimeout: 200 ms per rank for the
  /// candidates that are informed directly. The others receive reports through exchanges, up to
  /// some seconds late, and wait 4 s longer. From rank 8 on the delay doubles with each rank, at
  /// most 10 times, so that the number of calls doesn't grow with the number of candidates.
  static milliseconds AttemptDelay(std::size_t rank);
  /// Returns the delay of a candidate after a failed call: 1 s for rank 0, doubled with each rank,
  /// at most 10 times.
  static milliseconds RetryDelay(std::size_t rank);

 private:
  call NextAsHolder(time_point now);
  call NextAsCandidate(time_point now, std::size_t rank, double random);
  call Issue(call next);
  call MakeWrite(time_point now, std::uint64_t epoch);
  void RecordOwnWrite(time_point now, std::uint64_t version);
  void ObserveVersion(time_point now, std::uint64_t version);

  std::string node_id_;
  std::string token_;
  time_point held_until_{};
  time_point renew_at_{};
  time_point retry_at_{};
  /// Time of the newest known renewal by any node.
  time_point last_renewal_;
  std::string last_holder_;
  bool call_pending_ = false;
  /// Version of the object at the last read or write.
  std::optional<std::uint64_t> version_;
  time_point version_observed_at_{};
  /// Highest epoch read or written so far.
  std::uint64_t observed_epoch_ = 0;
  bool is_own_record_ = false;
  /// True after a conflict or a lost response, whose outcome only a read can resolve.
  bool must_read_ = false;
  /// Time from which this candidate attempts to acquire the lease; empty while the lease is
  /// renewed.
  std::optional<time_point> attempt_at_;
  /// True if the lease was read since `attempt_at_` was set, so that it may be written.
  bool read_in_attempt_ = false;
  /// Newest record that this node tried to write, and the time before it was sent.
  lease_record attempted_;
  time_point attempted_sent_{};
};

}  // namespace siskinrack::distribution

#endif  // SISKINRACK_DISTRIBUTION_WATCHER_LEASE_H_
