#ifndef SISKINRACK_DISTRIBUTION_CONFIG_AGENT_H_
#define SISKINRACK_DISTRIBUTION_CONFIG_AGENT_H_

#include <deque>
#include <optional>

#include "siskinrack/distribution/config_history.h"
#include "siskinrack/distribution/peer_view.h"
#include "siskinrack/distribution/version_floor.h"
#include "siskinrack/distribution/witness_round.h"
#include "siskinrack/distribution/witness_table.h"

namespace siskinrack::distribution {

/// Represents a message for a peer. `to` is its node id, or the address or id that was passed as
/// `peer` with the event that caused the message.
struct outgoing_message {
  std::string to;
  wire::messageUnion body;
};

/// Represents a version that takes effect now.
struct activation {
  config_snapshot_ptr snapshot;
  /// Origin of the configuration, see config_agent::OnConfig.
  std::string source;
  /// Number of witnesses that recorded the version; fewer than required if they didn't reply in
  /// time.
  std::size_t witnesses = 0;
  std::size_t witnesses_required = 0;
};

/// Represents a configuration that failed its check.
struct rejection {
  /// 0 if the configuration can't be parsed.
  std::uint64_t version = 0;
  /// SHA-256 of the received text in hex, or the digest that came with a delta.
  std::string digest;
  std::string source;
  support::findings problems;
};

/// Decides for one node which configuration it holds, requests, announces and serves. A state
/// machine without I/O: it receives events with their time and returns messages and activations. A
/// version is held as soon as it has passed its check. It is served once the version floor is
/// known, the version isn't below it, and the witness round for the version is complete. The head
/// is the platform object `config/head`, which holds the newest accepted configuration. Not
/// thread-safe.
class config_agent {
 public:
  config_agent(std::string node_id, std::string failure_domain, witness_table& witnesses,
               time_point start);

  /// Processes a configuration from the platform, the operator program or a peer, named by
  /// `source`. Adds findings to `problems` if it's invalid. A valid one is ignored unless its
  /// version is newer than the held one.
  void OnConfig(std::string_view json, std::string_view source, support::findings& problems);
  /// Processes the report that a peer holds `version`; requests an update from it if that is newer
  /// than the version held here and wasn't requested shortly before.
  void OnPeerVersion(const std::string& peer, std::uint64_t version, time_point now);
  /// Processes a peer's delta or full copy. Requests a full copy if a delta can't be applied, and
  /// ignores a full copy that doesn't match its digest.
  void OnUpdate(const std::string& peer, const wire::config_update_t& update, time_point now);
  /// Processes the version of the platform's head; 0 means that there is no head.
  void OnPlatformHead(std::uint64_t version) { floor_.OnPlatformHead(version); }
  /// Processes a peer's reply to a floor request.
  void OnFloorReply(const std::string& peer, const wire::floor_reply_t& reply, time_point now);
  /// Processes the reply of the peer with node id `peer` to the witness request for `version`.
  void OnWitnessReply(const std::string& peer, std::uint64_t version, bool recorded) {
    round_.OnReply(peer, version, recorded);
  }
  /// Performs the steps that depend on the time and on the members: the version floor, version
  /// notices and the witness round.
  void Advance(std::span<const peer_view> peers, time_point now, random_engine& random);

  /// Returns and removes the messages or activations since the last call.
  std::vector<outgoing_message> TakeMessages();
  std::vector<activation> TakeActivations();

  /// Returns the reply to a peer's request for a configuration.
  [[nodiscard]] wire::config_update_t Answer(const wire::config_request_t& request) const {
    return history_.Answer(request);
  }
  /// Records the version if it or a newer one is held here; otherwise requests it from `peer`,
  /// which repeats its witness request later.
  wire::witness_reply_t Answer(const std::string& peer, const wire::witness_request_t& request,
                               time_point now);
  /// Returns the version recorded for the requesting node. Returns std::nullopt while this node's
  /// own floor is unknown: it may have lost its witness records in a restart, so a missing record
  /// doesn't mean that the requesting node served no version.
  [[nodiscard]] std::optional<wire::floor_reply_t> Answer(const wire::floor_request_t& request,
                                                          std::span<const peer_view> peers) const;

  /// Returns true if Advance has work that needs the members.
  [[nodiscard]] bool HasPendingWork() const;
  /// Returns the newest configuration held, initially the empty one; never null.
  [[nodiscard]] const config_snapshot_ptr& held() const { return history_.newest(); }
  /// Returns the version that took effect last, or 0.
  [[nodiscard]] std::uint64_t served_version() const { return served_version_; }
  [[nodiscard]] const version_floor& floor() const { return floor_; }
  /// Returns the configuration rejected last; empty once a version at least as new takes effect.
  [[nodiscard]] const std::optional<rejection>& rejected() const { return rejected_; }

 private:
  struct request_state {
    std::uint64_t version = 0;
    time_point sent{};
  };

  void Hold(config_snapshot_ptr snapshot, std::string_view source);
  void Reject(std::uint64_t version, std::string digest, std::string_view source,
              const support::findings& problems);
  void Request(const std::string& peer, bool full);
  void AdvanceFloor(std::span<const peer_view> peers, time_point now, random_engine& random);
  void AdvanceRound(std::span<const peer_view> peers, time_point now, random_engine& random);

  std::string node_id_;
  std::string failure_domain_;
  witness_table& witnesses_;
  config_history history_;
  version_floor floor_;
  witness_round round_;
  /// Snapshot that takes effect after the current witness round; a newer one may be held already.
  config_snapshot_ptr staged_;
  std::string held_source_;
  std::string staged_source_;
  std::uint64_t served_version_ = 0;
  std::uint64_t announced_version_ = 0;
  request_state requested_;
  std::optional<rejection> rejected_;
  std::vector<outgoing_message> messages_;
  std::vector<activation> activations_;
};

}  // namespace siskinrack::distribution

#endif  // SISKINRACK_DISTRIBUTION_CONFIG_AGENT_H_
