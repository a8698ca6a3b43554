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

/// Maximum bytes of records in one message.
inline constexpr std::size_t kMaxRecordBytes = 1'200;
inline constexpr time_ms kExchangeInterval{1'000};
/// Timeout for the reply to an exchange or a probe.
inline constexpr time_ms kReplyTimeout{500};
/// Timeout for the reply to an indirect probe, within which the relaying member probes the target.
inline constexpr time_ms kIndirectTimeout{1'000};
inline constexpr time_ms kSuspicionPeriod{5'000};
inline constexpr time_ms kRemovalDelay{60'000};
inline constexpr time_ms kRepairInterval{10'000};
/// Interval between attempts to contact a seed or a dead member, so that the parts of a partitioned
/// mesh merge again.
inline constexpr time_ms kRejoinInterval{10'000};

/// Sustained rate of records in exchanges. Together with the other fields and the repairs it keeps
/// the busiest of 550 nodes below 4 KB/s. The burst is for many members failing or returning at
/// once.
inline constexpr double kRecordBytesPerSecond = 600;
inline constexpr double kRecordBurstBytes = 8'000;
/// Rate at which urgent changes are forwarded at once; changes above it wait for the next exchange.
inline constexpr double kUrgentBytesPerSecond = 250;
inline constexpr double kUrgentBurstBytes = 4'000;

/// Purpose of a message to a peer.
enum class message_purpose { kExchange, kRejoin, kRepair, kProbe, kIndirectProbe, kPush };

/// Represents a message to a peer. All purposes except pushes expect a reply within `timeout`.
struct outgoing_message {
  message_purpose purpose = message_purpose::kPush;
  /// Empty for a seed, whose node id is unknown.
  std::string node_id;
  /// "ip:port"
  std::string address;
  wire::envelope_t message;
  time_ms timeout = kReplyTimeout;
};

enum class member_change { kAlive, kSuspect, kDead, kDraining };

struct member_event {
  member_change change = member_change::kAlive;
  std::string node_id;
};

/// Holds what the caller has to do after an input to the protocol.
struct gossip_output {
  std::vector<outgoing_message> messages;
  std::vector<member_event> events;
  /// Reply to the message that was handled.
  std::optional<wire::envelope_t> reply;
  /// Address to probe on behalf of the sender; `reply` has to report whether it was reachable.
  std::optional<std::string> probe_address;
};

/// Implements the membership protocol of one node (docs/design.md, section 6) without I/O: time and
/// random numbers are arguments, and messages to send are results. Thread-safe, except that calls
/// must not share a random number generator concurrently.
class gossip {
 public:
  gossip(member_table& table, std::vector<std::string> seeds)
      : table_(table), seeds_(std::move(seeds)) {}

  /// Starts the protocol with the record of this node. A restarted node may pass any incarnation:
  /// the protocol raises it when a peer reports a later one.
  gossip_output Start(member_record self, time_ms now, std::mt19937_64& random);
  /// Publishes the state of the upstream. The states draining and left are pushed to peers at once.
  gossip_output SetState(wire::upstream_state state, time_ms now, std::mt19937_64& random);
  void SetServedVersion(std::uint64_t version);
  /// Adds addresses to join through, for a node whose seeds don't respond.
  void AddSeeds(const std::vector<std::string>& addresses);

  /// Runs the actions that are due. Must be called several times a second.
  gossip_output Tick(time_ms now, std::mt19937_64& random);
  /// Handles a message that isn't a reply. Without `expects_reply` the message is a push.
  gossip_output OnRequest(const std::string& sender, const wire::messageUnion& message,
                          bool expects_reply, time_ms now, std::mt19937_64& random);
  gossip_output OnReply(const outgoing_message& request, const wire::envelope_t& reply, time_ms now,
                        std::mt19937_64& random);
  /// Handles a request that timed out or whose link broke.
  gossip_output OnNoReply(const outgoing_message& request, time_ms now, std::mt19937_64& random);
  /// Schedules a probe of a member whose established link broke.
  void OnLinkBroken(const std::string& node_id, time_ms now, std::mt19937_64& random);

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
    /// Records of this node that supersede records received from the peer; sent back to it.
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

  // gossip_merge.cpp
  void MergeRecord(input_context& context, const member_record& record);
  void MergeStatus(input_context& context, const member_status& status);
  void HandleOwnRecord(input_context& context, const member_record& record);
  void OnRecordChanged(input_context& context, const std::optional<member_record>& before,
                       const member_record& after);
  void TrackLiveness(input_context& context, const member_record& record);
  void ForwardUrgent(input_context& context, const std::string& sender);

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
  std::map<std::string, time_ms> delayed_probes_;
  std::map<std::string, time_ms> last_repair_starts_;
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
