#ifndef SISKINRACK_DISTRIBUTION_WATCHER_LEASE_H_
#define SISKINRACK_DISTRIBUTION_WATCHER_LEASE_H_

#include <optional>

#include "siskinrack/distribution/peer_view.h"

namespace siskinrack::distribution {

/// Content of the platform object of a lease.
struct lease_record {
  std::string holder;
  /// Number of takeovers.
  std::uint64_t epoch = 0;
  /// Random text of the holder's process; with `renewal` it tells whether a write with a lost
  /// answer took effect.
  std::string token;
  std::uint64_t renewal = 0;

  bool operator==(const lease_record&) const = default;
};

std::string ToJson(const lease_record& record);
std::optional<lease_record> LeaseFromJson(std::string_view text);

/// Decides when a node reads, takes or renews the watcher lease of its failure domain. Pure.
///
/// A candidate reads the lease object once it hasn't heard of a renewal for kReadAfter, and writes
/// with the version that it read after kConfirmTime at the earliest; a holder that renewed in
/// between makes that write a conflict. So a lease isn't taken from a holder that renews, however
/// late the reports of its renewals arrive.
class watcher_lease {
 public:
  static constexpr milliseconds kDuration{3'000};
  static constexpr milliseconds kRenewInterval{1'000};
  static constexpr milliseconds kReadAfter{2'000};
  /// Longer than a renewal interval and a slow write together.
  static constexpr milliseconds kConfirmTime{1'500};

  enum class call_kind { kNone, kRead, kWrite };
  /// A platform call to make now. Its result must be reported before the next one is decided.
  struct call {
    call_kind kind = call_kind::kNone;
    std::uint64_t expected_version = 0;
    lease_record record;
  };
  struct holder_report {
    std::string holder;
    milliseconds age{0};
  };

  watcher_lease(std::string node_id, std::string token, time_point start)
      : node_id_(std::move(node_id)), token_(std::move(token)), last_renewal_(start) {}

  /// `rank` is this node's place among the live nodes of the domain (see ComputeRendezvousRank);
  /// `random` is uniform in [0, 1).
  call NextCall(time_point now, std::size_t rank, double random);

  /// The object as read; version 0 means that there's none.
  void OnRead(time_point now, std::uint64_t version, const std::optional<lease_record>& record);
  void OnWritten(time_point now, std::uint64_t version);
  void OnConflict(time_point now);
  /// The write may have taken effect.
  void OnOutcomeUnknown(time_point now);
  /// The read or write did not take place.
  void OnFailure(time_point now, std::size_t rank);
  /// A peer of the domain heard of a renewal `report.age` ago.
  void OnPeerReport(time_point now, const holder_report& report);

  /// Measured from before the renewing write was sent, so a holder that was paused past the end of
  /// its lease isn't holder when it resumes.
  [[nodiscard]] bool IsHolder(time_point now) const { return now < held_until_; }
  [[nodiscard]] std::uint64_t epoch() const { return attempted_.epoch; }
  /// What to report to peers; the holder is empty if none is known.
  [[nodiscard]] holder_report MakeReport(time_point now) const;

  /// The holder tells this many candidates of each renewal directly.
  static constexpr std::size_t kInformedRanks = 3;

  /// Delay of a candidate's first attempt: 200 ms per rank for the informed ones. The others hear
  /// of renewals through exchanges, up to some seconds late, and wait 4 s longer; from rank 8 on
  /// the delay doubles with each rank, so that the calls don't grow with the number of candidates.
  static milliseconds AttemptDelay(std::size_t rank);
  /// Delay between failed attempts, doubled for each rank.
  static milliseconds RetryDelay(std::size_t rank);

 private:
  call NextAsHolder(time_point now);
  call NextAsCandidate(time_point now, std::size_t rank, double random);
  call Send(call next);
  call Write(time_point now, std::uint64_t epoch);
  void Accept(time_point now, std::uint64_t version);
  void SeeVersion(time_point now, std::uint64_t version);

  std::string node_id_;
  std::string token_;
  time_point held_until_{};
  time_point renew_at_{};
  time_point retry_at_{};
  /// Newest renewal known of, by whomever.
  time_point last_renewal_;
  std::string last_holder_;
  bool call_pending_ = false;
  /// The object's version, as of the last read or write.
  std::optional<std::uint64_t> version_;
  time_point version_seen_{};
  std::uint64_t seen_epoch_ = 0;
  bool own_record_ = false;
  /// Set after a conflict or a lost answer: only a read tells what happened.
  bool must_read_ = false;
  std::optional<time_point> attempt_at_;
  bool read_in_attempt_ = false;
  /// The newest record that this node tried to write, and when it was sent first.
  lease_record attempted_;
  time_point attempted_sent_{};
};

}  // namespace siskinrack::distribution

#endif  // SISKINRACK_DISTRIBUTION_WATCHER_LEASE_H_
