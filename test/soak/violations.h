#ifndef SISKINRACK_TEST_SOAK_VIOLATIONS_H_
#define SISKINRACK_TEST_SOAK_VIOLATIONS_H_

#include <map>
#include <span>
#include <string>
#include <vector>

#include "mesh_fleet.h"

namespace siskinrack::test {

/// Represents a request and its response as the caller observed them. The target is unique and
/// identifies the request.
struct observed_request {
  std::string target;
  std::string method;
  std::string body;
  /// Service of the VM whose node received the request, which upstreams see as the caller.
  std::string caller_service;
  /// True if the request must not run twice.
  bool at_most_once = false;
  /// Status of the response; 0 if no complete response arrived.
  unsigned status = 0;
  /// Body of the response; empty if no complete response arrived.
  std::string answer;
};

/// Represents all runs of requests on the upstreams of one service.
struct observed_service {
  std::string name;
  std::vector<observed_run> runs;
};

/// Checks the observations of callers and upstreams against the guarantees of the mesh. Returns one
/// line "RULE target: detail" for each violation; the rules are
/// - UNASKED: an upstream ran a request that no caller sent, or one with another method, body or
///   caller than sent.
/// - ROUTE: an upstream of another service than the target's ran the request.
/// - TWICE: an at-most-once request ran more than once.
/// - REFUSED: an at-most-once request ran although its status means that it was not run.
/// - MIXED: a response with status 200 has a body that no run of the request returns, or belongs to
///   a request that did not run.
std::vector<std::string> FindViolations(std::span<const observed_request> requests,
                                        std::span<const observed_service> services);

}  // namespace siskinrack::test

#endif  // SISKINRACK_TEST_SOAK_VIOLATIONS_H_
