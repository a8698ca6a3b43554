#ifndef SISKINRACK_TEST_MEMBERSHIP_FAKES_SIMULATED_MESH_H_
#define SISKINRACK_TEST_MEMBERSHIP_FAKES_SIMULATED_MESH_H_

#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "siskinrack/membership/gossip.h"

namespace siskinrack::test {

using membership::time_ms;

/// Represents the faults of simulated links. Probabilities are per message.
struct link_faults {
  double loss = 0;
  double duplication = 0;
  /// Upper bound of the additional random delay, which reorders messages.
  time_ms jitter{0};
};

struct mesh_options {
  std::size_t members = 10;
  std::size_t failure_domains = 2;
  std::uint64_t seed = 1;
  /// One-way delays within a failure domain and between two.
  time_ms near_delay{1};
  time_ms far_delay{4};
  /// Faults within a failure domain and between two.
  link_faults near;
  link_faults far;
};

/// Holds the state and the traffic of one simulated member.
struct simulated_member {
  std::string node_id;
  std::string address;
  std::size_t domain = 0;
  /// Number of starts, which distinguishes the runs of a restarted member.
  unsigned start_count = 0;
  bool running = false;
  bool paused = false;
  /// Bytes of the frames sent and received.
  std::uint64_t bytes = 0;
  std::unique_ptr<membership::member_table> table;
  std::unique_ptr<membership::gossip> gossip;
  /// Time at which this member last sent a request or a push, by the index of the receiver.
  std::map<std::size_t, time_ms> links;
  /// Actions that became due while the member was paused.
  std::vector<std::function<void()>> deferred_actions;
};

/// Runs the membership protocols of many members in one thread with virtual time. Every message
/// passes through the real frame codec and is counted at both ends.
class simulated_mesh {
 public:
  explicit simulated_mesh(mesh_options options);

  /// Starts every member; the first member of each failure domain is a seed of the later ones.
  void StartAll();
  /// Runs the events that are due within the next `duration`.
  void Run(time_ms duration);
  /// Runs until `condition` holds, which is checked every `step`, or for `limit`. Returns the
  /// elapsed virtual time.
  time_ms RunUntil(const std::function<bool()>& condition, time_ms limit,
                   time_ms step = time_ms(10));

  /// Starts a member with an empty table, also after Kill(). Unless the member is a seed, each
  /// start gives it another address.
  void Start(std::size_t index, std::uint64_t incarnation);
  /// Stops a member without a departure message. The members with an open link to it detect that
  /// the link broke.
  void Kill(std::size_t index);
  /// Defers everything that the member would execute until Resume(), including received messages.
  void Pause(std::size_t index);
  /// Executes the deferred actions of a paused member and continues.
  void Resume(std::size_t index);
  /// Announces another state of the member's upstream.
  void SetState(std::size_t index, wire::upstream_state state);
  /// Drops all messages between members for which `is_cut` returns true; null ends the partition.
  void SetPartition(std::function<bool(std::size_t, std::size_t)> is_cut) {
    is_link_cut_ = std::move(is_cut);
  }
  /// Replaces the faults within a failure domain and between two, for messages sent from then on.
  void SetFaults(link_faults near, link_faults far);

  [[nodiscard]] time_ms now() const { return now_; }
  [[nodiscard]] std::size_t size() const { return members_.size(); }
  simulated_member& at(std::size_t index) { return members_.at(index); }
  [[nodiscard]] const simulated_member& at(std::size_t index) const { return members_.at(index); }
  std::mt19937_64& random() { return random_; }
  /// Returns true if all running members have equal tables, in which exactly the running members
  /// are alive.
  [[nodiscard]] bool HasConverged() const;
  /// Returns the maximum bytes of records in one message so far.
  [[nodiscard]] std::size_t max_record_bytes() const { return max_record_bytes_; }
  /// Returns the number of events of a kind so far, over all members.
  [[nodiscard]] std::size_t CountEvents(membership::member_change change) const {
    return event_counts_.at(static_cast<std::size_t>(change));
  }

 private:
  struct event {
    time_ms time;
    std::uint64_t order;
    std::function<void()> action;
    bool operator<(const event& other) const {
      return std::tie(other.time, other.order) < std::tie(time, order);
    }
  };
  /// Represents a message that waits for its reply or timeout.
  struct request;

  void Schedule(time_ms time, std::function<void()> action);
  /// Runs `action` at the member after `delay`, unless it was killed or restarted in between. A
  /// paused member runs it when it resumes.
  void ScheduleForMember(std::size_t index, time_ms delay, std::function<void()> action);
  /// Runs the protocol of the member every kTickInterval.
  void ScheduleTicks(std::size_t index);
  /// Counts the events and sends the messages of `output`.
  void Execute(std::size_t index, membership::gossip_output output);
  void Send(std::size_t index, membership::outgoing_message message,
            std::function<void(const wire::envelope_t*)> on_result);
  void HandleRequest(std::size_t to, const std::string& frame,
                     const std::shared_ptr<request>& pending);
  void SendReply(std::size_t from, const std::shared_ptr<request>& pending, wire::envelope_t reply);
  /// Encodes a message, counts its bytes and transmits it with the faults of the link; `deliver`
  /// runs at the receiver.
  void Transmit(std::size_t from, std::size_t to, wire::envelope_t message,
                std::function<void(const std::string&)> deliver);
  /// Updates max_record_bytes().
  void MeasureRecords(const wire::envelope_t& message);
  /// Returns the delay of one message, with random jitter.
  [[nodiscard]] time_ms DrawDelay(std::size_t from, std::size_t to);

  mesh_options options_;
  std::mt19937_64 random_;
  time_ms now_{0};
  std::uint64_t next_order_ = 0;
  std::priority_queue<event> events_;
  std::vector<simulated_member> members_;
  std::map<std::string, std::size_t> member_by_address_;
  std::function<bool(std::size_t, std::size_t)> is_link_cut_;
  std::array<std::size_t, 4> event_counts_{};
  std::size_t max_record_bytes_ = 0;
};

}  // namespace siskinrack::test

#endif  // SISKINRACK_TEST_MEMBERSHIP_FAKES_SIMULATED_MESH_H_
