#ifndef SISKINRACK_TENANCY_CAP_NODE_H_
#define SISKINRACK_TENANCY_CAP_NODE_H_

#include <algorithm>
#include <concepts>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "siskinrack/tenancy/cap_owner.h"
#include "siskinrack/tenancy/token_stock.h"
#include "siskinrack/tenancy/usage_cap.h"

namespace siskinrack::tenancy {

/// Reply to a demand for tokens of one tenant.
struct cap_grant {
  std::uint32_t tokens = 0;
  /// Time until which the tokens may be used, counted from the request.
  std::chrono::milliseconds validity{0};
  /// Time until there will be a token, if there is none now.
  std::chrono::milliseconds refill{0};
  /// False if the sender of the reply may not grant tokens of this tenant.
  bool owned = false;
  /// The sender has given up its caps, because it is out of touch with the store. Another candidate
  /// may take over at once.
  bool released = false;

  /// The sender doesn't have the right to grant, and knows of no node that may have it. Only in the
  /// reply to a claim, or of a sender that is out of touch.
  bool clear = false;
  /// The sender had the right until now, so that no other node has it. Only in the reply to a
  /// claim.
  bool held = false;
  /// Node that may have the right, because the sender passed it on to it or it has left the list.
  std::string holder;
  // Only in the reply to a claim:
  /// The sender has known the list, and has been in it, for so long that no unlisted node can have
  /// the right.
  bool listed = false;
  /// Besides, it has been in touch for so long that no candidate after it can have the right.
  bool settled = false;
  /// The sender has just started, and has not been out of touch since.
  bool fresh = false;
  /// The sender has granted no tokens of the shard recently.
  bool idle = false;
};

/// Result of a demand at another node.
struct cap_exchange {
  /// Empty without a reply.
  std::optional<cap_grant> grant;
  /// No process listens at the node's address.
  bool refused = false;
};

struct cap_demand {
  std::string tenant;
  std::uint32_t shard = 0;
  std::uint32_t wanted = 0;
  /// Sent by a node that was asked for the tokens; must not be passed on again.
  bool relayed = false;
  /// Node that claims the right to grant and demands no tokens; empty for a demand.
  std::string claimant;
};

/// What a cap_node needs of its node. `Ask` may suspend the caller, so all state may have changed
/// after it.
template <typename E>
concept cap_environment = requires(E& env, const std::string& text, const cap_demand& demand,
                                   cap_bucket::time_point deadline, std::size_t count,
                                   const std::vector<std::string>& nodes) {
  { env.SteadyNow() } -> std::same_as<cap_bucket::time_point>;
  { env.BootNow() } -> std::same_as<support::boot_clock::time_point>;
  /// Request time of the newest proof of the configuration.
  { env.ProvedAt() } -> std::same_as<std::optional<support::boot_clock::time_point>>;
  { env.Self() } -> std::convertible_to<std::string>;
  /// Lists of the nodes that may own caps.
  { env.Nodes() } -> std::same_as<const node_history&>;
  /// Returns the first `count` of the nodes in the order in which they are candidates of a shard,
  /// which is the same on all nodes.
  { env.Rank(text, nodes, count) } -> std::same_as<std::vector<std::string>>;
  { env.FindCap(text) } -> std::same_as<std::optional<usage_cap>>;
  { env.Tolerance() } -> std::convertible_to<cap_tolerance>;
  { env.Ask(text, demand, deadline) } -> std::same_as<cap_exchange>;
  /// Records that this node, with a rank among the candidates, granted tokens of a shard.
  { env.OnGranted(text, demand.wanted, count) } -> std::same_as<void>;
  /// Records that this node acquired the right to grant tokens of a shard.
  { env.OnAcquired(text, text) } -> std::same_as<void>;
  /// Records that it passed the right on to another node.
  { env.OnYielded(text, text) } -> std::same_as<void>;
  /// Asks for the removal of a node from the list in the store, because demands wait for it and it
  /// doesn't reply. The node is listed again when it replies.
  { env.Suspend(text) } -> std::same_as<void>;
  /// Reads the list of nodes from the store, so that its proof is as young as possible, unless that
  /// was done just now. May suspend the caller.
  { env.ReadNodes() } -> std::same_as<void>;
};

/// Part of one node in keeping the usage caps of all nodes: requests tokens for its own callers,
/// and grants or passes on the demands of other nodes. The first candidate of a shard that lives
/// grants its tokens:
///   - A candidate that is asked and isn't the first passes the demand on to those before it. It
///     becomes a substitute only if all of them are out: their processes don't run, or they are out
///     of touch with the store. One that doesn't reply may be granting to others: it is removed
///     from the list in the store, where it sees that itself.
///   - A candidate that becomes the first, or a substitute, claims the right from the nodes that
///     may have it. Those yield at once and pass demands on to it, also if their lists don't have
///     it yet. If one of them doesn't reply, the claimant waits until its right has ended.
/// See cap_owner for how long a right lasts. Not thread-safe.
template <cap_environment Environment>
class cap_node {
 public:
  enum class outcome {
    kGranted,
    /// The cap is used up.
    kExceeded,
    /// No owner of the cap could be reached.
    kUnreachable
  };
  struct result {
    outcome kind = outcome::kGranted;
    /// Time until there will be a token.
    std::chrono::milliseconds refill{0};
  };
  /// Counts of one tenant at this node.
  struct counts {
    std::uint64_t asked = 0;
    std::uint64_t exceeded = 0;
    std::uint64_t unreachable = 0;
    /// Tokens granted to this node.
    std::uint64_t granted = 0;
  };

  explicit cap_node(Environment& env)
      : env_(env),
        owner_(env.SteadyNow(), env.BootNow()),
        next_shard_(std::hash<std::string>{}(std::string(env.Self()))) {}

  /// Must be called periodically. Gives up all caps after a suspension and while this node is out
  /// of touch.
  /// Returns false while it is.
  bool Tick() {
    const auto now = env_.BootNow();
    if (last_tick_ && now - *last_tick_ > kSuspensionTime) owner_.Release(now);
    last_tick_ = now;
    return Update();
  }

  /// Takes a token for one request of a tenant, if it has a cap.
  result Acquire(const std::string& tenant, cap_bucket::time_point deadline) {
    const auto cap = env_.FindCap(tenant);
    if (!cap || !cap->limited()) return {};
    const auto requested_at = env_.BootNow();
    ++counts_[tenant].asked;
    token_stock& stock = stocks_[tenant];
    stock.OnRequest(requested_at);
    if (stock.Take(requested_at)) return {};
    const auto validity = PlanCap(*cap, env_.Tolerance()).validity;
    const cap_grant grant = RequestFromShards(
        {.tenant = tenant, .wanted = stock.EstimateDemand(requested_at, validity)},
        CountShards(*cap), deadline);
    // The state of the tenant may have been discarded meanwhile.
    token_stock& refilled = stocks_[tenant];
    counts& count = counts_[tenant];
    count.granted += grant.tokens;
    // The tokens were granted after the request, so that counting from it never prolongs them.
    refilled.Add(grant.tokens, requested_at + grant.validity);
    if (refilled.Take(env_.BootNow())) return {};
    if (grant.owned && grant.tokens == 0) {
      ++count.exceeded;
      return {outcome::kExceeded, grant.refill};
    }
    ++count.unreachable;
    return {outcome::kUnreachable, {}};
  }

  /// Grants tokens to another node, or passes its demand on to the candidate that has to.
  cap_grant OnDemand(const cap_demand& demand) {
    const auto cap = env_.FindCap(demand.tenant);
    if (!cap || demand.shard >= CountShards(*cap)) return {};
    const std::string shard = MakeKey(demand);
    if (!Update()) return MakeRelease(shard, demand.claimant);
    if (!demand.claimant.empty()) return OnClaim(shard, demand.claimant);
    const std::vector<std::string> before = FindBefore(shard, FindCandidates(shard));
    if (demand.relayed) {
      const bool grants = Holds(shard) || (before.empty() && Acquire(demand));
      return grants ? GrantOwn(demand) : cap_grant{};
    }
    std::string suspect;
    for (const std::string& candidate : before) {
      const auto grant = Relay(candidate, demand);
      if (grant && grant->owned) {
        owner_.Lose(shard, env_.BootNow());
        return *grant;
      }
      if (suspect.empty() && owner_.IsSuspected(candidate, env_.BootNow())) suspect = candidate;
    }
    if (!Update()) return MakeRelease(shard, demand.claimant);
    ExtendSubstitution(shard, before);
    if (Holds(shard) || Acquire(demand)) return GrantOwn(demand);
    if (!suspect.empty()) env_.Suspend(suspect);
    return before.empty() ? RelayToRemoved(demand) : cap_grant{};
  }

  /// Discards the state of tenants for which `is_removed` returns true.
  template <typename IsRemoved>
  void Discard(IsRemoved is_removed) {
    const auto matches = [&](const auto& entry) { return is_removed(entry.first); };
    std::erase_if(stocks_, matches);
    std::erase_if(counts_, matches);
    owner_.Discard([&](const std::string& shard) { return is_removed(FindTenant(shard)); });
  }

  /// Returns the tenant that a shard belongs to.
  static std::string FindTenant(const std::string& shard) {
    return shard.substr(0, shard.rfind('/'));
  }

  [[nodiscard]] const std::map<std::string, counts>& counts_by_tenant() const { return counts_; }

 private:
  /// Time between two ticks that shows a suspension; a busy machine delays ticks by less.
  static constexpr std::chrono::milliseconds kSuspensionTime{1'500};
  /// Time for which a node that did not reply is not asked again.
  static constexpr std::chrono::milliseconds kSilentTime{1'000};
  /// Longest time for the reply to a demand that is passed on; shorter than for the demand itself.
  static constexpr std::chrono::milliseconds kRelayTimeout{250};
  /// Shards that one request asks: more would add calls without a token while the cap is used up.
  static constexpr std::uint32_t kMaxShardsAsked = 3;
  /// Bounds memory, because machines are replaced.
  static constexpr std::size_t kMaxSilentNodes = 1'024;

  using boot_time = support::boot_clock::time_point;

  /// Candidates of a shard: enough that one remains if a third of the nodes is cut off.
  static constexpr std::ptrdiff_t kCandidates = 5;
  /// Nodes of which one had the right before a restart of all nodes, unless all are new.
  static constexpr std::ptrdiff_t kFreshCandidates = 8;

  /// Applies what is new in the lists of nodes. Gives up all rights and returns false if this node
  /// is out of touch: what it knows of the configuration or of the nodes is too old.
  bool Update() {
    const boot_time now = env_.BootNow();
    const auto is_young = [now](const std::optional<boot_time>& proved_at) {
      return proved_at && now - *proved_at < cap_owner::kMaxProofAge;
    };
    const node_history& nodes = env_.Nodes();
    if (!is_young(env_.ProvedAt()) || !is_young(nodes.proved_at())) {
      owner_.Release(now);
      return false;
    }
    owner_.Follow(nodes, now, [this](const std::string& shard, const node_history::entry& entry) {
      return FindFirst(shard, entry) == std::string(env_.Self());
    });
    return true;
  }

  /// Returns the candidates of a shard by the newest list, in their order.
  const std::vector<std::string>& FindCandidates(const std::string& shard) {
    static const std::vector<std::string> kNone;
    const node_history::entry* newest = env_.Nodes().newest();
    if (newest == nullptr) return kNone;
    if (ranked_generation_ != newest->generation) {
      ranked_.clear();
      ranked_generation_ = newest->generation;
    }
    const auto known = ranked_.find(shard);
    if (known != ranked_.end()) return known->second;
    return ranked_.emplace(shard, env_.Rank(shard, newest->nodes, kCandidates)).first->second;
  }

  /// Returns the first candidate of a shard by any list, or an empty name if the list is empty.
  std::string FindFirst(const std::string& shard, const node_history::entry& entry) {
    const auto first = env_.Rank(shard, entry.nodes, 1);
    return first.empty() ? std::string() : first.front();
  }

  [[nodiscard]] bool RanksBefore(const std::string& shard, const std::string& a,
                                 const std::string& b) {
    return a != b && env_.Rank(shard, {a, b}, 1).front() == a;
  }

  /// Returns the nodes that this one passes demands on to: the candidates before it, and the one to
  /// which it has yielded, which its list may not have yet.
  std::vector<std::string> FindBefore(const std::string& shard,
                                      const std::vector<std::string>& candidates) {
    const auto own = std::find(candidates.begin(), candidates.end(), std::string(env_.Self()));
    std::vector<std::string> before(candidates.begin(), own);
    const std::string yielded_to =
        owner_.FindYieldedTo(shard, env_.Nodes().proved_at(), env_.BootNow());
    if (!yielded_to.empty() &&
        std::find(candidates.begin(), candidates.end(), yielded_to) == candidates.end()) {
      before.insert(before.begin(), yielded_to);
    }
    return before;
  }

  [[nodiscard]] bool Holds(const std::string& shard) const {
    return owner_.Holds(shard, env_.BootNow());
  }

  /// Returns true if this node has known the list, and has been in it, for so long that no node
  /// acts on a list that it doesn't know or isn't in.
  [[nodiscard]] bool IsListed() const {
    const auto& entries = env_.Nodes().entries();
    const std::string self = env_.Self();
    return env_.BootNow() - entries.front().learned_at >= cap_owner::kMaxProofAge &&
           std::all_of(entries.begin(), entries.end(),
                       [&](const auto& entry) { return entry.Contains(self); });
  }

  /// Returns true if this node has also been in touch for so long that no candidate after it acts
  /// in its place.
  [[nodiscard]] bool IsSettled() const {
    return IsListed() && env_.BootNow() - owner_.in_touch_since() >= cap_owner::kMaxProofAge;
  }

  /// Returns the time since which this node has been the first candidate by all of its lists; empty
  /// if it isn't by the newest one.
  std::optional<boot_time> FindFirstSince(const std::string& shard) {
    const auto& entries = env_.Nodes().entries();
    std::optional<boot_time> since;
    for (auto entry = entries.rbegin(); entry != entries.rend(); ++entry) {
      if (FindFirst(shard, *entry) != std::string(env_.Self())) break;
      since = entry->learned_at;
    }
    return since;
  }

  /// Returns the candidates by the lists that were replaced recently that aren't candidates any
  /// more. They may have a right that rests on those lists.
  std::set<std::string> FindFormerCandidates(const std::string& shard) {
    std::set<std::string> former;
    const auto& entries = env_.Nodes().entries();
    for (auto entry = entries.begin(); std::next(entry) != entries.end(); ++entry) {
      for (std::string& node : env_.Rank(shard, entry->nodes, kCandidates)) {
        former.insert(std::move(node));
      }
    }
    former.erase(env_.Self());
    for (const std::string& node : FindCandidates(shard)) former.erase(node);
    return former;
  }

  /// Returns the first candidates by the lists that were replaced recently, without this node, the
  /// latest first. One of them probably has the right.
  std::vector<std::string> FindFormerFirsts(const std::string& shard) {
    std::vector<std::string> firsts;
    const auto& entries = env_.Nodes().entries();
    for (auto entry = entries.rbegin() + 1; entry != entries.rend(); ++entry) {
      const std::string first = FindFirst(shard, *entry);
      if (!first.empty() && first != std::string(env_.Self()) &&
          std::find(firsts.begin(), firsts.end(), first) == firsts.end()) {
        firsts.push_back(first);
      }
    }
    return firsts;
  }

  /// Returns the former candidates that aren't listed any more. While this node is settled, only
  /// nodes that ranked before it can have a right.
  std::set<std::string> FindRemovedCandidates(const std::string& shard) {
    std::set<std::string> removed = FindFormerCandidates(shard);
    const bool settled = IsSettled();
    std::erase_if(removed, [&](const std::string& node) {
      return env_.Nodes().newest()->Contains(node) ||
             (settled && !RanksBefore(shard, node, env_.Self()));
    });
    return removed;
  }

  /// Replies to a demand or a claim while this node is out of touch.
  cap_grant MakeRelease(const std::string& shard, const std::string& claimant) {
    const std::string yielded_to =
        owner_.FindYieldedTo(shard, env_.Nodes().proved_at(), env_.BootNow());
    const bool clear = yielded_to.empty() || yielded_to == claimant;
    return {.released = true,
            .clear = clear,
            .holder = clear ? std::string() : yielded_to,
            .fresh = !owner_.has_lost_touch()};
  }

  /// Replies to the claim of another candidate, and yields to it if it ranks before this node.
  cap_grant OnClaim(const std::string& shard, const std::string& claimant) {
    const boot_time now = env_.BootNow();
    const node_history::entry& newest = *env_.Nodes().newest();
    const std::string self = env_.Self();
    if (newest.Contains(self) && !RanksBefore(shard, claimant, self)) return {};
    cap_grant reply;
    reply.settled = IsSettled();
    reply.listed = IsListed();
    reply.fresh = !reply.listed && !owner_.has_lost_touch();
    reply.idle = !owner_.HasGranted(shard, env_.SteadyNow());
    const std::string yielded_to = owner_.FindYieldedTo(shard, env_.Nodes().proved_at(), now);
    reply.held = Holds(shard);
    if (!reply.held && yielded_to != claimant) reply.holder = yielded_to;
    for (const std::string& removed : FindRemovedCandidates(shard)) {
      if (!reply.held && removed != claimant && reply.holder.empty()) reply.holder = removed;
    }
    reply.clear = reply.holder.empty();
    // What showed that the claimant is out is older than its claim.
    silent_until_.erase(claimant);
    owner_.OnReached(claimant);
    if (reply.held) env_.OnYielded(shard, claimant);
    owner_.Yield(shard, claimant, now);
    return reply;
  }

  /// Acquires the right to grant tokens of the shard of a demand, as the first candidate or because
  /// all before it are out. Returns false if another node may have it.
  bool Acquire(const cap_demand& demand) {
    const std::string shard = MakeKey(demand);
    const std::vector<std::string> known = FindBefore(shard, FindCandidates(shard));
    if (!FindSubstitutionEnd(known)) ReadNodesFor(known);
    // Copies, because the list may change while other nodes are asked.
    const std::vector<std::string> candidates = FindCandidates(shard);
    const std::vector<std::string> before = FindBefore(shard, candidates);
    if (std::find(candidates.begin(), candidates.end(), std::string(env_.Self())) ==
        candidates.end()) {
      return false;
    }
    if (AcquireByClaims(demand, before)) return true;
    if (!Update() || !AcquireAfterWait(shard)) return false;
    env_.OnAcquired(shard, "wait");
    return true;
  }

  bool AcquireByClaims(const cap_demand& demand, const std::vector<std::string>& before) {
    const std::string shard = MakeKey(demand);
    const auto begun = owner_.BeginAcquisition(shard, env_.SteadyNow());
    if (!begun || !FindSubstitutionEnd(before)) return false;
    const std::uint64_t generation = env_.Nodes().newest()->generation;
    claim_round round;
    if (!before.empty()) round.past = cap_owner::past::kGranted;
    if (!ClaimFromOthers(demand, round)) {
      owner_.OnAcquisitionFailed(shard, env_.SteadyNow());
      return false;
    }
    // All state may have changed meanwhile.
    if (!Update()) return false;
    const node_history::entry& newest = *env_.Nodes().newest();
    const auto until = FindSubstitutionEnd(before);
    if (newest.generation != generation || !until) return false;
    // Another demand may have acquired it.
    if (Holds(shard)) return true;
    if (!owner_.Acquire(shard, *begun, before.empty(),
                        std::min(*until, newest.proved_at + cap_owner::kMaxProofAge), round.past,
                        env_.SteadyNow())) {
      return false;
    }
    env_.OnAcquired(shard, before.empty() ? "claim" : "substitute");
    return true;
  }

  /// Returns the time until which this node may act in place of all candidates `before` it; empty
  /// if it may not.
  [[nodiscard]] std::optional<boot_time> FindSubstitutionEnd(
      const std::vector<std::string>& before) const {
    auto end = boot_time::max();
    for (const std::string& candidate : before) {
      const auto replaced_until =
          owner_.FindReplacedUntil(candidate, env_.Nodes().proved_at(), env_.BootNow());
      if (!replaced_until) return std::nullopt;
      end = std::min(end, *replaced_until);
    }
    return end;
  }

  /// Reads the list if only the age of its proof prevents this node from acting in place of
  /// `nodes`.
  void ReadNodesFor(const std::vector<std::string>& nodes) {
    const boot_time now = env_.BootNow();
    const bool all_out = std::all_of(nodes.begin(), nodes.end(), [&](const std::string& node) {
      return owner_.FindReplacedUntil(node, now, now).has_value();
    });
    if (all_out) env_.ReadNodes();
  }

  /// Extends the right of a substitute while all candidates `before` it are out.
  void ExtendSubstitution(const std::string& shard, const std::vector<std::string>& before) {
    if (before.empty() || !Holds(shard)) return;
    if (const auto end = FindSubstitutionEnd(before)) owner_.Extend(shard, *end);
  }

  /// Passes a demand on to the nodes whose right this one can't acquire yet.
  cap_grant RelayToRemoved(const cap_demand& demand) {
    for (const std::string& node : FindRemovedCandidates(MakeKey(demand))) {
      const auto grant = Relay(node, demand);
      if (grant && grant->owned) return *grant;
    }
    return {};
  }

  /// Acquires the right as the first candidate once every right that rests on an older list, or on
  /// a time in which this node was out, has ended.
  bool AcquireAfterWait(const std::string& shard) {
    const auto first_since = FindFirstSince(shard);
    if (!first_since || !FindBefore(shard, FindCandidates(shard)).empty()) return false;
    const boot_time exclusive_since =
        std::max(*first_since, owner_.KeptSince(shard)) + cap_owner::kMaxProofAge;
    const boot_time now = env_.BootNow();
    if (now < exclusive_since) return false;
    owner_.AcquireExclusive(
        shard, env_.Nodes().newest()->proved_at + cap_owner::kMaxProofAge,
        env_.SteadyNow() -
            std::chrono::duration_cast<cap_bucket::time_point::duration>(now - exclusive_since));
    return true;
  }

  /// State of an acquisition.
  struct claim_round {
    std::set<std::string> asked;
    /// Nodes that have no right now.
    std::set<std::string> cleared;
    /// One of them had the right.
    bool held = false;
    /// What the nodes may have granted before.
    cap_owner::past past = cap_owner::past::kIdle;
  };

  /// Claims the right from the nodes that may have it. Returns false if one of them doesn't yield.
  bool ClaimFromOthers(const cap_demand& demand, claim_round& round) {
    for (const std::string& node : FindFormerFirsts(MakeKey(demand))) {
      if (!Claim(node, demand, round)) return false;
      if (round.held) return true;
    }
    for (const std::string& node : FindRemovedCandidates(MakeKey(demand))) {
      if (!round.cleared.contains(node) && !Claim(node, demand, round)) return false;
      if (round.held) return true;
    }
    if (IsSettled()) return true;
    for (const std::string& node : FindFormerCandidates(MakeKey(demand))) {
      if (!round.cleared.contains(node) && !Claim(node, demand, round)) return false;
      if (round.held) return true;
    }
    const std::string self = env_.Self();
    bool listed = IsListed();
    bool fresh = !owner_.has_lost_touch();
    const std::vector<std::string> ranked =
        env_.Rank(MakeKey(demand), env_.Nodes().newest()->nodes, kFreshCandidates);
    const auto own = std::find(ranked.begin(), ranked.end(), self);
    // The list has changed while other nodes were asked.
    if (own == ranked.end()) return false;
    for (auto after = std::next(own); after != ranked.end(); ++after) {
      // Further nodes can only show that all have just started.
      if (after - ranked.begin() >= kCandidates && (listed || !fresh)) break;
      const auto reply = Claim(*after, demand, round);
      if (!reply) return false;
      if (reply->settled || round.held) return true;
      listed = listed || reply->listed;
      fresh = fresh && reply->fresh;
    }
    // If all have just started, no node has granted before.
    return listed || fresh;
  }

  /// Claims the right from one node, and from the one that it names as the holder. Returns its
  /// reply, an empty one if the node is out, or std::nullopt if it may have the right.
  std::optional<cap_grant> Claim(const std::string& node, cap_demand demand, claim_round& round) {
    demand.relayed = true;
    demand.wanted = 0;
    demand.claimant = env_.Self();
    round.asked.insert(node);
    const auto reply = Ask(node, demand, env_.SteadyNow() + kRelayTimeout);
    if (!reply || reply->released || !reply->idle) round.past = cap_owner::past::kGranted;
    if (!reply) {
      if (!IsReplaced(node)) ReadNodesFor({node});
      if (!IsReplaced(node)) return std::nullopt;
    } else if (reply->held) {
      round.held = true;
    } else if (!reply->clear) {
      if (reply->holder.empty()) return std::nullopt;
      const bool asked = round.asked.contains(reply->holder);
      if (asked ? !round.cleared.contains(reply->holder) : !Claim(reply->holder, demand, round)) {
        return std::nullopt;
      }
    }
    round.cleared.insert(node);
    return reply ? reply : cap_grant{};
  }

  [[nodiscard]] bool IsReplaced(const std::string& candidate) const {
    return owner_.FindReplacedUntil(candidate, env_.Nodes().proved_at(), env_.BootNow())
        .has_value();
  }

  /// Returns the name of a shard, by which its owner is chosen.
  static std::string MakeKey(const cap_demand& demand) {
    return demand.tenant + '/' + std::to_string(demand.shard);
  }

  /// Grants tokens of a shard that this node holds.
  cap_grant GrantOwn(const cap_demand& demand) {
    const auto cap = env_.FindCap(demand.tenant);
    if (!cap) return {};
    const std::string shard = MakeKey(demand);
    const std::vector<std::string>& candidates = FindCandidates(shard);
    const auto own = std::find(candidates.begin(), candidates.end(), std::string(env_.Self()));
    if (own == candidates.begin()) owner_.Promote(shard);
    const std::uint32_t shards = CountShards(*cap);
    const usage_cap part = DivideCap(*cap, shards);
    const cap_plan plan = PlanCap(part, DivideTolerance(env_.Tolerance(), shards));
    if (!cap->limited()) return {.tokens = demand.wanted, .validity = plan.validity, .owned = true};
    const auto taken = owner_.Grant(shard, part, plan, demand.wanted, env_.SteadyNow());
    env_.OnGranted(shard, taken.tokens, static_cast<std::size_t>(own - candidates.begin()));
    return {
        .tokens = taken.tokens, .validity = plan.validity, .refill = taken.refill, .owned = true};
  }

  std::optional<cap_grant> Relay(const std::string& node, const cap_demand& demand) {
    cap_demand relayed = demand;
    relayed.relayed = true;
    return Ask(node, relayed, env_.SteadyNow() + kRelayTimeout);
  }

  std::optional<cap_grant> Ask(const std::string& node, const cap_demand& demand,
                               cap_bucket::time_point deadline) {
    const auto silent = silent_until_.find(node);
    if (silent != silent_until_.end() && env_.SteadyNow() < silent->second) return std::nullopt;
    cap_exchange exchange = env_.Ask(node, demand, deadline);
    if (exchange.grant && exchange.grant->released) {
      owner_.OnOut(node, exchange.grant->clear, env_.BootNow());
      return exchange.grant;
    }
    if (!exchange.grant) {
      if (silent_until_.size() >= kMaxSilentNodes) silent_until_.clear();
      silent_until_[node] = env_.SteadyNow() + kSilentTime;
      if (exchange.refused) {
        owner_.OnOut(node, /*clear=*/false, env_.BootNow());
      } else {
        owner_.OnUnreachable(node, env_.BootNow());
      }
      return std::nullopt;
    }
    silent_until_.erase(node);
    owner_.OnReached(node);
    return exchange.grant;
  }

  /// Requests tokens from one shard after the other, so that all are used evenly wherever the
  /// requests come from. Tries further ones if a shard is used up or has no owner.
  cap_grant RequestFromShards(cap_demand demand, std::uint32_t shards,
                              cap_bucket::time_point deadline) {
    cap_grant best;
    for (std::uint32_t i = 0; i < std::min(shards, kMaxShardsAsked); ++i) {
      demand.shard = next_shard_++ % shards;
      const cap_grant grant = Request(demand, deadline);
      if (grant.tokens > 0) return grant;
      if (grant.owned && (!best.owned || grant.refill < best.refill)) best = grant;
      if (env_.SteadyNow() >= deadline) break;
    }
    return best;
  }

  /// Requests tokens from the first candidate that may grant them.
  cap_grant Request(const cap_demand& demand, cap_bucket::time_point deadline) {
    const std::string self = env_.Self();
    // A copy, because the list may change while a candidate is asked.
    const std::vector<std::string> candidates = FindCandidates(MakeKey(demand));
    for (const std::string& candidate : candidates) {
      const auto grant =
          candidate == self ? std::optional(OnDemand(demand)) : Ask(candidate, demand, deadline);
      if (grant && grant->owned) return *grant;
    }
    return {};
  }

  Environment& env_;
  cap_owner owner_;
  std::optional<support::boot_clock::time_point> last_tick_;
  /// Begins at a different shard on each node.
  std::uint64_t next_shard_;
  std::map<std::string, token_stock> stocks_;
  std::map<std::string, counts> counts_;
  /// Candidates of shards by the list of `ranked_generation_`.
  std::map<std::string, std::vector<std::string>> ranked_;
  std::uint64_t ranked_generation_ = 0;
  /// Times until which nodes that did not reply are not asked.
  std::map<std::string, cap_bucket::time_point> silent_until_;
};

}  // namespace siskinrack::tenancy

#endif  // SISKINRACK_TENANCY_CAP_NODE_H_
