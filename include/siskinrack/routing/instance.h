#ifndef SISKINRACK_ROUTING_INSTANCE_H_
#define SISKINRACK_ROUTING_INSTANCE_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <set>
#include <string>

#include "siskinrack/support/socket_address.h"

namespace siskinrack::routing {

/// Identifies one run of an upstream process. A restarted upstream may reuse its instance id.
struct lifetime {
  std::string instance_id;
  /// Start time of the process by its own clock, in Unix milliseconds.
  std::int64_t born_ms = 0;

  auto operator<=>(const lifetime&) const = default;
};

/// State that an upstream reports about itself. A draining upstream receives no new calls. A
/// departed one has announced its end; only records in the store have this state.
enum class instance_state { kReady, kDraining, kDeparted };

/// Represents one heartbeat of an upstream.
struct instance_report {
  lifetime life;
  /// Increases with each heartbeat of one lifetime.
  std::uint64_t sequence = 0;
  std::string service;
  std::string address;
  /// Failure domain of the upstream.
  std::string zone;
  /// Maximum number of calls that the upstream runs at the same time.
  std::uint32_t slots = 1;
  instance_state state = instance_state::kReady;
  /// Remaining warm-up time, during which the upstream is slow.
  std::chrono::milliseconds cold_left{0};
  /// Version of the upstream's software; empty if it names none.
  std::string software_version{};
};

/// Represents an upstream as registered for the other nodes.
struct endpoint {
  lifetime life;
  std::string service;
  std::string zone;
  /// Address at which the node of the upstream accepts calls.
  support::socket_address node_address;
  std::uint32_t slots = 1;
  instance_state state = instance_state::kReady;
  /// Version of the upstream's software; empty if it names none.
  std::string software_version{};
  /// Address of a node that got no replies of this endpoint's node, which may own no usage caps
  /// until it reaches that one; empty without such a suspension.
  std::string suspended_by{};

  bool operator==(const endpoint&) const = default;
};

/// Result of processing a heartbeat.
enum class report_result {
  kApplied,
  /// The heartbeat belongs to an earlier lifetime or is not newer than one already applied.
  kOutdated,
};

/// Tracks the state of the upstream on this VM from its heartbeats. Deterministic: the time is an
/// argument. Not thread-safe.
class local_instance {
 public:
  using time_point = std::chrono::steady_clock::time_point;

  /// Applies a heartbeat unless it is outdated.
  report_result OnReport(const instance_report& report, time_point now);
  /// Records that the upstream announced its final departure. Returns false if the departed
  /// lifetime is not the current one; without `born_ms`, the instance id decides. Before the first
  /// heartbeat, the departure is kept for a short time and applies to the lifetimes of
  /// `instance_id` that began up to `born_ms` or, without it, up to `wall_ms`, the wall clock time
  /// in Unix milliseconds.
  bool OnDeparture(const std::string& instance_id, std::optional<std::int64_t> born_ms,
                   time_point now, std::int64_t wall_ms);

  /// Records that an answer of the lifetime `life` announced its departure. Returns false if it is
  /// not the current one or has announced it before.
  bool OnAnnouncedDeparture(const lifetime& life, time_point now);

  /// Applies a record of the store that an earlier process of this node wrote: a recorded departure
  /// binds this process, however late a heartbeat of the departed lifetime arrives. A recorded
  /// drain began long ago.
  void OnRecord(const lifetime& life, instance_state state);

  /// Returns the latest heartbeat of the current lifetime, also after its departure; empty before
  /// the first heartbeat.
  [[nodiscard]] const std::optional<instance_report>& current() const { return current_; }
  /// Returns true if the current lifetime has departed.
  [[nodiscard]] bool has_departed() const { return has_departed_; }
  /// Returns when the current lifetime announced its departure; empty if it has not, and
  /// `time_point::min()` if its first heartbeat already reported that it was draining.
  [[nodiscard]] std::optional<time_point> leaving_since() const { return leaving_since_; }
  /// Returns when a heartbeat was last applied.
  [[nodiscard]] time_point last_report() const { return last_report_; }

 private:
  std::optional<instance_report> current_;
  bool has_departed_ = false;
  std::optional<time_point> leaving_since_;
  /// A departure that was received before any heartbeat.
  struct unknown_departure {
    std::string instance_id;
    /// A lifetime that began later is a different one.
    std::int64_t latest_born_ms = 0;
    time_point retained_until;
  };
  [[nodiscard]] bool MatchesUnknownDeparture(const lifetime& life, time_point now) const;

  /// Maximum number of departed lifetimes; the smallest is discarded. Bounds memory.
  static constexpr std::size_t kMaxDeparted = 256;

  std::optional<unknown_departure> unknown_departure_;
  /// Lifetimes whose departure is recorded. Compared by equality: the wall clock may jump, and a
  /// restarted upstream may reuse its id.
  std::set<lifetime> departed_;
  /// Lifetime that was draining according to its record.
  std::optional<lifetime> recorded_drain_;
  time_point last_report_{};
};

}  // namespace siskinrack::routing

#endif  // SISKINRACK_ROUTING_INSTANCE_H_
