#ifndef SISKINRACK_LIB_NODE_ENTRY_SERVICE_H_
#define SISKINRACK_LIB_NODE_ENTRY_SERVICE_H_

#include "claim_service.h"
#include "endpoint_cache.h"
#include "node_context.h"
#include "quarantine_service.h"
#include "serving_service.h"

namespace siskinrack::node {

/// Takes callers' requests, finds the route, chooses an upstream and forwards.
class entry_service {
 public:
  entry_service(node_context& context, serving_service& serving, claim_service& claims,
                quarantine_service& quarantine)
      : context_(context),
        serving_(serving),
        claims_(claims),
        quarantine_(quarantine),
        endpoints_(context) {}

  /// Answers one request of a caller. Runs in a fiber and may suspend.
  net::http_response Handle(net::http_request request, net::cancellation& cancel);

 private:
  /// Holds back quarantined requests and claims the keys of non-repeatable ones around Forward.
  wire::call_answer_t ForwardGuarded(wire::call_request_t call, bool non_repeatable,
                                     bool first_copy, net::cancellation& cancel);
  /// Forwards to the chosen upstream and, where it's safe, once more to another one. A call with
  /// an idempotency key is not repeatable.
  wire::call_answer_t Forward(wire::call_request_t call, net::cancellation& cancel);
  /// Another endpoint for a call whose first endpoint gave no result. If that one is in another
  /// failure domain, the whole domain may be cut off: the own domain goes first then.
  static std::optional<std::size_t> ChooseForRetry(const endpoint_list& list, std::size_t first,
                                                   wire::outcome_kind outcome);
  /// A repeatable call waits at its first endpoint until half of its time is over and an answer is
  /// overdue, so that time for a retry is left if the endpoint is cut off.
  static net::steady_time FirstAttemptEnd(const endpoint_list& list, std::size_t index,
                                          const wire::call_request_t& call,
                                          net::steady_time deadline);
  wire::call_answer_t Attempt(const endpoint_list& list, std::size_t index,
                              wire::call_request_t& call, net::steady_time deadline,
                              net::cancellation& cancel);
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
