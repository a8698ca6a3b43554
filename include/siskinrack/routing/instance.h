#ifndef SISKINRACK_ROUTING_INSTANCE_H_
#define SISKINRACK_ROUTING_INSTANCE_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

#include "siskinrack/support/socket_address.h"

namespace siskinrack::routing {

/// One run of an upstream process. An upstream may start again under the id that it had.
struct lifetime {
  std::string instance_id;
  /// Start of the process by its own clock, in milliseconds since 1970.
  std::int64_t born_ms = 0;

  bool operator==(const lifetime&) const = default;
};

enum class instance_state { kReady, kDraining };

/// What an upstream says of itself in one heartbeat.
struct instance_report {
  lifetime life;
  /// Grows with each heartbeat of one lifetime.
  std::uint64_t sequence = 0;
  std::string service;
  std::string address;
  std::string zone;
  std::uint32_t slots = 1;
  instance_state state = instance_state::kReady;
  /// Time for which the upstream is still slow after its start.
  std::chrono::milliseconds cold_left{0};
};

/// An upstream as the other nodes know it.
struct endpoint {
  lifetime life;
  std::string service;
  std::string zone;
  /// Where the node beside the upstream takes calls.
  support::socket_address node_address;
  std::uint32_t slots = 1;
  instance_state state = instance_state::kReady;

  bool operator==(const endpoint&) const = default;
};

/// What became of a heartbeat.
enum class report_result {
  kApplied,
  /// Of an earlier lifetime, or older than one already seen.
  kOutdated,
};

/// State of the upstream on this machine, as its heartbeats tell it. Pure.
class local_instance {
 public:
  using time_point = std::chrono::steady_clock::time_point;

  report_result OnReport(const instance_report& report, time_point now);
  /// The upstream said that it leaves for good. False if this lifetime is not the current one.
  /// `wall_ms` is the time of day in Unix milliseconds: a lifetime whose departure names no start
  /// began before it.
  bool OnDeparture(const std::string& instance_id, std::optional<std::int64_t> born_ms,
                   time_point now, std::int64_t wall_ms);

  /// The current lifetime; nothing before the first heartbeat and after its departure.
  [[nodiscard]] const std::optional<instance_report>& current() const { return current_; }
  [[nodiscard]] bool has_departed() const { return has_departed_; }
  /// When the current lifetime announced its departure; the earliest time there is if it was
  /// leaving already when it was first heard of.
  [[nodiscard]] std::optional<time_point> leaving_since() const { return leaving_since_; }
  [[nodiscard]] time_point last_report() const { return last_report_; }

 private:
  std::optional<instance_report> current_;
  bool has_departed_ = false;
  std::optional<time_point> leaving_since_;
  /// A departure that came before any report of the lifetime.
  struct unknown_departure {
    std::string instance_id;
    /// Lifetimes that began later are others.
    std::int64_t latest_born_ms = 0;
    time_point until;
  };
  [[nodiscard]] bool HasDeparted(const lifetime& life, time_point now) const;

  std::optional<unknown_departure> departed_unknown_;
  time_point last_report_{};
};

}  // namespace siskinrack::routing

#endif  // SISKINRACK_ROUTING_INSTANCE_H_
