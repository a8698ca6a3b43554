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

/// Runs non-repeatable requests at most once: obtains a claim from the owner of the key's shard
/// before a request is forwarded, and records its result. Also owns the shards of this node.
class claim_service {
 public:
  using forwarder =
      std::function<wire::call_answer_t(wire::call_request_t call, net::cancellation& cancel)>;

  explicit claim_service(node_context& context);

  void Start();
  /// Ends the fibers of this service. Not for use inside a fiber.
  void Stop() { fibers_.Stop(); }

  /// Claims the key of `call`, calls `forward` under the grant and records its answer; or answers
  /// without a call of `forward`. A refusal without a word of the owner is "not run" only for the
  /// first copy of a request; of another one nobody knows. Runs in a fiber and may suspend.
  wire::call_answer_t Run(wire::call_request_t call, bool is_first_attempt,
                          net::cancellation& cancel, const forwarder& forward);

  /// Handles the claim messages of entry nodes; returns the reply if the message has one.
  std::optional<wire::envelope_t> Handle(const wire::envelope_t& message,
                                         net::cancellation& cancel);

  [[nodiscard]] std::uint64_t platform_calls() const { return store_.calls(); }

 private:
  struct shard {
    std::mutex mutex;
    std::unique_ptr<idempotency::shard_owner> owner;
    /// A fiber makes the owner's platform calls.
    bool driven = false;
  };
  struct shard_owner_node {
    std::string node_id;
    std::optional<support::socket_address> address;
  };
  using owner_table = std::array<shard_owner_node, idempotency::kShards>;

  std::shared_ptr<const owner_table> Owners();
  [[nodiscard]] std::shared_ptr<const owner_table> MakeOwners() const;
  [[nodiscard]] bool IsSelf(const shard_owner_node& owner) const;

  // Entry node.
  wire::claim_reply_t Claim(const idempotency::claim_ask& ask, net::cancellation& cancel);
  wire::claim_reply_t ClaimOnce(const idempotency::claim_ask& ask, net::cancellation& cancel);
  wire::call_answer_t AnswerWithoutGrant(const std::string& key, bool is_first_attempt,
                                         const wire::claim_reply_t& reply);
  void Report(wire::claim_result_t result);
  bool ReportOnce(const wire::claim_result_t& result);

  // Owner.
  wire::claim_reply_t Decide(std::size_t index, const idempotency::claim_ask& ask,
                             net::cancellation& cancel);
  bool Record(const wire::claim_result_t& result);
  void Kick(std::size_t index);
  void Drive(std::size_t index);
  void LogEvents(std::size_t index, const std::vector<idempotency::owner_event>& events);
  void MaintenanceLoop();

  node_context& context_;
  platform::http_object_store store_;
  std::array<shard, idempotency::kShards> shards_;
  std::mutex owners_mutex_;
  std::shared_ptr<const owner_table> owners_;
  net::steady_time owners_until_{};
  fiber_group fibers_;
};

}  // namespace siskinrack::node

#endif  // SISKINRACK_LIB_NODE_CLAIM_SERVICE_H_
