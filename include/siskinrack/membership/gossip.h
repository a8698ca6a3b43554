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

/// Most bytes of records in one message.
inline constexpr std::size_t kMaxRecordBytes = 1'200;
inline constexpr time_ms kExchangeInterval{1'000};
/// Time for the answer to an exchange or a probe.
inline constexpr time_ms kReplyTimeout{500};
/// Time for the answer to an indirect probe, which contains a probe.
inline constexpr time_ms kIndirectTimeout{1'000};
inline constexpr time_ms kSuspicionPeriod{5'000};
inline constexpr time_ms kRemovalDelay{60'000};
inline constexpr time_ms kRepairInterval{10'000};
/// Between attempts to reach a seed or a member that died, so that parts of a mesh that lost each
/// other meet again.
inline constexpr time_ms kRejoinInterval{10'000};

/// Steady rate of records in exchanges; with the other fields and the repairs it keeps the worst of
/// 550 nodes under 4 KB/s. A mass failure or a mass return may use the burst.
inline constexpr double kRecordBytesPerSecond = 600;
inline constexpr double kRecordBurstBytes = 8'000;
/// Rate of passing on urgent changes at once; what exceeds it waits for the next exchange.
inline constexpr double kUrgentBytesPerSecond = 250;
inline constexpr double kUrgentBurstBytes = 4'000;

/// What an outgoing_message message is for.
enum class message_purpose { kExchange, kRejoin, kRepair, kProbe, kIndirectProbe, kPush };

/// A message to a peer. All but pushes expect an answer within `timeout`.
struct outgoing_message {
  message_purpose purpose = message_purpose::kPush;
  /// Empty for a seed, whose node id isn't known.
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

/// What the protocol wants done after an input.
struct gossip_output {
  std::vector<outgoing_message> messages;
  std::vector<member_event> events;
  /// Answer to the message that was handled.
  std::optional<wire::envelope_t> reply;
  /// Address to probe on behalf of the sender; the answer tells whether it was reachable.
  std::optional<std::string> probe_address;
};

/// The membership protocol of one node (docs/design.md, section 6). Time and random numbers are
/// arguments; messages to send are results. Safe for use from several threads; the random number
/// generator is the caller's.
class gossip {
 public:
  gossip(member_table& table, std::vector<std::string> seeds)
      : table_(table), seeds_(std::move(seeds)) {}

  /// Starts with the record of this node. A restarted node may pass any incarnation: it raises it
  /// when a peer remembers a later one.
  gossip_output Start(member_record self, time_ms now, std::mt19937_64& random);
  /// Publishes the state of the upstream. Draining and left are pushed to peers at once.
  gossip_output SetState(wire::upstream_state state, time_ms now, std::mt19937_64& random);
  void SetServedVersion(std::uint64_t version);
  /// Adds addresses to join through, for a node whose seeds don't answer.
  void AddSeeds(const std::vector<std::string>& addresses);

  /// Does what is due; to be called several times a second.
  gossip_output Tick(time_ms now, std::mt19937_64& random);
  /// Handles a message that isn't an answer. Without `wants_reply` the message is a push.
  gossip_output OnRequest(const std::string& sender, const wire::messageUnion& message,
                          bool wants_reply, time_ms now, std::mt19937_64& random);
  gossip_output OnReply(const outgoing_message& request, const wire::envelope_t& reply, time_ms now,
                        std::mt19937_64& random);
  /// The request got no answer in time, or its link broke.
  gossip_output OnNoReply(const outgoing_message& request, time_ms now, std::mt19937_64& random);
  /// An established link to the member broke.
  void OnLinkBroken(const std::string& node_id, time_ms now, std::mt19937_64& random);

  [[nodiscard]] member_record self() const;

 private:
  struct suspicion {
    time_ms started{0};
    time_ms next_notice{0};
    /// This node suspected the member itself and tells it so, for a quick refutation.
    bool own = false;
  };
  struct indirect_probe {
    unsigned pending = 0;
    bool reached = false;
  };
  struct remembered_member {
    std::string address;
    time_ms since{0};
  };
  /// State while one message is handled.
  struct turn {
    time_ms now;
    std::mt19937_64& random;
    gossip_output& step;
    /// Node ids whose records the peer has already or gets as a correction.
    std::set<std::string> peer_has;
    std::vector<member_record> corrections;
    std::vector<member_record> urgent;
    /// The message answers a step of a repair.
    bool repairing = false;
    /// Bytes of records that were new.
    std::size_t learned_bytes = 0;
  };
  // gossip.cpp
  void PublishSelf(bool whole);
  void StartExchange(turn& at);
  void StartRejoin(turn& at);
  template <typename Exchange>
  void FillExchange(turn& at, const std::string& peer, Exchange& exchange);
  template <typename Exchange>
  void FillFromQueue(turn& at, const std::string& peer, Exchange& exchange);
  template <typename Exchange>
  void LearnFrom(turn& at, const std::string& sender, const Exchange& exchange);
  void OnExchange(turn& at, const std::string& sender, const wire::exchange_t& exchange,
                  bool wants_reply);
  void Push(turn& at, const member_record& record, std::size_t fanout, const std::string& except);
  void PushTo(turn& at, const member_record& record, const std::string& node_id);

  // gossip_learn.cpp
  void Learn(turn& at, const member_record& record);
  void LearnStatus(turn& at, const member_status& status);
  void LearnAboutSelf(turn& at, const member_record& record);
  void OnChanged(turn& at, const std::optional<member_record>& before, const member_record& after);
  void TrackLiveness(turn& at, const member_record& record);
  void ForwardUrgent(turn& at, const std::string& sender);

  // gossip_repair.cpp
  void CompareBuckets(turn& at, const std::vector<std::uint32_t>& theirs,
                      wire::exchange_reply_t& reply) const;
  void TakeWanted(std::vector<std::uint32_t>& wanted);
  void ContinueRepair(turn& at, const std::string& peer, const std::string& address,
                      const wire::exchange_reply_t& reply);
  void CompareSummaries(turn& at, const wire::exchange_reply_t& reply, wire::exchange_t& next);
  void AddBuckets(wire::exchange_t& exchange) const;
  void StartRepairRound(turn& at, const std::string& last_peer);
  bool MayRepair(turn& at, const std::string& peer);
  template <typename Exchange>
  void AnswerWanted(const std::vector<std::uint32_t>& wanted, Exchange& exchange) const;

  // gossip_failure.cpp
  void Probe(turn& at, const std::string& node_id);
  void ProbeIndirectly(turn& at, const std::string& node_id);
  void OnIndirectResult(turn& at, const std::string& node_id, bool reached);
  void Suspect(turn& at, const std::string& node_id);
  void ProbeNeighbours(turn& at, const member_record& suspect);
  void CheckSuspicions(turn& at);
  void CheckRemovals(turn& at);
  void CheckDelayedProbes(turn& at);
  void ShiftTimersAfterPause(turn& at);
  [[nodiscard]] bool WasPaused(time_ms now) const;

  member_table& table_;
  std::vector<std::string> seeds_;
  mutable std::mutex mutex_;
  member_record self_;
  peer_list peers_;
  dissemination_queue queue_;
  /// Bounds the steady traffic; a mass failure or a mass return may use the burst.
  byte_budget record_budget_{kRecordBytesPerSecond, kRecordBurstBytes};
  byte_budget urgent_budget_{kUrgentBytesPerSecond, kUrgentBurstBytes};
  /// Hashes of node ids that were mentioned and whose records are missing here.
  std::set<std::uint32_t> wanted_;
  std::map<std::string, suspicion> suspicions_;
  std::map<std::string, time_ms> gone_since_;
  std::map<std::string, remembered_member> remembered_;
  std::map<std::string, indirect_probe> indirect_probes_;
  std::map<std::string, time_ms> delayed_probes_;
  std::map<std::string, time_ms> repaired_;
  time_ms next_repair_{0};
  time_ms started_{0};
  time_ms next_exchange_{0};
  time_ms next_rejoin_{0};
  time_ms last_tick_{0};
  /// After a pause of the process, missing answers say nothing about the peers.
  time_ms ignore_failures_until_{0};
  unsigned exchanges_ = 0;
};

}  // namespace siskinrack::membership

#endif  // SISKINRACK_MEMBERSHIP_GOSSIP_H_
