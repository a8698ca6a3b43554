#ifndef SISKINRACK_TEST_SOAK_PROMISES_H_
#define SISKINRACK_TEST_SOAK_PROMISES_H_

#include <map>
#include <span>
#include <string>
#include <vector>

#include "mesh_fleet.h"

namespace siskinrack::test {

/// One request as its caller saw it. Targets are unique, so that they identify the request.
struct observed_request {
  std::string target;
  std::string method;
  std::string body;
  /// Service on the machine that the caller used.
  std::string caller_service;
  bool at_most_once = false;
  /// 0 if no whole answer came.
  unsigned status = 0;
  std::string answer;
};

/// What the upstreams of one service ran.
struct observed_service {
  std::string name;
  std::vector<observed_run> runs;
};

/// Checks what callers and upstreams saw against the promises of the mesh; returns one line for
/// each that was broken.
std::vector<std::string> BrokenPromises(std::span<const observed_request> requests,
                                        std::span<const observed_service> services);

}  // namespace siskinrack::test

#endif  // SISKINRACK_TEST_SOAK_PROMISES_H_
