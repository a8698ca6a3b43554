#ifndef SISKINRACK_TENANCY_CAP_OWNER_H_
#define SISKINRACK_TENANCY_CAP_OWNER_H_

#include <chrono>
#include <map>
#include <optional>
#include <string>

#include "siskinrack/support/boot_clock.h"
#include "siskinrack/tenancy/usage_cap.h"

namespace siskinrack::tenancy {

/// Decides which of the candidates for the ownership of a cap grants its tokens, seen from one of
/// them. The candidates of a tenant are ranked; the first that lives owns its cap. Tokens of a cap
/// must come from one bucket at a time, so:
///   - A candidate that is asked and isn't the first passes the demand on to those before it. It
///     takes over, with an empty bucket, only if none of them replies: at once if their processes
///     don't run or are out of touch with the store, otherwise after the time in which an owner
///     that is cut off stops granting.
///   - The first candidate, when it has started or has been out of touch, passes demands on to the
///     one that granted meanwhile, until all nodes know the first one again.
/// Deterministic: the times are arguments. Not thread-safe.
class cap_owner {
 public:
  using steady_time = cap_bucket::time_point;
  using boot_time = support::boot_clock::time_point;

  /// Oldest proof of the configuration with which tokens are granted. A candidate that is cut off
  /// from the store has no younger one.
  static constexpr std::chrono::milliseconds kMaxProofAge{3'000};
  /// Time without a reply of an owner after which another takes over: by then the owner has stopped
  /// granting, if it is cut off from the store.
  static constexpr std::chrono::milliseconds kTakeoverDelay{3'000};
  /// Time for which the first candidate passes demands on after its start: the other nodes learn of
  /// it within this time and ask no other candidate afterwards.
  static constexpr std::chrono::milliseconds kHandoverTime{2'000};
  /// Time after the last demand for which a candidate counts as the one that grants.
  static constexpr std::chrono::milliseconds kHoldTime{5'000};

  /// Creates the state of a candidate that starts at `now`.
  explicit cap_owner(steady_time now) : started_at_(now) {}

  /// Gives up all caps, because other candidates may grant tokens from now on: after a suspension,
  /// or without a proof. The buckets count again if none has.
  void Release(steady_time now) {
    for (auto& [tenant, state] : tenants_) {
      state.owned = false;
      state.handover_end.reset();
    }
    if (tenants_.empty()) started_at_ = now;
  }

  /// Returns true if this candidate has been asked for tokens of the tenant recently, as the one
  /// that grants them.
  [[nodiscard]] bool Holds(const std::string& tenant, steady_time now) const {
    const auto found = tenants_.find(tenant);
    if (found == tenants_.end() || !found->second.bucket) return false;
    const auto last = found->second.bucket->last_demand();
    return last && now - *last < kHoldTime;
  }

  /// Returns true if this candidate owns the cap and its bucket counts.
  [[nodiscard]] bool Owns(const std::string& tenant) const {
    const auto found = tenants_.find(tenant);
    return found != tenants_.end() && found->second.owned;
  }

  /// Returns true if this candidate, the first, has to pass the demand on to the next one, if that
  /// one holds the cap.
  [[nodiscard]] bool MustAskSuccessor(const std::string& tenant, steady_time now) {
    tenant_state& state = tenants_[tenant];
    if (state.handover_end && now >= *state.handover_end) return false;
    return !state.owned;
  }

  enum class successor {
    /// It grants tokens, or may do so.
    kHolds,
    /// It has granted none recently.
    kIdle,
    /// It doesn't run or has given up its caps, so that it can't tell.
    kOut
  };
  /// Records the state of the successor after a demand that was passed on to it.
  void OnSuccessor(const std::string& tenant, successor reply, steady_time now) {
    tenant_state& state = tenants_[tenant];
    if (state.owned) return;
    if (reply == successor::kHolds) {
      if (!state.handover_end) state.handover_end = now + kHandoverTime;
      return;
    }
    if (state.handover_end) return;
    // No other candidate has granted tokens recently: those since the start are unused.
    state.owned = true;
    if (!state.bucket) state.bucket.emplace(started_at_);
    if (reply == successor::kOut && now - started_at_ < kHoldTime) state.bucket->Empty(now);
  }

  /// Records that a demand at another candidate had no reply.
  void OnUnreachable(const std::string& candidate, boot_time now) {
    failure& entry = failures_.try_emplace(candidate, failure{now, now, false}).first->second;
    if (entry.out || now - entry.latest > kFailureGap) entry.since = now;
    entry.latest = now;
    entry.out = false;
  }
  /// Records that another candidate grants no tokens: its process doesn't run, or it has given up
  /// its caps.
  void OnOut(const std::string& candidate, boot_time now) {
    failures_.insert_or_assign(candidate, failure{now, now, true});
  }
  void OnReached(const std::string& candidate) { failures_.erase(candidate); }

  /// Returns true if `candidate` grants no tokens, by its last reply.
  [[nodiscard]] bool IsOut(const std::string& candidate) const {
    const auto found = failures_.find(candidate);
    return found != failures_.end() && found->second.out;
  }

  /// Returns true if this candidate may grant in place of `candidate`, which is before it. A proof
  /// that was requested after the first failure shows that this node is not the one that is cut
  /// off.
  [[nodiscard]] bool MayReplace(const std::string& candidate, std::optional<boot_time> proved_at,
                                boot_time now) const {
    const auto found = failures_.find(candidate);
    if (found == failures_.end()) return false;
    if (found->second.out) return true;
    if (!proved_at || *proved_at < found->second.since) return false;
    return now - found->second.since >= kTakeoverDelay;
  }

  /// Takes tokens from the bucket of the tenant. It starts empty unless this candidate has owned it
  /// all the time.
  cap_bucket::grant Grant(const std::string& tenant, const usage_cap& cap, const cap_plan& plan,
                          std::uint32_t wanted, steady_time now) {
    tenant_state& state = tenants_[tenant];
    if (!state.owned) {
      state.owned = true;
      if (!state.bucket) state.bucket.emplace(now);
      state.bucket->Empty(now);
    }
    return state.bucket->Take(cap, plan, wanted, now);
  }

  /// Records that a candidate before this one grants the tokens of the tenant.
  void OnOwnedElsewhere(const std::string& tenant) {
    const auto found = tenants_.find(tenant);
    if (found != tenants_.end()) found->second.owned = false;
  }

 private:
  struct tenant_state {
    std::optional<cap_bucket> bucket;
    bool owned = false;
    /// End of the time in which the successor's bucket is used.
    std::optional<steady_time> handover_end;
  };
  /// Failures that are further apart don't show that a candidate was unreachable in between.
  static constexpr std::chrono::milliseconds kFailureGap{3'000};

  struct failure {
    boot_time since;
    boot_time latest;
    bool out = false;
  };

  steady_time started_at_;
  std::map<std::string, tenant_state> tenants_;
  /// Candidates that did not reply, by address.
  std::map<std::string, failure> failures_;
};

}  // namespace siskinrack::tenancy

#endif  // SISKINRACK_TENANCY_CAP_OWNER_H_
