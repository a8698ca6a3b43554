#ifndef SISKINRACK_LIB_NODE_CLAIM_SERVICE_H_
#define SISKINRACK_LIB_NODE_CLAIM_SERVICE_H_

#include <array>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "fiber_group.h"
#include "node_context.h"
#include "siskinrack/idempotency/shard_owner.h"

namespace siskinrack::node {

/// Ensures that non-repeatable requests run at most once: obtains a claim from the owner of the
/// key's shard before a request is forwarded, and reports the result to the owner. Also serves the
/// claims of the shards that this node owns.
class claim_service {
 public:
  using forwarder =
      std::function<wire::call_answer_t(wire::call_request_t call, net::cancellation& cancel)>;

  explicit claim_service(node_context& context);

  /// Starts the maintenance loop.
  void Start();
  /// Stops the fibers of this service and waits for them. Must not be called from a fiber.
  void Stop() { fibers_.Stop(); }

  /// Claims the key of `call`. If the claim is granted, calls `forward` and reports its answer to
  /// the owner; otherwise returns an answer without calling `forward`. If the owner returned no
  /// decision, the outcome is "not run" only for the first attempt of a request; for a later one it
  /// is "unknown", because an earlier copy may have run. Must run in a fiber; may suspend.
  wire::call_answer_t Run(wire::call_request_t call, bool is_first_attempt,
                          net::cancellation& cancel, const forwarder& forward);

  /// Handles a claim message of an entry node and returns its reply, or std::nullopt for any
  /// other message.
  std::optional<wire::envelope_t> Handle(const wire::envelope_t& message,
                                         net::cancellation& cancel);

  [[nodiscard]] std::uint64_t platform_calls() const { return store_.calls(); }

 private:
  struct shard_state {
    std::mutex mutex;
    std::unique_ptr<idempotency::shard_owner> owner;
    /// True while a driver fiber makes the platform calls of the owner.
    bool driver_running = false;
  };
  struct shard_owner_node {
    std::string node_id;
    std::optional<support::socket_address> address;
  };
  using owner_table = std::array<shard_owner_node, idempotency::kShards>;

  /// Returns the owners of all shards, recomputed from the members after kOwnerTableLifetime.
  std::shared_ptr<const owner_table> GetCurrentOwners();
  [[nodiscard]] std::shared_ptr<const owner_table> ComputeOwners() const;
  [[nodiscard]] bool IsSelf(const shard_owner_node& owner) const;

  // Entry node.

  /// Requests a claim, and repeats the request while the key is in progress and time is left.
  wire::claim_reply_t Claim(const idempotency::claim_request& claim, net::cancellation& cancel);
  /// Requests a claim once.
  wire::claim_reply_t TryClaim(const idempotency::claim_request& claim, net::cancellation& cancel);
  wire::call_answer_t AnswerWithoutGrant(const std::string& key, bool is_first_attempt,
                                         const wire::claim_reply_t& reply);
  /// Reports a result to the owner of its shard in the background, with retries.
  void ReportResult(wire::claim_result_t result);
  /// Reports a result once. Returns true if the owner recorded it.
  bool TryReportResult(const wire::claim_result_t& result);

  // Owner.

  /// Waits until a claim is decided and returns the reply. If the wait ends first, returns "in
  /// progress" if another attempt holds the key; otherwise withdraws the claim and returns a
  /// refusal. May suspend.
  wire::claim_reply_t DecideClaim(std::size_t index, const idempotency::claim_request& claim,
                                  net::cancellation& cancel);
  /// Passes a result to the owner of its shard. Returns false if the claim log is not loaded, and
  /// requests that it is; the result must then be reported again.
  bool RecordResult(const wire::claim_result_t& result);
  /// Starts a driver fiber for a shard that has platform calls to make and has no driver.
  void StartDriver(std::size_t index);
  /// Makes the platform calls of a shard until it is idle.
  void RunDriver(std::size_t index);
  void LogEvents(std::size_t index, const std::vector<idempotency::owner_event>& events);
  /// Starts the drivers periodically and unloads idle shards that another node owns.
  void RunMaintenanceLoop();

  node_context& context_;
  platform::http_object_store store_;
  std::array<shard_state, idempotency::kShards> shards_;
  std::mutex owners_mutex_;
  std::shared_ptr<const owner_table> owners_;
  net::steady_time owners_valid_until_{};
  fiber_group fibers_;
};

}  // namespace siskinrack::node

#endif  // SISKINRACK_LIB_NODE_CLAIM_SERVICE_H_
