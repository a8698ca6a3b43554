#ifndef SISKINRACK_LIB_NODE_ENTRY_SERVICE_H_
#define SISKINRACK_LIB_NODE_ENTRY_SERVICE_H_

#include "claim_service.h"
#include "endpoint_cache.h"
#include "node_context.h"
#include "quarantine_service.h"
#include "serving_service.h"

namespace siskinrack::node {

/// Routes the requests of callers, selects an upstream endpoint for each and forwards it.
class entry_service {
 public:
  entry_service(node_context& context, serving_service& serving, claim_service& claims,
                quarantine_service& quarantine)
      : context_(context),
        serving_(serving),
        claims_(claims),
        quarantine_(quarantine),
        endpoints_(context) {}

  /// Handles one request of a caller and returns its response, which contains the outcome field
  /// and, unless the outcome is "answered", the reason field. The status of a response that this
  /// node makes is 400 for a malformed request, 404 if no route matches, 422 if the idempotency key
  /// was used with a different request, and 502, 503 or 504 for any other failure. Must run in a
  /// fiber; may suspend.
  net::http_response Handle(net::http_request request, net::cancellation& cancel);

 private:
  /// Refuses a quarantined request and forwards any other. A non-repeatable request is forwarded
  /// only under a claim of its idempotency key.
  wire::call_answer_t CheckAndForward(wire::call_request_t call, bool non_repeatable,
                                      bool is_first_attempt, net::cancellation& cancel);
  /// Forwards a call to a selected endpoint and, if a retry is safe, once more to another endpoint.
  /// A call with an idempotency key is not repeatable.
  wire::call_answer_t Forward(wire::call_request_t call, net::cancellation& cancel);
  /// Selects the endpoint for the retry of a call whose first attempt at endpoint `first` failed.
  /// If the outcome is unknown and `first` is in another failure domain, that whole domain may be
  /// unreachable, so endpoints of the own domain are preferred. Returns std::nullopt if no endpoint
  /// is available.
  static std::optional<std::size_t> ChooseRetryEndpoint(const endpoint_list& list,
                                                        std::size_t first,
                                                        wire::outcome_kind outcome);
  /// Returns the deadline of the first attempt at endpoint `index`. A repeatable call leaves time
  /// for a retry, in case the endpoint is unreachable: its first attempt ends when half of the
  /// remaining time has passed and the answer is overdue.
  static net::steady_time ComputeFirstAttemptDeadline(const endpoint_list& list, std::size_t index,
                                                      const wire::call_request_t& call,
                                                      net::steady_time deadline);
  /// Sends a call to endpoint `index` and records the result in the state of the endpoint. Sets
  /// `call.deadline_ms` to the remaining time.
  wire::call_answer_t RunAttempt(const endpoint_list& list, std::size_t index,
                                 wire::call_request_t& call, net::steady_time deadline,
                                 net::cancellation& cancel);
  /// Sends a call to the node `target`, or serves it locally if this is the target.
  wire::call_answer_t ForwardTo(const endpoint& target, const wire::call_request_t& call,
                                net::cancellation& cancel);

  node_context& context_;
  serving_service& serving_;
  claim_service& claims_;
  quarantine_service& quarantine_;
  endpoint_cache endpoints_;
  balancing::retry_budgets retry_budgets_;
};

}  // namespace siskinrack::node

#endif  // SISKINRACK_LIB_NODE_ENTRY_SERVICE_H_
