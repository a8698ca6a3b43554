#ifndef SISKINRACK_TENANCY_CAP_NODE_H_
#define SISKINRACK_TENANCY_CAP_NODE_H_

#include <algorithm>
#include <concepts>
#include <functional>
#include <map>
#include <optional>
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
};

/// What a cap_node needs of its node. `Ask` may suspend the caller, so all state may have changed
/// after it.
template <typename E>
concept cap_environment = requires(E& env, const std::string& text, const cap_demand& demand,
                                   cap_bucket::time_point deadline) {
  { env.SteadyNow() } -> std::same_as<cap_bucket::time_point>;
  { env.BootNow() } -> std::same_as<support::boot_clock::time_point>;
  /// Request time of the newest proof of the configuration; the present if none is needed.
  { env.ProvedAt() } -> std::same_as<std::optional<support::boot_clock::time_point>>;
  { env.Self() } -> std::convertible_to<std::string>;
  /// Addresses of the candidates for the ownership of a shard, by rank.
  { env.FindCandidates(text) } -> std::same_as<std::vector<std::string>>;
  { env.FindCap(text) } -> std::same_as<std::optional<usage_cap>>;
  { env.Tolerance() } -> std::convertible_to<cap_tolerance>;
  { env.Ask(text, demand, deadline) } -> std::same_as<cap_exchange>;
  /// Records that this node, with a rank among the candidates, granted tokens of a shard.
  { env.OnGranted(text, demand.wanted, std::size_t{}) } -> std::same_as<void>;
};

/// Part of one node in keeping the usage caps of all nodes: requests tokens for its own callers,
/// and grants or passes on the demands of other nodes. See cap_owner for the rules of ownership.
/// Not thread-safe.
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
        owner_(env.SteadyNow()),
        next_shard_(std::hash<std::string>{}(std::string(env.Self()))) {}

  /// Must be called periodically. Gives up all caps after a suspension and while this node is out
  /// of touch.
  void Tick() {
    const auto now = env_.BootNow();
    if ((last_tick_ && now - *last_tick_ > kSuspensionTime) || !IsInTouch()) {
      owner_.Release(env_.SteadyNow());
    }
    last_tick_ = now;
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
    const std::string key = MakeKey(demand);
    if (!IsInTouch()) {
      owner_.Release(env_.SteadyNow());
      return {.released = true};
    }
    const std::vector<std::string> candidates = env_.FindCandidates(key);
    const auto own = std::find(candidates.begin(), candidates.end(), std::string(env_.Self()));
    const bool is_first = !candidates.empty() && own == candidates.begin();
    const bool holds = owner_.Holds(key, env_.SteadyNow());
    if (demand.relayed) {
      const bool grants = holds || (is_first && owner_.Owns(key));
      return grants ? GrantOwn(demand) : cap_grant{};
    }
    if (is_first) return GrantAsFirst(demand, candidates);
    for (auto before = candidates.begin(); before != own; ++before) {
      const auto grant = Relay(*before, demand);
      if (grant && grant->owned) {
        owner_.OnOwnedElsewhere(key);
        return *grant;
      }
      const bool may_replace = (!grant || grant->released) &&
                               owner_.MayReplace(*before, env_.ProvedAt(), env_.BootNow());
      if (!may_replace && !holds) return {};
    }
    if (own == candidates.end()) return {};
    // A candidate before this one may have granted since this one last did.
    if (!holds) owner_.OnOwnedElsewhere(key);
    return GrantOwn(demand);
  }

  /// Discards the state of tenants for which `is_removed` returns true.
  template <typename IsRemoved>
  void Discard(IsRemoved is_removed) {
    const auto matches = [&](const auto& entry) { return is_removed(entry.first); };
    std::erase_if(stocks_, matches);
    std::erase_if(counts_, matches);
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

  [[nodiscard]] bool IsInTouch() {
    const auto proved_at = env_.ProvedAt();
    return proved_at && env_.BootNow() - *proved_at < cap_owner::kMaxProofAge;
  }

  /// Returns the name of a shard, by which its owner is chosen.
  static std::string MakeKey(const cap_demand& demand) {
    return demand.tenant + '/' + std::to_string(demand.shard);
  }

  cap_grant GrantAsFirst(const cap_demand& demand, const std::vector<std::string>& candidates) {
    const std::string key = MakeKey(demand);
    if (candidates.size() == 1 || !owner_.MustAskSuccessor(key, env_.SteadyNow())) {
      return GrantOwn(demand);
    }
    const auto grant = Relay(candidates[1], demand);
    // A successor that doesn't reply may be granting tokens, unless its process doesn't run.
    using enum cap_owner::successor;
    auto successor = kIdle;
    if (owner_.IsOut(candidates[1]))
      successor = kOut;
    else if (!grant || grant->owned)
      successor = kHolds;
    owner_.OnSuccessor(key, successor, env_.SteadyNow());
    if (grant && grant->owned) return *grant;
    return successor == kHolds ? cap_grant{} : GrantOwn(demand);
  }

  cap_grant GrantOwn(const cap_demand& demand) {
    const auto cap = env_.FindCap(demand.tenant);
    if (!cap) return {};
    const std::uint32_t shards = CountShards(*cap);
    const usage_cap part = DivideCap(*cap, shards);
    const cap_plan plan = PlanCap(part, DivideTolerance(env_.Tolerance(), shards));
    if (!cap->limited()) return {demand.wanted, plan.validity, {}, true};
    const std::string key = MakeKey(demand);
    const auto taken = owner_.Grant(key, part, plan, demand.wanted, env_.SteadyNow());
    const std::vector<std::string> candidates = env_.FindCandidates(key);
    const auto own = std::find(candidates.begin(), candidates.end(), std::string(env_.Self()));
    env_.OnGranted(key, taken.tokens, static_cast<std::size_t>(own - candidates.begin()));
    return {taken.tokens, plan.validity, taken.refill, true};
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
      owner_.OnOut(node, env_.BootNow());
      return exchange.grant;
    }
    if (!exchange.grant) {
      if (silent_until_.size() >= kMaxSilentNodes) silent_until_.clear();
      silent_until_[node] = env_.SteadyNow() + kSilentTime;
      if (exchange.refused) {
        owner_.OnOut(node, env_.BootNow());
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
    for (const std::string& candidate : env_.FindCandidates(MakeKey(demand))) {
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
  /// Times until which nodes that did not reply are not asked.
  std::map<std::string, cap_bucket::time_point> silent_until_;
};

}  // namespace siskinrack::tenancy

#endif  // SISKINRACK_TENANCY_CAP_NODE_H_
