#ifndef SISKINRACK_ROLLOUT_STEERING_H_
#define SISKINRACK_ROLLOUT_STEERING_H_

#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <string>

#include "siskinrack/rollout/order_book.h"
#include "siskinrack/rollout/share_splitter.h"
#include "siskinrack/routing/instance.h"

namespace siskinrack::rollout {

/// Upstreams of a service that a request may be sent to.
enum class track {
  kAny,
  /// All but those of the target version.
  kOthers,
  /// Those of the target version that are in focus.
  kFocus,
  /// One upstream of the target version.
  kSingle,
  /// All of the target version.
  kTarget,
};

/// Track of one request of a caller.
struct assignment {
  track assigned = track::kAny;
  /// Instance id of the upstream for `kSingle`.
  std::string instance_id{};
  /// Work class of the request's route.
  std::uint64_t route = 0;
  /// Revision of the order that the assignment belongs to; 0 without an order.
  std::uint64_t order_revision = 0;
};

/// Selects the versions that the requests of one entry node go to. Deterministic: time and random
/// numbers are arguments. Not thread-safe.
class steering {
 public:
  /// `share` is the share of requests that a version under trial receives.
  explicit steering(double share) : share_(share) {}

  /// Returns the track of the first attempt of a request. `entry` is the order for its service, or
  /// null; `endpoints` are the upstreams of the service that accept calls.
  assignment Assign(const order_entry* entry, std::span<const routing::endpoint> endpoints,
                    std::uint64_t route, time_point now, std::uint64_t random);
  /// Returns true if a request may be sent to an upstream.
  [[nodiscard]] bool Allows(const order_entry* entry, const assignment& assigned,
                            const routing::endpoint& target) const;
  /// Changes the track of a request for which no upstream of its track is left. Returns false if no
  /// other track may be tried.
  bool Redirect(const order_entry* entry, assignment& assigned);
  /// Records the end of an attempt. During the trial, further attempts of the request go to the
  /// other versions.
  void OnAttempt(const order_entry* entry, assignment& assigned, bool arrived);

 private:
  /// State of the trial of one order.
  struct trial {
    std::uint64_t order_revision = 0;
    share_splitter splitter;
    std::set<std::string> focus;
    std::uint64_t focus_turn = 0;
    /// Number of selected requests.
    std::uint64_t selected = 0;
  };

  trial& GetTrial(const order_entry& entry);
  static void UpdateFocus(trial& state, const order_entry& entry, double share,
                          std::span<const routing::endpoint> endpoints, time_point now);

  double share_;
  std::map<std::string, trial> trials_;
};

}  // namespace siskinrack::rollout

#endif  // SISKINRACK_ROLLOUT_STEERING_H_
