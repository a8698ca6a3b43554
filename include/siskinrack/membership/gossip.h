#ifndef SISKINRACK_MEMBERSHIP_GOSSIP_H_
#define SISKINRACK_MEMBERSHIP_GOSSIP_H_

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "siskinrack/membership/dissemination_queue.h"
#include "siskinrack/membership/member_table.h"
#include "siskinrack/membership/peer_list.h"
#include "siskinrack/wire/frame.h"

namespace siskinrack::membership {

/// Maximum bytes of records and statuses in one message, as estimated by EncodedBytes.
inline constexpr std::size_t kMaxRecordBytes = 1'200;
/// Interval between the exchanges that a node starts.
inline constexpr time_ms kExchangeInterval{1'000};
/// Timeout for the reply to an exchange or a probe.
inline constexpr time_ms kReplyTimeout{500};
/// Timeout for the reply to an indirect probe, within which the relaying member probes the target.
inline constexpr time_ms kIndirectTimeout{1'000};
/// Time within which a suspect has to refute before it is declared dead.
inline constexpr time_ms kSuspicionPeriod{5'000};
/// Time after which a dead or departed member is removed from the table.
inline constexpr time_ms kRemovalDelay{60'000};
/// Minimum interval between repairs that a node begins. A repair that yields many records permits
/// the next one with another peer at once.
inline constexpr time_ms kRepairInterval{10'000};
/// Interval between attempts to contact a seed or a dead member, so that the parts of a partitioned
/// mesh merge again. A node without live peers makes an attempt every second.
inline constexpr time_ms kRejoinInterval{10'000};

/// Sustained rate of the queued changes and corrections in exchanges and their replies. Together
/// with the other fields and the repairs it keeps the busiest of 550 nodes below 4 KB/s. The burst
/// is for many members failing or returning at once.
inline constexpr double kRecordBytesPerSecond = 600;
inline constexpr double kRecordBurstBytes = 8'000;
/// Sustained rate of the pushes that forward urgent changes. Changes above this rate wait for the
/// next exchange.
inline constexpr double kUrgentBytesPerSecond = 250;
inline constexpr double kUrgentBurstBytes = 4'000;

/// Represents the purpose of a message to a peer.
enum class message_purpose {
  /// Periodic exchange of changes with a live peer.
  kExchange,
  /// Exchange with a seed or a dead member.
  kRejoin,
  /// Exchange that compares the tables or transfers the records in which they differ.
  kRepair,
  /// Checks that the peer replies.
  kProbe,
  /// Requests a probe of another member by the peer.
  kIndirectProbe,
  /// Sends records without expecting a reply.
  kPush,
};

/// Represents a message to a peer. All purposes except pushes expect a reply within `timeout`.
struct outgoing_message {
  message_purpose purpose = message_purpose::kPush;
  /// Empty for a seed, whose node id is unknown.
  std::string node_id;
  /// Peer address as "ip:port".
  std::string address;
  wire::envelope_t message;
  time_ms timeout = kReplyTimeout;
};

/// Represents a change of a member in the table of this node. kAlive includes new members.
enum class member_change { kAlive, kSuspect, kDead, kDraining };

/// Represents a change of one member. Of this node itself, only its drain is reported.
struct member_event {
  member_change change = member_change::kAlive;
  std::string node_id;
};

/// Holds the results of one input to the protocol. The user of `gossip` has to process all of them.
struct gossip_output {
  std::vector<outgoing_message> messages;
  std::vector<member_event> events;
  /// Reply to the message that was handled.
  std::optional<wire::envelope_t> reply;
  /// Address to probe on behalf of the sender of the request. `reachable` of the probe reply in
  /// `reply` has to be set to the result of the probe before the reply is sent.
  std::optional<std::string> probe_address;
};

/// Implements the membership protocol of one node (docs/design.md, section 6) without I/O: time and
/// random numbers are arguments, and messages to send are results. All `now` arguments are times on
/// the same clock. Thread-safe, except that concurrent calls must not share a random number
/// generator.
class gossip {
 public:
  /// Creates the protocol of one node. `table` must outlive it and be changed only by it. `seeds`
  /// are the peer addresses to join through, as "ip:port".
  gossip(member_table& table, std::vector<std::string> seeds)
      : table_(table), seeds_(std::move(seeds)) {}

  /// Starts the protocol with the record of this node, whose sequence it sets to 1. Must be called
  /// once; before it the record of this node is empty. A restarted node may pass any incarnation:
  /// the protocol raises it when a peer sends a record of an earlier run that the new one doesn't
  /// supersede.
  gossip_output Start(member_record self, time_ms now, std::mt19937_64& random);
  /// Publishes the state of the upstream. The states draining and left are pushed to peers at once.
  /// Does nothing if the state is unchanged.
  gossip_output SetState(wire::upstream_state state, time_ms now, std::mt19937_64& random);
  /// Publishes the configuration version that this node serves. It is sent with later exchanges.
  void SetServedVersion(std::uint64_t version);
  /// Adds addresses ("ip:port") to join through, for a node whose seeds don't respond. Ignores
  /// those that it already has.
  void AddSeeds(const std::vector<std::string>& addresses);

  /// Runs the actions that are due. Must be called several times a second; after a gap of more than
  /// 2 s the process counts as paused, and suspicion periods and removal delays are extended by the
  /// gap.
  gossip_output Tick(time_ms now, std::mt19937_64& random);
  /// Handles an exchange or a probe request from the member with the node id `sender`. Ignores
  /// other messages. Without `expects_reply` an exchange is a push.
  gossip_output OnRequest(const std::string& sender, const wire::messageUnion& message,
                          bool expects_reply, time_ms now, std::mt19937_64& random);
  /// Handles the reply to a request.
  gossip_output OnReply(const outgoing_message& request, const wire::envelope_t& reply, time_ms now,
                        std::mt19937_64& random);
  /// Handles a request that timed out or whose link broke.
  gossip_output OnNoReply(const outgoing_message& request, time_ms now, std::mt19937_64& random);
  /// Schedules a probe of a member whose established link broke.
  void OnLinkBroken(const std::string& node_id, time_ms now, std::mt19937_64& random);

  /// Returns the record of this node.
  [[nodiscard]] member_record self() const;

 private:
  struct suspicion {
    time_ms started{0};
    time_ms next_notice{0};
    /// True if this node raised the suspicion. It then notifies the suspect, so that the suspect
    /// can refute quickly.
    bool is_local = false;
  };
  struct indirect_probe {
    unsigned pending = 0;
    bool reached = false;
  };
  struct rejoin_candidate {
    std::string address;
    time_ms since{0};
  };
  /// Holds the arguments, the output and the intermediate state of one input.
  struct input_context {
    time_ms now;
    std::mt19937_64& random;
    gossip_output& output;
    /// Node ids whose records the peer already holds or receives as a correction.
    std::set<std::string> peer_record_ids;
    /// Records in the table that supersede records received from the peer; sent back to it.
    std::vector<member_record> corrections;
    /// Records with an urgent change, to be forwarded at once.
    std::vector<member_record> urgent;
    /// True if the message is the reply to a repair.
    bool repairing = false;
    /// Bytes of received records that were new to this node.
    std::size_t new_record_bytes = 0;
  };
  // gossip.cpp
  void PublishSelf(bool full_record);
  void StartExchange(input_context& context);
  void StartRejoin(input_context& context);
  template <typename Exchange>
  void FillExchange(input_context& context, const std::string& peer, Exchange& exchange);
  template <typename Exchange>
  void FillFromQueue(input_context& context, const std::string& peer, Exchange& exchange);
  template <typename Exchange>
  void MergeExchange(input_context& context, const std::string& sender, const Exchange& exchange);
  void OnExchange(input_context& context, const std::string& sender,
                  const wire::exchange_t& exchange, bool expects_reply);
  void PushToRandomPeers(input_context& context, const member_record& record, std::size_t fanout,
                         const std::string& except);
  void PushTo(input_context& context, const member_record& record, const std::string& node_id);
  void ForwardUrgent(input_context& context, const std::string& sender);
  void HandleOwnRecord(input_context& context, const member_record& record);

  // gossip_merge.cpp
  void MergeRecord(input_context& context, const member_record& record);
  void MergeStatus(input_context& context, const member_status& status);
  void OnRecordChanged(input_context& context, const std::optional<member_record>& before,
                       const member_record& after);
  void TrackLiveness(input_context& context, const member_record& record);

  // gossip_repair.cpp
  void CompareBuckets(input_context& context, const std::vector<std::uint32_t>& theirs,
                      wire::exchange_reply_t& reply) const;
  /// Moves up to kMaxRequestedRecords ids from `missing_ids_` to `requested_ids`.
  void RequestMissingRecords(std::vector<std::uint32_t>& requested_ids);
  void ContinueRepair(input_context& context, const std::string& peer, const std::string& address,
                      const wire::exchange_reply_t& reply);
  void CompareSummaries(input_context& context, const wire::exchange_reply_t& reply,
                        wire::exchange_t& next);
  void AddBucketDigests(wire::exchange_t& exchange) const;
  void StartRepairRound(input_context& context, const std::string& last_peer);
  /// Returns true if a repair with the peer may begin now, and records its start.
  bool TryBeginRepair(input_context& context, const std::string& peer);
  template <typename Exchange>
  void AddRequestedRecords(const std::vector<std::uint32_t>& requested_ids,
                           Exchange& exchange) const;

  // gossip_failure.cpp
  void Probe(input_context& context, const std::string& node_id);
  void ProbeIndirectly(input_context& context, const std::string& node_id);
  void OnIndirectResult(input_context& context, const std::string& node_id, bool reached);
  void MarkSuspect(input_context& context, const std::string& node_id);
  void ProbeSameDomain(input_context& context, const member_record& suspect);
  void UpdateSuspicions(input_context& context);
  void RemoveExpiredMembers(input_context& context);
  void SendDueProbes(input_context& context);
  void ShiftTimersAfterPause(input_context& context);
  [[nodiscard]] bool WasPaused(time_ms now) const;

  member_table& table_;
  std::vector<std::string> seeds_;
  mutable std::mutex mutex_;
  member_record self_;
  peer_list peers_;
  dissemination_queue queue_;
  /// Bounds the rate of records in exchanges.
  byte_budget record_budget_{kRecordBytesPerSecond, kRecordBurstBytes};
  byte_budget urgent_budget_{kUrgentBytesPerSecond, kUrgentBurstBytes};
  /// Hashes of node ids that peers referred to and whose records this node lacks.
  std::set<std::uint32_t> missing_ids_;
  std::map<std::string, suspicion> suspicions_;
  /// Time since which a member in the table is dead or has left.
  std::map<std::string, time_ms> gone_since_;
  /// Dead members that were removed from the table, as targets of rejoin attempts.
  std::map<std::string, rejoin_candidate> rejoin_candidates_;
  std::map<std::string, indirect_probe> indirect_probes_;
  /// Times of scheduled probes, by the node id of the member to probe.
  std::map<std::string, time_ms> delayed_probes_;
  /// Time at which this node last began a repair with a peer, by the node id of the peer.
  std::map<std::string, time_ms> last_repair_starts_;
  /// Earliest time at which this node may begin a repair with another peer.
  time_ms next_repair_{0};
  time_ms started_{0};
  time_ms next_exchange_{0};
  time_ms next_rejoin_{0};
  time_ms last_tick_{0};
  /// Until this time, missing replies are ignored: the process was paused and may have missed them.
  time_ms ignore_failures_until_{0};
  unsigned exchanges_ = 0;
};

}  // namespace siskinrack::membership

#endif  // SISKINRACK_MEMBERSHIP_GOSSIP_H_
